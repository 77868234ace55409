package btmember

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

var epoch = time.Unix(10_000, 0)

func member(name, zone string) baobabtide.Member {
	return baobabtide.Member{Name: name, Zone: zone, PeerAddress: name + ":1", Incarnation: 1, Sequence: 1}
}

func newTable(name string) *Table {
	return New(member(name, "z"), Timing{}, rand.New(rand.NewPCG(1, 2)))
}

// genMember generates records of one member. The announced data depends only on
// incarnation and sequence, as for a real node.
func genMember(name string) *rapid.Generator[baobabtide.Member] {
	return rapid.Custom(func(t *rapid.T) baobabtide.Member {
		m := member(name, "z")
		m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
		m.Sequence = rapid.Uint64Range(1, 3).Draw(t, "sequence")
		m.PeerAddress = fmt.Sprintf("%d:%d", m.Incarnation, m.Sequence)
		m.LogDown = rapid.Bool().Draw(t, "log down")
		m.Status = baobabtide.Status(rapid.IntRange(0, 3).Draw(t, "status"))
		if m.Status == baobabtide.Suspect {
			m.Accusers = []string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "accuser")}
		}
		return m
	})
}

func TestJoinIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genMember("m").Draw(t, "a"), genMember("m").Draw(t, "b"), genMember("m").Draw(t, "c")
		if diff := cmp.Diff(Join(a, b), Join(b, a)); diff != "" {
			t.Errorf("not commutative:\n%s", diff)
		}
		if diff := cmp.Diff(Join(Join(a, b), c), Join(a, Join(b, c))); diff != "" {
			t.Errorf("not associative:\n%s", diff)
		}
		if diff := cmp.Diff(a, Join(a, a)); diff != "" {
			t.Errorf("not idempotent:\n%s", diff)
		}
		joined := Join(a, b)
		if diff := cmp.Diff(joined, Join(joined, a)); diff != "" {
			t.Errorf("not monotone:\n%s", diff)
		}
	})
}

// Two tables that merge the same records in different orders hold the same members
// and digests.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []baobabtide.Member
		for i := range rapid.IntRange(1, 12).Draw(t, "count") {
			records = append(records, genMember(fmt.Sprintf("m%d", i%4)).Draw(t, "record"))
		}
		a, b := newTable("self"), newTable("self")
		for _, m := range records {
			m.Status %= baobabtide.Failed // an unknown member is never added as failed
			a.Merge(Delta{Members: []baobabtide.Member{m}}, epoch)
		}
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			record.Status %= baobabtide.Failed
			b.Merge(Delta{Members: []baobabtide.Member{record}}, epoch)
		}
		if diff := cmp.Diff(a.Members(), b.Members()); diff != "" {
			t.Errorf("members:\n%s", diff)
		}
		if a.Digest() != b.Digest() {
			t.Error("digests differ")
		}
		if got := a.DifferingBuckets(b.BucketDigests()); len(got) != 0 {
			t.Errorf("buckets %v differ", got)
		}
	})
}

// runTicks calls Tick every 250 ms for the given span, and the function before
// ahead of each call unless it is nil. It returns all changes.
func runTicks(t *Table, from time.Time, span time.Duration, before func(now time.Time)) Delta {
	var all Delta
	for at := time.Duration(0); at <= span; at += 250 * time.Millisecond {
		now := from.Add(at)
		if before != nil {
			before(now)
		}
		all.Append(t.Tick(now))
	}
	return all
}

func status(t *Table, name string) baobabtide.Status {
	m, _ := t.Get(name)
	return m.Status
}

