package btnode

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpeer"
)

// pulledEdges returns the edges on which a node has sent pulls, and removes its messages.
func pulledEdges(n *configNode) []*edge {
	var pulled []*edge
	for _, e := range n.edges {
		for len(e.queue) > 0 {
			if m := <-e.queue; m.Pull != nil {
				pulled = append(pulled, e)
			}
		}
	}
	return pulled
}

// encodeLinks encodes links that follow an offset without entries of their own.
func encodeLinks(t *testing.T, links ...btconfig.Link) []byte {
	t.Helper()
	data, err := btconfig.EncodeLinks(links)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A neighbor whose answer did not help was asked again only after its next heartbeat, and others
// that had the configuration too were not asked before theirs.
func TestPullWithoutUsefulAnswerGoesToAnotherNeighbor(t *testing.T) {
	tests := map[string]struct {
		answer *btpeer.Gossip // nil for none
		close  bool           // the edge closes
		want   time.Duration
	}{
		"no answer":      {nil, false, pullTimeout},
		"edge closes":    {nil, true, 0},
		"damaged state":  {&btpeer.Gossip{State: []byte{1}}, false, pullTimeout},
		"damaged links":  {&btpeer.Gossip{Links: []byte{1}}, false, pullTimeout},
		"links with gap": {&btpeer.Gossip{Links: encodeLinks(t, btconfig.Link{Prev: 3, Entry: baobabtide.Entry{Offset: 5}})}, false, pullTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := configNodes(t, "a", "b", "c")["a"]
				for _, e := range n.edges {
					n.handleGossip(e, &btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{Offset: 5}})
				}
				pulled := pulledEdges(n)
				if len(pulled) != 1 {
					t.Fatalf("%d pulls, want 1", len(pulled))
				}
				first, begin := pulled[0], time.Now()
				if tt.answer != nil {
					n.handleGossip(first, tt.answer)
				}
				if tt.close {
					first.cancel(errEdgeClosed)
					n.removeEdge(first)
				}
				for pulled = pulledEdges(n); len(pulled) == 0 && time.Since(begin) < time.Minute; pulled = pulledEdges(n) {
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				if len(pulled) != 1 || pulled[0] == first {
					t.Fatalf("%d pulls, want 1 on another edge", len(pulled))
				}
				if diff := cmp.Diff(tt.want, time.Since(begin)); diff != "" {
					t.Errorf("time of the next pull (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// No line said that a node which knew of a later configuration did not get it.
func TestUnansweredPullIsLoggedOnceAnOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := configNodes(t, "a", "b")["a"]
		var lines bytes.Buffer
		n.log = zerolog.New(&lines)
		e := n.edges["b"]
		n.handleGossip(e, &btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{Offset: 5}})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		n.config.Adopt(&btconfig.State{Offset: 4})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		n.config.Adopt(&btconfig.State{Offset: 5})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		want := `{"level":"warn","event":"pull.unanswered","member":"b","offset":0}
{"level":"warn","event":"pull.unanswered","member":"b","offset":4}
`
		if diff := cmp.Diff(want, lines.String()); diff != "" {
			t.Errorf("lines (-want +got):\n%s", diff)
		}
	})
}

// Two nodes exchanged pulls and links that never applied as fast as they could.
func TestLinksThatNeverApplyAreNotPulledInLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := configNodes(t, "a", "b")["a"]
		e := n.edges["b"]
		n.handleGossip(e, &btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{Offset: 5}})
		pulls := 0
		for begin := time.Now(); time.Since(begin) < 2*time.Second && pulls < 100; {
			if len(pulledEdges(n)) == 0 {
				time.Sleep(time.Millisecond)
				synctest.Wait()
				continue
			}
			pulls++
			n.handleGossip(e, &btpeer.Gossip{Links: encodeLinks(t, btconfig.Link{Prev: 3, Entry: baobabtide.Entry{Offset: 5}})})
		}
		if diff := cmp.Diff(4, pulls); diff != "" {
			t.Errorf("pulls in 2 s (-want +got):\n%s", diff)
		}
	})
}

// Nodes that read different records of the log, as some were no longer stored, get the latest
// configuration from each other in a few messages.
func TestNodesWithDifferentGapsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no timer ends meanwhile; t has no deadline in it
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			names := []string{"a", "b", "c", "d"}
			nodes := configNodes(t, names...)
			end := baobabtide.Offset(0)
			for range rapid.IntRange(1, 5).Draw(rt, "rounds") {
				end += baobabtide.Offset(rapid.IntRange(1, 5).Draw(rt, "records"))
				for _, name := range names {
					n := nodes[name]
					before := n.config.State()
					prev := before.Offset
					upTo := baobabtide.Offset(rapid.IntRange(0, int(end)).Draw(rt, "read up to"))
					for offset := prev + 1; offset <= upTo; offset++ {
						if !rapid.Bool().Draw(rt, "stored") {
							continue
						}
						if _, err := n.config.Apply(btconfig.Link{Prev: prev, Entry: contractEntry(rt, offset)}); err != nil {
							rt.Fatal(err)
						}
						prev = offset
					}
					n.configApplied(before, nil)
				}
				if count := deliverAll(nodes, names, 1000); count == 1000 {
					rt.Fatal("the nodes do not stop exchanging messages")
				}
				newest := baobabtide.Offset(0)
				for _, n := range nodes {
					newest = max(newest, n.config.State().Offset)
				}
				for name, n := range nodes {
					if offset := n.config.State().Offset; offset != newest {
						rt.Fatalf("node %s is at %d, others at %d", name, offset, newest)
					}
				}
			}
		})
	})
}
