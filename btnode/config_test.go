package btnode

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btpeer"
)

// configNode is a node whose gossip messages are passed on by the test.
type configNode struct {
	*Node
	edges map[string]*edge // by the node at the other end
}

// configNodes returns nodes that are all neighbors of each other.
func configNodes(t *testing.T, names ...string) map[string]*configNode {
	t.Helper()
	nodes := make(map[string]*configNode, len(names))
	for _, name := range names {
		settings := idleSettings()
		settings.Node.Name = name
		n, free, err := New(settings, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(free)
		node := &configNode{Node: n, edges: make(map[string]*edge)}
		for _, other := range names {
			if other == name {
				continue
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			e := &edge{name: other, outgoing: name < other, queue: make(chan *btpeer.Gossip, edgeQueueSize), ctx: ctx, cancel: cancel, lastReceived: time.Now()}
			node.edges[other] = e
			node.Node.edges.add(e)
		}
		nodes[name] = node
	}
	return nodes
}

// deliver passes the oldest message from one node to another on, if there is one.
func deliver(nodes map[string]*configNode, from, to string) bool {
	select {
	case m := <-nodes[from].edges[to].queue:
		nodes[to].handleGossip(nodes[to].edges[from], m)
		return true
	default:
		return false
	}
}

// deliverAll passes messages between the named nodes on until there are none, and returns their
// number. It stops at the limit.
func deliverAll(nodes map[string]*configNode, names []string, limit int) int {
	count := 0
	for busy := true; busy; {
		busy = false
		for _, from := range names {
			for _, to := range names {
				for from != to && count < limit && deliver(nodes, from, to) {
					busy = true
					count++
				}
			}
		}
	}
	return count
}

// fakeLog is a log that only returns pages.
type fakeLog struct {
	page func(from baobabtide.Offset) baobabtide.Page
}

// Append implements baobabtide.Log.
func (fakeLog) Append(context.Context, baobabtide.Stream, []byte) (baobabtide.Entry, error) {
	return baobabtide.Entry{}, baobabtide.ErrUnavailable
}

// Read implements baobabtide.Log.
func (l fakeLog) Read(_ context.Context, _ baobabtide.Stream, from baobabtide.Offset, _ time.Duration) (baobabtide.Page, error) {
	return l.page(from), nil
}

// contractEntry returns an entry with a contract whose revision is its offset.
func contractEntry(t interface{ Fatal(...any) }, offset baobabtide.Offset) baobabtide.Entry {
	contract := btfixture.Contract("c", "s")
	contract.Revision = uint64(offset)
	data, err := btcodec.EncodeJSON(&baobabtide.Record{ID: fmt.Sprintf("id-%d", offset), Actor: "a", Contract: contract})
	if err != nil {
		t.Fatal(err)
	}
	return baobabtide.Entry{Offset: offset, Data: data}
}

// The configuration in force never goes back within a process, in whatever order pages of the log,
// snapshots and messages arrive, late and repeated ones included.
func TestConfigurationInForceNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no timer ends meanwhile; t has no deadline in it
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			nodes := configNodes(t, "a", "b", "c")
			names := []string{"a", "b", "c"}
			inForce := make(map[string]baobabtide.Offset)
			var late []*btpeer.Gossip
			end := baobabtide.Offset(0)
			node := func(rt *rapid.T) string { return rapid.SampledFrom(names).Draw(rt, "node") }
			rt.Repeat(map[string]func(*rapid.T){
				"append": func(*rapid.T) { end++ },
				"read": func(rt *rapid.T) {
					n, other := nodes[node(rt)], nodes[node(rt)]
					n.adapters.Log = fakeLog{func(from baobabtide.Offset) baobabtide.Page {
						page := baobabtide.Page{Next: end + 1}
						for offset := from; offset <= end; offset++ {
							if offset == end || rapid.Bool().Draw(rt, "kept") {
								page.Entries = append(page.Entries, contractEntry(rt, offset))
							}
						}
						if rapid.Bool().Draw(rt, "state arrives first") {
							n.config.Adopt(other.config.State())
						}
						return page
					}}
					_ = n.readOnce(0)
				},
				"adopt": func(rt *rapid.T) {
					nodes[node(rt)].config.Adopt(nodes[node(rt)].config.State())
				},
				"state": func(rt *rapid.T) {
					data, err := btconfig.EncodeState(nodes[node(rt)].config.State())
					if err != nil {
						rt.Fatal(err)
					}
					late = append(late, &btpeer.Gossip{State: data})
				},
				"links": func(rt *rapid.T) {
					n := nodes[node(rt)]
					after := baobabtide.Offset(rapid.IntRange(0, int(end)).Draw(rt, "after"))
					data, ok, err := n.config.EncodedSince(after)
					if err != nil {
						rt.Fatal(err)
					}
					if ok && data != nil {
						late = append(late, &btpeer.Gossip{Links: data})
					}
				},
				"late message": func(rt *rapid.T) {
					if len(late) == 0 {
						return
					}
					to, from := node(rt), node(rt)
					if to != from {
						nodes[to].handleGossip(nodes[to].edges[from], rapid.SampledFrom(late).Draw(rt, "message"))
					}
				},
				"message": func(rt *rapid.T) {
					if to, from := node(rt), node(rt); to != from {
						deliver(nodes, from, to)
					}
				},
				"heartbeat": func(rt *rapid.T) {
					if to, from := node(rt), node(rt); to != from {
						nodes[from].sendHeartbeat(nodes[from].edges[to])
					}
				},
				"rebuild": func(rt *rapid.T) { nodes[node(rt)].rebuild() },
				"": func(rt *rapid.T) {
					for name, n := range nodes {
						offset := n.inForce()
						if offset < inForce[name] {
							rt.Fatalf("node %s goes back from %d to %d", name, inForce[name], offset)
						}
						if offset > n.config.State().Offset {
							rt.Fatalf("node %s has %d in force, its state is at %d", name, offset, n.config.State().Offset)
						}
						inForce[name] = offset
					}
				},
			})
		})
	})
}
