package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btquarantine"
)

// entryChanged logs an entry of the quarantine that has changed here and sends it on all
// edges except the one that it came from, nil for a change of this node.
func (n *Node) entryChanged(entry btquarantine.Entry, from *edge) {
	event := btlog.QuarantineSuspect
	switch {
	case entry.Quarantined():
		event = btlog.QuarantineSet
	case len(entry.Crashes) == 0:
		event = btlog.QuarantineCleared
	}
	line := n.decisions.Server(event, lastCrashed(&entry)).Stringer("digest", entry.Digest).Str("service", entry.Service).
		Str("method", entry.Method).Str("path", entry.Path).Int("crashes", len(entry.Crashes))
	if from != nil {
		line = line.Str("member", from.name)
	}
	line.Send()
	if entry.Quarantined() {
		n.unstored.markKnown(entry.Digest)
	}
	if table := n.routes.Load(); table != nil {
		for _, crash := range entry.Crashes {
			table.RecordDown(crash.Server, crash.Incarnation, time.Now())
		}
	}
	n.sendToAll(&btpeer.Gossip{Quarantine: []btquarantine.Entry{entry}}, from)
}

// lastCrashed returns the name of one of the servers of an entry, empty if it has none.
func lastCrashed(entry *btquarantine.Entry) string {
	if len(entry.Crashes) == 0 {
		return ""
	}
	return entry.Crashes[len(entry.Crashes)-1].Server
}

// handleQuarantine adds entries that an edge received, and forwards those that change this
// node's.
func (n *Node) handleQuarantine(e *edge, entries []btquarantine.Entry) {
	now := time.Now()
	for i := range entries {
		if n.quarantine.Merge(&entries[i], now) {
			n.entryChanged(entries[i], e)
		}
	}
}

// sendQuarantine sends all entries on a new edge.
func (n *Node) sendQuarantine(e *edge) {
	if entries := n.quarantine.Entries(time.Now()); len(entries) > 0 {
		e.send(&btpeer.Gossip{Quarantine: entries})
	}
}

// countQuarantined returns the number of quarantined digests.
func (n *Node) countQuarantined() float64 {
	count := 0
	entries := n.quarantine.Entries(time.Now())
	for i := range entries {
		if entries[i].Quarantined() {
			count++
		}
	}
	return float64(count)
}

// servers returns the number of backend servers of a service in the route table.
func (n *Node) servers(service string) int {
	if table := n.routes.Load(); table != nil {
		return table.Servers(service, time.Now())
	}
	return 0
}
