package btnode

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
)

// TestCutOffNodeReadsLog guards against a node that is cut off from most others and not from the log, and that
// keeps the configuration from before until failure detection has taken out the readers of its zone.
func TestCutOffNodeReadsLog(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	now := n.started.Add(joinGrace)
	var members []baobabtide.Member
	for i := range 40 {
		m := n.members.table.Self()
		m.Name, m.Status = fmt.Sprint("other-", i), baobabtide.Alive
		members = append(members, m)
	}
	n.members.table.Merge(btmember.Delta{Members: members}, now)
	neighbors := n.members.table.Neighbors()
	edges := make([]*edge, len(neighbors))
	for i := range edges {
		ctx, cancel := context.WithCancelCause(context.Background())
		edges[i] = &edge{name: neighbors[i].Name, ctx: ctx, cancel: cancel}
		n.edges.add(edges[i])
	}
	half := len(edges) / 2
	check := func(name string, reader bool) {
		t.Helper()
		n.tickMembers(now)
		if diff := cmp.Diff(reader, n.reader.Load()); diff != "" {
			t.Errorf("%s: reads the log (-want +got):\n%s", name, diff)
		}
	}
	for _, step := range []struct {
		name   string
		silent int // edges
		reader bool
	}{
		{"all edges carry messages", 0, false},
		{"half of the edges are silent", half, false},
		{"more than half are silent", half + 1, true},
		{"all are silent", len(edges), true},
		{"half of the edges carry messages again", half, false},
	} {
		for i := range edges {
			edges[i].lastReceived = now.Add(-n.doubtLimit())
			if i < step.silent {
				edges[i].lastReceived = now.Add(-n.doubtLimit() - 1)
			}
		}
		check(step.name, step.reader)
	}
	for _, e := range edges[:half+1] {
		n.edges.remove(e)
	}
	check("more than half of the neighbors have no edge", true)
	for _, e := range edges {
		n.edges.remove(e)
	}
	check("no neighbor has an edge", true)
	n.started = now.Add(1 - joinGrace)
	check("the node has just started", false)
}
