package btnode

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	minDirectoryRetry       = 300 * time.Millisecond // after the first lookup that failed or found no other node; doubles with each further one
	maxDirectoryRetry       = 2 * time.Second        // limit of the doubling; keeps 2,000 nodes that restart together within 6,000 reads a second, at four pages per lookup
	directoryPeriod         = 20 * time.Second       // between lookups, which also find partitions that have never been connected to this node's
	directoryJitterDivisor  = 5                      // jitter adds up to 1/5 of the pause
	restartWindow           = 5 * time.Second        // covers the start times of nodes that restart together, including clock differences
	nodesPerDirectoryPeriod = 16                     // the period grows by directoryPeriod for every 16 live nodes, which bounds the total rate of lookups
)

// directoryPause returns the time until the next lookup in the directory, before
// jitter. failures is the number of consecutive lookups that left the node
// unregistered, failed or found no other node.
func directoryPause(failures, live int) time.Duration {
	if failures > 0 {
		return min(minDirectoryRetry<<min(failures-1, 10), maxDirectoryRetry)
	}
	return directoryPeriod * time.Duration(1+live/nodesPerDirectoryPeriod)
}

// directoryLoop registers the node and looks up the addresses of the others, if the
// platform has a directory. Gossip determines which of them are alive.
func (n *Node) directoryLoop() {
	directory := n.adapters.Directory
	if directory == nil {
		return
	}
	registered := false
	registeredAt := time.Time{}
	failures := 0
	for n.ctx.Err() == nil {
		restored := n.restored.wait()
		if !registered {
			err := directory.Register(n.ctx, baobabtide.Listing{
				Name:        n.locality.Node,
				Address:     n.settings.Peer.Address(),
				Incarnation: n.incarnation,
			})
			registered = err == nil
			registeredAt = time.Now()
			n.logDirectoryError("register", err)
		}
		listed, isListed := n.lookUpNodes(directory)
		registered = registered && isListed
		n.members.mu.Lock()
		live := n.members.table.Live()
		n.members.mu.Unlock()
		failures++
		if registered && listed >= minJoinedMembers {
			failures = 0
		}
		pause := directoryPause(failures, live)
		select {
		case <-n.ctx.Done():
		case <-restored:
			if time.Since(registeredAt) < maxLost {
				registered = false
				n.sleep(n.jitter())
			}
		case <-time.After(pause + time.Duration(n.jitterFraction()*float64(pause)/directoryJitterDivisor)):
		}
	}
}

// lookUpNodes passes the addresses of the directory's nodes to tickLoop as seeds.
// It returns the number of nodes, 0 if the lookup fails, and whether this process may be one of them.
func (n *Node) lookUpNodes(directory baobabtide.Directory) (int, bool) {
	nodes, err := directory.Nodes(n.ctx)
	n.logDirectoryError("look up nodes", err)
	if err != nil {
		return 0, true
	}
	isListed := slices.ContainsFunc(nodes, func(other baobabtide.Listing) bool {
		return other.Name == n.locality.Node && other.Incarnation >= n.incarnation
	})
	select {
	case n.directoryAddresses <- seedOrder(nodes, rand.Shuffle):
	case <-n.ctx.Done():
	}
	return len(nodes), isListed
}

// seedOrder returns the addresses of nodes in random order, but first those whose
// incarnation is less than restartWindow before the newest. After a restart of all
// nodes these are the ones that are alive. It reorders nodes.
func seedOrder(nodes []baobabtide.Listing, shuffle func(n int, swap func(i, j int))) []string {
	newest := uint64(0)
	for _, node := range nodes {
		newest = max(newest, node.Incarnation)
	}
	shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	recent := func(node baobabtide.Listing) bool {
		return newest-node.Incarnation < uint64(restartWindow.Milliseconds())
	}
	addresses := make([]string, 0, len(nodes))
	for _, isRecent := range []bool{true, false} {
		for _, node := range nodes {
			if recent(node) == isRecent {
				addresses = append(addresses, node.Address)
			}
		}
	}
	return addresses
}

// logDirectoryError logs a failed call to the directory, except while the node
// stops.
func (n *Node) logDirectoryError(call string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.log.Warn().Str("event", "directory.failed").Str("call", call).Err(err).Send()
	}
}
