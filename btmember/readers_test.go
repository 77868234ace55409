package btmember

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// zoneOf returns a member's zone.
func zoneOf(tb *Table, name string) string {
	m, _ := tb.Get(name)
	return m.Zone
}

// The log answers some members of one of two zones. If it does not answer a reader, all candidates
// of the zone that it may answer read, and the order of the turns alternates between the zones.
func TestReadersThatLogDoesNotAnswerAreReplaced(t *testing.T) {
	const perZone = 2
	tests := map[string]struct {
		members int // of each zone
		refused int // readers of zone z0 that are refused, one after the other
		want    int // readers of zone z0 in the end
	}{
		"none refused":         {12, 0, 2},
		"one reader":           {12, 1, 9},
		"both readers":         {12, 2, 8},
		"the substitutes, too": {12, 6, 4},
		"all candidates":       {12, 10, 2},
		"all of a small zone":  {2, 2, 2},
		"one of a small zone":  {2, 1, 1},
		"three of four":        {4, 3, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTable("self")
			var all Delta
			for zone := range 2 {
				for i := range tt.members {
					all.Members = append(all.Members, member(fmt.Sprintf("n%d-%02d", zone, i), fmt.Sprintf("z%d", zone)))
				}
			}
			tb.Merge(all, epoch)
			for range tt.refused {
				for _, name := range tb.LogReaders(perZone) {
					m, _ := tb.Get(name)
					if m.Zone == "z0" && !m.LogDown {
						m.LogDown = true
						m.Sequence++
						tb.Merge(Delta{Members: []baobabtide.Member{m}}, epoch)
						break
					}
				}
			}
			got := map[string]int{}
			var zones []string
			for _, name := range tb.LogReaders(perZone) {
				zones = append(zones, zoneOf(tb, name))
				got[zoneOf(tb, name)]++
				if m, _ := tb.Get(name); m.LogDown && tt.refused < min(tt.members, perZone+maxSubstitutes) {
					t.Errorf("%s reads, and the log does not answer it", name)
				}
			}
			want := map[string]int{"z": 1, "z0": tt.want, "z1": 2}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("readers (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string{"z", "z0", "z1"}, zones[:3]); diff != "" {
				t.Errorf("zones of the first turns (-want +got):\n%s", diff)
			}
		})
	}
}

// A node announces once that the log does not answer it, and no more after it has left.
func TestSetLogDown(t *testing.T) {
	tb := newTable("self")
	var got []int
	for _, down := range []bool{false, true, true, false} {
		d := tb.SetLogDown(down, epoch)
		got = append(got, len(d.Members))
	}
	tb.Leave(nil, epoch)
	d := tb.SetLogDown(true, epoch)
	if diff := cmp.Diff([]int{0, 1, 0, 1, 0}, append(got, len(d.Members))); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func BenchmarkLogReaders2000(b *testing.B) {
	tb := newTable("self")
	var all Delta
	for i := range 2000 {
		all.Members = append(all.Members, member(fmt.Sprintf("n%04d", i), fmt.Sprintf("z%d", i%7)))
	}
	tb.Merge(all, epoch)
	b.ReportAllocs()
	for b.Loop() {
		tb.readers.generation = 0
		tb.LogReaders(2)
	}
}

// A node of the version before drops LogDown from the records that it passes on. A node that gets
// such a copy first must take the field from the next copy.
func TestLogDownArrivesBehindCopyWithoutIt(t *testing.T) {
	tb := newTable("self")
	reader := member("reader", "z")
	tb.Merge(Delta{Members: []baobabtide.Member{reader}}, epoch)
	reader.Sequence++
	tb.Merge(Delta{Members: []baobabtide.Member{reader}}, epoch) // through a node of the version before
	reader.LogDown = true
	tb.Merge(Delta{Members: []baobabtide.Member{reader}}, epoch) // directly
	if m, _ := tb.Get("reader"); !m.LogDown {
		t.Error("the flag is lost until the reader's next change, and both digests are the same")
	}
}
