package btconfig

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
)

// recordOfSize returns a link with an invalid record of a size.
func recordOfSize(offset baobabtide.Offset, size int) Link {
	return Link{Prev: offset - 1, Entry: baobabtide.Entry{Offset: offset, Data: bytes.Repeat([]byte{'x'}, size)}}
}

// A store that kept the newest 512 records whatever their size held 100 MB of contracts of 200 KB.
func TestTailIsBoundedInBytes(t *testing.T) {
	const size = 200 << 10
	var s Store
	for offset := baobabtide.Offset(1); offset <= 100; offset++ {
		if applied, err := s.Apply(recordOfSize(offset, size)); !applied || err != nil {
			t.Fatalf("offset %d: %v, %v", offset, applied, err)
		}
		if held := tailBytes(s.tail); held > maxTailBytes {
			t.Fatalf("%d bytes are kept at offset %d, at most %d may be", held, offset, maxTailBytes)
		}
		if links, ok := s.Since(offset - 1); !ok || len(links) != 1 {
			t.Fatalf("the newest link at offset %d is not kept", offset)
		}
	}
	if _, ok := s.Since(1); ok {
		t.Error("links from offset 1 on are kept")
	}
}

// A record above the limit is kept as long as it is the newest.
func TestTailKeepsOneLargeRecord(t *testing.T) {
	var s Store
	for offset := baobabtide.Offset(1); offset <= 3; offset++ {
		if _, err := s.Apply(recordOfSize(offset, 2*maxTailBytes)); err != nil {
			t.Fatal(err)
		}
	}
	links, ok := s.Since(2)
	if diff := cmp.Diff(1, len(links)); !ok || diff != "" {
		t.Errorf("kept %v, links (-want +got):\n%s", ok, diff)
	}
}

// Links are encoded once for all neighbors, and not at all if they came from a neighbor.
func TestLinksAreEncodedOnce(t *testing.T) {
	encoded := func(s *Store, after baobabtide.Offset) []byte {
		data, ok, err := s.EncodedSince(after)
		if err != nil || !ok {
			t.Fatalf("after %d: %v, %v", after, ok, err)
		}
		return data
	}
	same := func(a, b []byte) bool { return len(a) > 0 && &a[0] == &b[0] }
	var s Store
	link := recordOfSize(1, 1000)
	if _, err := s.Apply(link); err != nil {
		t.Fatal(err)
	}
	first := encoded(&s, 0)
	if !same(first, encoded(&s, 0)) {
		t.Error("encoded twice")
	}
	var next Store
	links, err := DecodeLinks(first)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range links {
		if _, err := next.Apply(l); err != nil {
			t.Fatal(err)
		}
	}
	next.KeepEncoded(links, first)
	if !same(first, encoded(&next, 0)) {
		t.Error("what a neighbor sent was encoded anew")
	}
	if _, err := next.Apply(recordOfSize(2, 1000)); err != nil {
		t.Fatal(err)
	}
	if same(first, encoded(&next, 0)) {
		t.Error("old links were sent")
	}
	next.KeepEncoded(links, first)
	got, err := DecodeLinks(encoded(&next, 0))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, len(got)); diff != "" {
		t.Errorf("links after a late KeepEncoded (-want +got):\n%s", diff)
	}
}

// keyedLog holds records of a few keys, of which it may drop those that are not the newest of
// their key.
type keyedLog struct {
	keys    []string // of the record at each offset, from offset 1 on
	dropped baobabtide.Offset
}

// page returns the records after an offset, or the newest of each key if some of these are
// dropped.
func (l *keyedLog) page(after baobabtide.Offset) []baobabtide.Entry {
	newest := make(map[string]baobabtide.Offset)
	for i, key := range l.keys {
		newest[key] = baobabtide.Offset(i + 1)
	}
	var entries []baobabtide.Entry
	for i, key := range l.keys {
		offset := baobabtide.Offset(i + 1)
		if offset > after && after >= l.dropped || after < l.dropped && newest[key] == offset {
			entries = append(entries, recordOfSize(offset, 8).Entry)
		}
	}
	return entries
}

