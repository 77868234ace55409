package btmember

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A node that has contacted one seed must still contact the others: two groups that
// formed around different seeds once stayed apart for 28 s.
func TestSeedsDueAfterFirstContact(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a", "b", "c"}, start, 0)
	known := map[string]bool{"a": true}
	firstContact := make(map[string]time.Duration)
	for at := time.Duration(0); at < 5*time.Second; at += 250 * time.Millisecond {
		for _, address := range seeds.Due(start.Add(at), false, func(a string) bool { return known[a] }) {
			if _, seen := firstContact[address]; !seen {
				firstContact[address] = at
			}
		}
	}
	want := map[string]time.Duration{"b": 0, "c": 500 * time.Millisecond}
	if diff := cmp.Diff(want, firstContact); diff != "" {
		t.Errorf("first contacts (-want +got):\n%s", diff)
	}
}

func TestSeedsDueWhenAllAreKnown(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a", "b"}, start, 0.9)
	if due := seeds.Due(start, true, func(string) bool { return true }); len(due) > 0 {
		t.Errorf("contacts to %q although all seeds are known", due)
	}
}

// Seeds that are gone for good must be contacted only once per steadyInterval after
// the join phase.
func TestSeedsDueIntervalAfterJoinPhase(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a"}, start, 0)
	contacts := 0
	for at := joinPhase; at < joinPhase+100*time.Second; at += 250 * time.Millisecond {
		contacts += len(seeds.Due(start.Add(at), true, func(string) bool { return false }))
	}
	if diff := cmp.Diff(10, contacts); diff != "" {
		t.Errorf("contacts in 100 s (-want +got):\n%s", diff)
	}
}

// An isolated node contacts several seeds at once, in the order in which they were
// offered: some are gone for good, and it takes long to detect that.
func TestSeedsDueOfIsolatedNode(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds(nil, start, 0.7)
	seeds.Add([]string{"own", "a", "b", "c", "d", "e"})
	own := func(a string) bool { return a == "own" }
	if diff := cmp.Diff([]string{"a", "b", "c", "d"}, seeds.Due(start, true, own)); diff != "" {
		t.Errorf("contacts at once (-want +got):\n%s", diff)
	}
	if due := seeds.Due(start.Add(100*time.Millisecond), true, own); len(due) > 0 {
		t.Errorf("contacts to %q before the interval has elapsed", due)
	}
	if diff := cmp.Diff([]string{"e", "a", "b", "c"}, seeds.Due(start.Add(time.Second), true, own)); diff != "" {
		t.Errorf("contacts after the interval (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"d"}, seeds.Due(start.Add(2*time.Second), false, own)); diff != "" {
		t.Errorf("contacts of a node that is no longer isolated (-want +got):\n%s", diff)
	}
}
