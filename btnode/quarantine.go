package btnode

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btoperator"
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

// Quarantine implements btoperator.Node.
func (n operators) Quarantine(context.Context) (*btoperator.Quarantine, error) {
	now := time.Now()
	entries := n.quarantine.Entries(now)
	slices.SortStableFunc(entries, func(a, b btquarantine.Entry) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	result := &btoperator.Quarantine{}
	for i := range entries {
		e := &entries[i]
		if len(e.Crashes) == 0 {
			continue
		}
		request := btoperator.QuarantinedRequest{
			Digest: e.Digest, Service: e.Service, Method: e.Method, Path: e.Path,
			Refused: n.quarantine.Standing(e.Digest, now) == btquarantine.Quarantined, Since: now.Add(-e.Age).UTC(),
		}
		for _, crash := range e.Crashes {
			request.Crashed = append(request.Crashed, crash.Server)
		}
		result.Requests = append(result.Requests, request)
	}
	return result, nil
}

// Clear implements btoperator.Node. It clears the requests even if the log is down.
func (n operators) Clear(ctx context.Context, req *btoperator.ClearRequest) (*btoperator.ClearResult, error) {
	entry, cleared := n.quarantine.Clear(req.Digest, time.Now())
	if !cleared {
		return nil, &btoperator.Error{Code: btoperator.CodeNotFound, Err: fmt.Errorf("no backend server crashed under requests with digest %s", req.Digest)}
	}
	n.unstored.add(&entry)
	n.entryChanged(entry, nil)
	record := &baobabtide.Record{
		ID:    fmt.Sprintf("clear.%x", rand.Uint64()),
		Actor: req.Actor,
		Clear: &baobabtide.ClearRecord{Digest: req.Digest, Reason: req.Reason},
	}
	return &btoperator.ClearResult{Recorded: n.appendRecord(ctx, record) == nil}, nil
}

// servers returns the number of backend servers of a service in the route table.
func (n *Node) servers(service string) int {
	if table := n.routes.Load(); table != nil {
		return table.Servers(service, time.Now())
	}
	return 0
}