// Two readers that read pages at different times, and pass links and states on to each other,
// reach the end of the log with their next read, whatever it has dropped.
func TestReadersReachEndOfLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &keyedLog{}
		stores := []*Store{{}, {}}
		pending := make([][]baobabtide.Entry, len(stores)) // read and not applied yet
		end := func() baobabtide.Offset { return baobabtide.Offset(len(log.keys)) }
		reader := func(t *rapid.T) int { return rapid.IntRange(0, len(stores)-1).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				log.keys = append(log.keys, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			},
			"drop": func(*rapid.T) { log.dropped = end() },
			"read": func(t *rapid.T) {
				i := reader(t)
				pending[i] = log.page(stores[i].State().Offset)
			},
			"apply": func(t *rapid.T) {
				i := reader(t)
				stores[i].ApplyAll(pending[i])
				pending[i] = nil
			},
			"gossip": func(t *rapid.T) {
				from, to := stores[0], stores[1]
				if rapid.Bool().Draw(t, "reverse") {
					from, to = to, from
				}
				links, ok := from.Since(to.State().Offset)
				if !ok {
					to.Adopt(from.State())
				}
				for _, link := range links {
					if _, err := to.Apply(link); err != nil {
						t.Fatalf("link %d after %d: %v", link.Entry.Offset, link.Prev, err)
					}
				}
			},
			"": func(t *rapid.T) {
				for i, s := range stores {
					before := s.State().Offset
					var c Store
					c.Adopt(&State{Offset: before})
					c.ApplyAll(log.page(before))
					if got := c.State().Offset; got != end() {
						t.Fatalf("reader %d at %d reads up to %d, the log ends at %d", i, before, got, end())
					}
				}
			},
		})
	})
}

// A state from a neighbor holds the time at which the neighbor saw the start of a rollout. An earlier
// start that this node knows must not be forgotten for it, or the share of the new version falls.
func TestAdoptKeepsEarlierStart(t *testing.T) {
	early, late := time.Unix(100, 0).UTC(), time.Unix(105, 0).UTC()
	state := func(offset baobabtide.Offset, started time.Time) *State {
		return &State{Offset: offset, Assignments: map[string]baobabtide.Assignment{AssignmentKey("c", "s"): {
			Customer: "c", Service: "s", Current: baobabtide.AnyVersion,
			Rollout: &baobabtide.Rollout{Offset: 1, Customer: "c", Service: "s", To: "v2", Started: started},
		}}}
	}
	tests := map[string]struct {
		own, adopted, want time.Time
	}{
		"own start is earlier":     {early, late, early},
		"adopted start is earlier": {late, early, early},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s Store
			s.Adopt(state(1, tt.own))
			s.Adopt(state(2, tt.adopted))
			running := s.State().Running()
			if len(running) != 1 {
				t.Fatalf("%d rollouts run", len(running))
			}
			if diff := cmp.Diff(tt.want, running[0].Started); diff != "" {
				t.Errorf("start (-want +got):\n%s", diff)
			}
		})
	}
}

// Whatever readers read late, pass on or adopt: the newest record of each key up to a store's
// offset is folded into its state.
func TestNoNewestRecordIsSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &keyedLog{}
		stores := []*Store{{}, {}, {}}
		pending := make([][]baobabtide.Entry, len(stores))
		reader := func(t *rapid.T) int { return rapid.IntRange(0, len(stores)-1).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				log.keys = append(log.keys, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			},
			"drop": func(*rapid.T) { log.dropped = baobabtide.Offset(len(log.keys)) },
			"read": func(t *rapid.T) {
				i := reader(t)
				pending[i] = log.page(stores[i].State().Offset)
			},
			"apply": func(t *rapid.T) {
				i := reader(t)
				stores[i].ApplyAll(pending[i])
				pending[i] = nil
			},
			"gossip": func(t *rapid.T) {
				from, to := stores[reader(t)], stores[reader(t)]
				links, ok := from.Since(to.State().Offset)
				if !ok {
					to.Adopt(from.State())
				}
				for _, link := range links {
					if _, err := to.Apply(link); err != nil {
						t.Fatalf("link %d after %d: %v", link.Entry.Offset, link.Prev, err)
					}
				}
			},
			"": func(t *rapid.T) {
				for i, s := range stores {
					newest := make(map[string]baobabtide.Offset)
					for j, key := range log.keys[:s.State().Offset] {
						newest[key] = baobabtide.Offset(j + 1)
					}
					for key, offset := range newest {
						if _, ok := s.State().Audit.At(offset); !ok {
							t.Fatalf("reader %d at %d lacks record %d of key %s", i, s.State().Offset, offset, key)
						}
					}
				}
			},
		})
	})
}
