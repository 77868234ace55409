package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	directoryRetry  = 300 * time.Millisecond // after a call that failed, and while no other node is known
	directoryPeriod = 20 * time.Second       // between looks for islands that never met this one
)

// directoryLoop registers the node and learns the addresses of the others,
// where the platform keeps a directory. From then on gossip tells who lives.
func (n *Node) directoryLoop() {
	directory := n.adapters.Directory
	if directory == nil {
		return
	}
	registered := false
	for n.ctx.Err() == nil {
		if !registered {
			err := directory.Register(n.ctx, baobabtide.Listing{
				Name:        n.place.Node,
				Address:     n.settings.Peer.Address(),
				Incarnation: n.incarnation,
			})
			registered = err == nil
			n.noteDirectory("register", err)
		}
		known := n.lookUpNodes(directory)
		if !registered || known < joinedSize {
			n.sleep(directoryRetry)
			continue
		}
		n.sleep(directoryPeriod + 2*n.jitter())
	}
}

// lookUpNodes offers the nodes of the directory as seeds and returns how many
// there are.
func (n *Node) lookUpNodes(directory baobabtide.Directory) int {
	nodes, err := directory.Nodes(n.ctx)
	n.noteDirectory("look up nodes", err)
	if err != nil {
		return 0
	}
	addresses := make([]string, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	select {
	case n.found <- addresses:
	case <-n.ctx.Done():
	}
	return len(nodes)
}

func (n *Node) noteDirectory(call string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.log.Warn().Str("event", "directory.failed").Str("call", call).Err(err).Send()
	}
}
