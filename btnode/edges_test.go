package btnode

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
)

// edgeTest is a node with a neighbor to which it has opened an edge.
type edgeTest struct {
	node     *Node
	neighbor baobabtide.Member
	edge     *edge
}

func newEdgeTest(t *testing.T) *edgeTest {
	t.Helper()
	test := &edgeTest{node: idleNode(t, zerolog.Nop()), neighbor: btfixture.Members(1, 1, 1, "v1")[0]}
	test.node.members.table.Merge(btmember.Delta{Members: []baobabtide.Member{test.neighbor}}, time.Now())
	test.edge = test.open(t)
	return test
}

// open adds an edge to the neighbor.
func (test *edgeTest) open(t *testing.T) *edge {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	now := time.Now()
	e := &edge{
		name: test.neighbor.Name, outgoing: true, opened: now, lastReceived: now, lifetime: time.Hour,
		queue: make(chan *btpeer.Gossip, edgeQueueSize), ctx: ctx, cancel: cancel,
	}
	test.node.edges.add(e)
	test.node.members.table.Watch(e.name, now)
	return e
}

// tick lets time pass with the ticks of the node.
func (test *edgeTest) tick(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tickPeriod)
		test.node.members.table.Tick(time.Now())
		for _, e := range test.node.edges.all() {
			test.node.tickEdge(e, []baobabtide.Member{test.neighbor}, &btpeer.Gossip{}, time.Now())
			if e.ctx.Err() != nil {
				test.node.removeEdge(e)
			}
		}
	}
}

// failReplacement reports a failed attempt to open another edge.
func (test *edgeTest) failReplacement() {
	test.node.handleUnreachable(test.neighbor.Name, errors.New("timeout"))
}

// An edge whose messages arrive late, as on a full link, stays open, because no other one
// can be opened then. While it is silent it does not count as a connection, so that the
// node tries to replace it. The time limits are those of a silence limit of 4 s.
func TestSilentEdge(t *testing.T) {
	type outcome struct {
		Open, Connected, Accused bool
	}
	tests := map[string]struct {
		run  func(t *testing.T, test *edgeTest)
		want outcome
	}{
		"silent for a short time": {func(_ *testing.T, test *edgeTest) { test.tick(2 * time.Second) }, outcome{true, true, false}},
		"silent for longer":       {func(_ *testing.T, test *edgeTest) { test.tick(3 * time.Second) }, outcome{true, false, false}},
		"messages are late and no other edge can be opened": {func(_ *testing.T, test *edgeTest) {
			for range 5 {
				test.tick(3 * time.Second)
				test.failReplacement()
				test.tick(time.Second)
				test.node.handleGossip(test.edge, &btpeer.Gossip{})
			}
		}, outcome{true, true, false}},
		"replaced": {func(t *testing.T, test *edgeTest) {
			test.tick(3 * time.Second)
			test.open(t)
			test.tick(tickPeriod)
		}, outcome{false, true, false}},
		"dead": {func(_ *testing.T, test *edgeTest) {
			test.tick(5 * time.Second)
			test.failReplacement()
			test.tick(5 * time.Second)
		}, outcome{false, false, true}},
		"silent again after a late message": {func(_ *testing.T, test *edgeTest) {
			test.tick(3 * time.Second)
			test.node.handleGossip(test.edge, &btpeer.Gossip{})
			test.tick(3 * time.Second)
			test.failReplacement()
			test.tick(5 * time.Second)
		}, outcome{true, false, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test := newEdgeTest(t)
				tt.run(t, test)
				got := outcome{Open: test.edge.ctx.Err() == nil, Connected: test.node.edges.connected(test.neighbor.Name)}
				for _, m := range test.node.members.table.Members() {
					got.Accused = got.Accused || m.Status == baobabtide.Suspect
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// An edge that another node opens while this one leaves must not keep it from stopping.
func TestEdgeOfLeavingNodeIsClosed(t *testing.T) {
	var s edges
	s.closeAll()
	ctx, cancel := context.WithCancelCause(context.Background())
	s.add(&edge{name: "n", ctx: ctx, cancel: cancel})
	if diff := cmp.Diff(errEdgeClosed, context.Cause(ctx), cmpopts.EquateErrors()); diff != "" {
		t.Errorf("cause (-want +got):\n%s", diff)
	}
}
