package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	restoreWindow = 2 * time.Second         // uptime until which targets are restored, as the backend server may not have announced itself yet
	restoreLease  = 2500 * time.Millisecond // lease of a restored target; the backend server announces itself about every 1.5 s, which confirms the target
)

// sendFormer sends a restarted node the targets that its previous process announced, because the
// backend server beside it may have kept running, and the servers that had departed.
func (n *Node) sendFormer(e *edge, members []baobabtide.Member) {
	for i := range members {
		if members[i].Name != e.name {
			continue
		}
		n.members.mu.Lock()
		former, departed := n.members.table.Former(&members[i])
		n.members.mu.Unlock()
		if len(former) > 0 || len(departed) > 0 {
			e.send(&btpeer.Gossip{Former: former, FormerDeparted: departed})
		}
	}
}

// restore registers what a neighbor knows of the previous process of this node. The targets come
// first, as only an empty registry takes them.
func (n *Node) restore(targets []baobabtide.Target, departed []baobabtide.Departure, now time.Time) {
	n.restoreTargets(targets, now)
	n.registry.RestoreDepartures(departed, now)
}

// restoreTargets registers the targets that the previous process of this node
// announced. It does so until an uptime of restoreWindow, and only if the settings
// give the address of the backend server, as targets carry none. Requests name
// their target, so a different server at that address refuses them.
func (n *Node) restoreTargets(former []baobabtide.Target, now time.Time) {
	backend := n.backendSettings()
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
			Cold:        restoreLease, // it may be: its next announcement tells
			Lease:       restoreLease,
		}, now)
		if restored {
			n.log.Info().Str("event", "target.restored").Str("target", t.Name).Stringer("state", t.State).Send()
		}
	}
}