func TestFailureDetection(t *testing.T) {
	other := member("other", "z")
	accusation := func(accuser string) Delta {
		return Delta{Statuses: []StatusUpdate{{Name: "other", Incarnation: 1, Status: baobabtide.Suspect, Accusers: []string{accuser}}}}
	}
	tests := map[string]struct {
		span   time.Duration
		before func(tb *Table, now time.Time)
		want   baobabtide.Status
	}{
		"heartbeats":                         {20 * time.Second, func(tb *Table, now time.Time) { tb.RecordMessage("other", now) }, baobabtide.Alive},
		"short silence":                      {4 * time.Second, nil, baobabtide.Alive},
		"silence is suspected":               {5 * time.Second, nil, baobabtide.Suspect},
		"silence becomes failure within 8 s": {8 * time.Second, nil, baobabtide.Failed},
		"two accusers confirm within 1 s": {time.Second, func(tb *Table, now time.Time) {
			tb.Merge(accusation("a"), now)
			tb.Merge(accusation("b"), now)
		}, baobabtide.Failed},
		"one accuser needs longer": {time.Second, func(tb *Table, now time.Time) { tb.Merge(accusation("a"), now) }, baobabtide.Suspect},
		"refuted in time": {20 * time.Second, func(tb *Table, now time.Time) {
			tb.RecordMessage("other", now)
			if now.Equal(epoch) {
				tb.Merge(accusation("a"), now)
			}
			refuted := other
			refuted.Incarnation = 2
			tb.Merge(Delta{Members: []baobabtide.Member{refuted}}, now)
		}, baobabtide.Alive},
		"accusation of an earlier incarnation": {20 * time.Second, func(tb *Table, now time.Time) {
			tb.RecordMessage("other", now)
			returned := other
			returned.Incarnation = 2
			tb.Merge(Delta{Members: []baobabtide.Member{returned}}, now)
			tb.Merge(accusation("a"), now)
		}, baobabtide.Alive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTable("self")
			tb.Merge(Delta{Members: []baobabtide.Member{other}}, epoch)
			tb.Watch("other", epoch)
			runTicks(tb, epoch, tt.span, func(now time.Time) {
				if tt.before != nil {
					tt.before(tb, now)
				}
			})
			if diff := cmp.Diff(tt.want, status(tb, "other")); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// After a pause of this node, all its neighbors appear silent. It must not accuse
// them before it has had time to read their messages.
func TestPausedNodeDoesNotAccuse(t *testing.T) {
	tb := newTable("self")
	tb.Merge(Delta{Members: []baobabtide.Member{member("other", "z")}}, epoch)
	tb.Watch("other", epoch)
	tb.Tick(epoch)
	resumed := epoch.Add(time.Minute)
	if delta := tb.Tick(resumed); !delta.Empty() {
		t.Errorf("accusations at the first tick after a pause: %+v", delta)
	}
	runTicks(tb, resumed, 20*time.Second, func(now time.Time) { tb.RecordMessage("other", now) })
	if diff := cmp.Diff(baobabtide.Alive, status(tb, "other")); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestAccusedNodeRefutes(t *testing.T) {
	tb := newTable("self")
	for _, accused := range []baobabtide.Status{baobabtide.Suspect, baobabtide.Failed} {
		before := tb.Self()
		applied := tb.Merge(Delta{Statuses: []StatusUpdate{{Name: "self", Incarnation: before.Incarnation, Status: accused}}}, epoch)
		after := tb.Self()
		if after.Status != baobabtide.Alive || after.Incarnation <= before.Incarnation || len(applied.Members) != 1 {
			t.Errorf("accused as %s: record %+v, returned changes %+v", accused, after, applied)
		}
	}
}

// A process whose clock was set back starts with a lower incarnation than the other
// nodes hold for it, or with the same one. It must take a higher one than theirs.
func TestRestartWithEarlierClock(t *testing.T) {
	for _, remembered := range []Version{{Incarnation: 50, Sequence: 1}, {Incarnation: 1, Sequence: 9}} {
		tb := newTable("self")
		record := member("self", "z")
		record.Incarnation, record.Sequence = remembered.Incarnation, remembered.Sequence
		tb.Merge(Delta{Members: []baobabtide.Member{record}}, epoch)
		if got := tb.Self().Incarnation; got <= remembered.Incarnation {
			t.Errorf("incarnation %d is not above that of %+v", got, remembered)
		}
		other := newTable("other")
		other.Merge(Delta{Members: []baobabtide.Member{record}}, epoch)
		other.Merge(Delta{Members: []baobabtide.Member{tb.Self()}}, epoch)
		got, _ := other.Get("self")
		if diff := cmp.Diff(tb.Self(), got); diff != "" {
			t.Errorf("record at another node that held %+v (-self +other):\n%s", remembered, diff)
		}
	}
}

// The targets of a node that has left are those for its next process. An announcement that
// was prepared before must not replace them.
func TestAnnounceAfterLeaveHasNoEffect(t *testing.T) {
	tb := newTable("self")
	left := tb.Leave([]baobabtide.Target{{Name: "b"}}, epoch)
	delta := tb.Announce([]baobabtide.Target{{Name: "b", State: baobabtide.TargetDraining}}, nil, epoch)
	if diff := cmp.Diff(left.Members, []baobabtide.Member{tb.Self()}); diff != "" || !delta.Empty() {
		t.Errorf("change %+v, record (-left +now):\n%s", delta, diff)
	}
}

func TestForgottenMemberIsNotReadded(t *testing.T) {
	tb := newTable("self")
	gone := member("gone", "z")
	tb.Merge(Delta{Members: []baobabtide.Member{gone}}, epoch)
	gone.Status = baobabtide.Left
	tb.Merge(Delta{Members: []baobabtide.Member{gone}}, epoch)
	tb.Tick(epoch)
	tb.lastTick = epoch.Add(2 * time.Hour)
	tb.Tick(epoch.Add(2 * time.Hour))
	tb.Merge(Delta{Members: []baobabtide.Member{gone}}, epoch.Add(2*time.Hour))
	if _, ok := tb.Get("gone"); ok {
		t.Error("a forgotten member was added again")
	}
}

// fleet returns the tables of count nodes that all know each other.
func fleet(count, zones int) []*Table {
	var all Delta
	for i := range count {
		all.Members = append(all.Members, member(fmt.Sprintf("n%04d", i), fmt.Sprintf("z%d", i%zones)))
	}
	tables := make([]*Table, count)
	for i := range tables {
		tables[i] = New(all.Members[i], Timing{}, rand.New(rand.NewPCG(1, uint64(i))))
		tables[i].Merge(all, epoch)
	}
	return tables
}

// Each node opens at most Rings connections regardless of the size of the fleet,
// and these connections link all nodes in at most 8 hops.
func TestNeighborsConnectAllNodes(t *testing.T) {
	for name, preferZone := range map[string]bool{"global rings": false, "zone preferred": true} {
		t.Run(name, func(t *testing.T) { checkNeighborsConnect(t, preferZone) })
	}
}

func checkNeighborsConnect(t *testing.T, preferZone bool) {
	t.Helper()
	const maxHops = 8 // log2 of 200, rounded up
	tables := fleet(200, 7)
	if preferZone {
		for _, tb := range tables {
			tb.PreferZone()
		}
	}
	edges := make(map[string][]string)
	for _, tb := range tables {
		neighbors := tb.Neighbors()
		if len(neighbors) > Rings {
			t.Fatalf("%d neighbors", len(neighbors))
		}
		for _, m := range neighbors {
			edges[tb.self] = append(edges[tb.self], m.Name)
			edges[m.Name] = append(edges[m.Name], tb.self)
		}
	}
	reached := map[string]bool{tables[0].self: true}
	frontier := []string{tables[0].self}
	hops := 0
	for ; len(frontier) > 0 && len(reached) < len(tables); hops++ {
		var next []string
		for _, name := range frontier {
			for _, other := range edges[name] {
				if !reached[other] {
					reached[other] = true
					next = append(next, other)
				}
			}
		}
		frontier = next
	}
	if len(reached) != len(tables) || hops > maxHops {
		t.Errorf("%d of %d nodes reached in %d hops", len(reached), len(tables), hops)
	}
}

// TestPreferZoneHalvesEdgesBetweenZones guards against membership and configuration that cross
// zones on most edges, and against small zones that lose their edges to the others.
func TestPreferZoneHalvesEdgesBetweenZones(t *testing.T) {
	between := func(nodes int, prefer bool) int {
		count := 0
		for _, tb := range fleet(nodes, 3) {
			if prefer {
				tb.PreferZone()
			}
			for _, m := range tb.Neighbors() {
				if m.Zone != tb.Self().Zone {
					count++
				}
			}
		}
		return count
	}
	if before, after := between(90, false), between(90, true); after > before*6/10 || after < 30 {
		t.Errorf("%d edges between zones of 90 nodes, %d without the preference", after, before)
	}
	if diff := cmp.Diff(between(12, false), between(12, true)); diff != "" {
		t.Errorf("edges between zones of 12 nodes (-without +with the preference):\n%s", diff)
	}
}

// The number of log readers does not depend on the size of the fleet.
func TestReaderCountPerZone(t *testing.T) {
	const perZone = 2
	for _, count := range []int{14, 70, 350} {
		readers := make(map[string]bool)
		for _, tb := range fleet(count, 7) {
			for _, name := range tb.LogReaders(perZone) {
				readers[name] = true
			}
		}
		if diff := cmp.Diff(7*perZone, len(readers)); diff != "" {
			t.Errorf("readers of %d nodes (-want +got):\n%s", count, diff)
		}
	}
}

func BenchmarkMerge2000(b *testing.B) {
	tables := fleet(2, 2)
	var all Delta
	for i := range 2000 {
		all.Members = append(all.Members, member(fmt.Sprintf("n%04d", i), fmt.Sprintf("z%d", i%7)))
	}
	b.ReportAllocs()
	for i := range b.N {
		for j := range all.Members {
			all.Members[j].Sequence = uint64(i + 2)
		}
		tables[0].Merge(all, epoch)
	}
}

// A dial may time out because this node is short of processor time. Accusing on
// such timeouts caused 300 accusations in a minute among 200 healthy nodes.
func TestReportUnreachable(t *testing.T) {
	tests := map[string]struct {
		refused bool
		span    time.Duration
		want    baobabtide.Status
	}{
		"refused":               {true, 0, baobabtide.Suspect},
		"timed out":             {false, time.Second, baobabtide.Alive},
		"timed out and silent":  {false, 5 * time.Second, baobabtide.Suspect},
		"refused and confirmed": {true, 4 * time.Second, baobabtide.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTable("self")
			tb.Merge(Delta{Members: []baobabtide.Member{member("other", "z")}}, epoch)
			tb.ReportUnreachable("other", tt.refused, epoch)
			runTicks(tb, epoch, tt.span, nil)
			if diff := cmp.Diff(tt.want, status(tb, "other")); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// A node whose ticks are late is short of processor time. It must wait longer before
// it accuses others.
func TestLateTicksExtendSilenceLimit(t *testing.T) {
	tb := newTable("self")
	tb.Merge(Delta{Members: []baobabtide.Member{member("other", "z")}}, epoch)
	tb.Watch("other", epoch)
	for at := time.Duration(0); at < 5*time.Second; at += 500 * time.Millisecond {
		tb.Tick(epoch.Add(at))
	}
	if diff := cmp.Diff(baobabtide.Alive, status(tb, "other")); diff != "" {
		t.Errorf("status after 5 s of late ticks (-want +got):\n%s", diff)
	}
}

// Suspicions are short-lived and must not cause two nodes to exchange records.
func TestSuspicionDoesNotChangeTheDigest(t *testing.T) {
	tb := newTable("self")
	tb.Merge(Delta{Members: []baobabtide.Member{member("other", "z")}}, epoch)
	before := tb.Digest()
	tb.Accuse("other", epoch)
	if tb.Digest() != before {
		t.Error("the digest changed")
	}
}

// A message that is handled after its connection was closed must not watch the
// member again, because no more messages follow: with 200 nodes, such members were
// accused and refuted endlessly, which kept all processors busy.
func TestMessageAfterUnwatchDoesNotWatch(t *testing.T) {
	tb := newTable("self")
	tb.Merge(Delta{Members: []baobabtide.Member{member("other", "z")}}, epoch)
	tb.Watch("other", epoch)
	tb.Unwatch("other")
	tb.RecordMessage("other", epoch)
	runTicks(tb, epoch, time.Minute, nil)
	if diff := cmp.Diff(baobabtide.Alive, status(tb, "other")); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// What a table keeps between changes is the same as what it would compute anew.
func TestKeptValuesFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable("self")
		at := epoch
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			record := genMember(fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "member"))).Draw(t, "record")
			if _, known := tb.Get(record.Name); !known {
				record.Status %= baobabtide.Failed
			}
			tb.Merge(Delta{Members: []baobabtide.Member{record}}, at)
			if rapid.Bool().Draw(t, "tick") {
				at = at.Add(time.Hour)
				tb.lastTick = at
				tb.Tick(at)
			}
			live := 0
			for _, m := range tb.Members() {
				if m.Status < baobabtide.Failed {
					live++
				}
			}
			if diff := cmp.Diff(live, tb.Live()); diff != "" {
				t.Fatalf("live members (-want +got):\n%s", diff)
			}
			for range 2 {
				neighbors, readers := tb.Neighbors(), tb.LogReaders(2)
				tb.neighbors.generation, tb.readers.generation = 0, 0
				if diff := cmp.Diff(tb.Neighbors(), neighbors); diff != "" {
					t.Fatalf("neighbors (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tb.LogReaders(2), readers); diff != "" {
					t.Fatalf("readers (-want +got):\n%s", diff)
				}
			}
		}
	})
}
