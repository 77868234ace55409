package btnode

import (
	"context"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	reserveTimeout       = 2 * time.Second // a full link delays the call and its response by a second in all
	reserveWindowDivisor = 2               // the rest of the time left is for the run
	resolveTimeout       = 3 * time.Second // may include a new connection
)

// keyPartner implements baobabtide.KeyPartner by calls to the node that the route
// table gives as the partner of a key.
type keyPartner struct {
	node *Node
}

var _ baobabtide.KeyPartner = keyPartner{}

// address returns the peer address of the partner of a request's key, or an empty
// string if no other node serves the service.
func (p keyPartner) address(req *baobabtide.Request) string {
	table := p.node.routes.Load()
	if table == nil {
		return ""
	}
	dest := table.Destination(req.Customer, req.Service)
	if dest == nil {
		return ""
	}
	if t := dest.Partner(btroute.KeyHash(req.Key), p.node.locality.Node); t != nil {
		return t.Ref.Address
	}
	return ""
}

// Reserve implements baobabtide.KeyPartner. Without a partner it returns an empty
// record.
func (p keyPartner) Reserve(ctx context.Context, req *baobabtide.Request, record baobabtide.KeyRecord) (baobabtide.KeyRecord, error) {
	address := p.address(req)
	if address == "" {
		return baobabtide.KeyRecord{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(reserveTimeout, time.Until(req.Deadline)/reserveWindowDivisor))
	defer cancel()
	return p.node.peers.Reserve(ctx, address, record)
}

// Resolve implements baobabtide.KeyPartner. It calls the partner in the background. If
// the call fails, the key stays KeyInDoubt at the partner, which is safe. The workers
// don't make the call: if the partner is slow, they would not handle gossip either, and
// neighbors would seem silent.
func (p keyPartner) Resolve(req *baobabtide.Request, record baobabtide.KeyRecord) {
	address := p.address(req)
	if address == "" {
		return
	}
	p.node.resolving.Add(1)
	go func() {
		defer p.node.resolving.Add(-1)
		ctx, cancel := context.WithTimeout(p.node.ctx, resolveTimeout)
		defer cancel()
		if err := p.node.peers.Resolve(ctx, address, record); err != nil {
			p.node.log.Debug().Str("event", "key.unresolved").Err(err).Send()
		}
	}()
}

// ReserveKey implements btpeer.Node.
func (n *Node) ReserveKey(record baobabtide.KeyRecord) baobabtide.KeyRecord {
	return n.local.ReserveKey(record)
}

// ResolveKey implements btpeer.Node.
func (n *Node) ResolveKey(record baobabtide.KeyRecord) { n.local.ResolveKey(record) }
