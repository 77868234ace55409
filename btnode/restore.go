package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	restoreWindow = 2 * time.Second         // after the start, while the backend server may not have announced itself
	restoreLease  = 2500 * time.Millisecond // for the backend server to confirm it; it announces itself every 1.5 s or so
)

// tellFormer tells a node that has started anew what its former process
// announced, because the backend server beside it may go on all the while.
func (n *Node) tellFormer(e *edge, members []baobabtide.Member) {
	for i := range members {
		if members[i].Name != e.name {
			continue
		}
		n.members.mu.Lock()
		former := n.members.table.FormerTargets(&members[i])
		n.members.mu.Unlock()
		if len(former) > 0 {
			e.send(&btpeer.Gossip{Former: former})
		}
	}
}

// restoreTargets takes in what the former process of this node announced, for a
// short time and where the settings say the address. A server that is not the
// expected one refuses the requests that name it.
func (n *Node) restoreTargets(former []baobabtide.Target) {
	backend := n.backendSettings()
	now := time.Now()
	if backend.Address == "" || now.Sub(n.started) > restoreWindow {
		return
	}
	for i := range former {
		t := &former[i]
		if backend.Service != "" && t.Service != backend.Service {
			continue
		}
		restored := n.registry.Restore(btbackend.Announcement{
			Name:        t.Name,
			Service:     t.Service,
			Version:     t.Version,
			Address:     backend.Address,
			State:       t.State,
			Slots:       t.Slots,
			Connections: t.Connections,
			Incarnation: t.Incarnation,
			Lease:       restoreLease,
		}, now)
		if restored {
			n.log.Info().Str("event", "target.restored").Str("target", t.Name).Stringer("state", t.State).Send()
		}
	}
}
