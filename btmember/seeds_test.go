package btmember

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A node that has met one seed must go on looking for the others: two groups
// that formed around different seeds were apart for 28 s.
func TestSeedsVisitsStrangersAfterTheFirstMeeting(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a", "b", "c"}, start, 0)
	known := map[string]bool{"a": true}
	visited := make(map[string]time.Duration)
	for at := time.Duration(0); at < 5*time.Second; at += 250 * time.Millisecond {
		address, ok := seeds.Due(start.Add(at), func(a string) bool { return known[a] })
		if _, seen := visited[address]; ok && !seen {
			visited[address] = at
		}
	}
	want := map[string]time.Duration{"b": 0, "c": 500 * time.Millisecond}
	if diff := cmp.Diff(want, visited); diff != "" {
		t.Errorf("first visits (-want +got):\n%s", diff)
	}
}

func TestSeedsRestsOnceAllAreKnown(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a", "b"}, start, 0.9)
	if address, ok := seeds.Due(start, func(string) bool { return true }); ok {
		t.Errorf("visit to %q although all seeds are known", address)
	}
}

// Seeds that are gone for good must cost little.
func TestSeedsVisitsRarelyAfterTheJoinPhase(t *testing.T) {
	start := time.Unix(1000, 0)
	seeds := NewSeeds([]string{"a"}, start, 0)
	visits := 0
	for at := joinPhase; at < joinPhase+100*time.Second; at += 250 * time.Millisecond {
		if _, ok := seeds.Due(start.Add(at), func(string) bool { return false }); ok {
			visits++
		}
	}
	if diff := cmp.Diff(10, visits); diff != "" {
		t.Errorf("visits in 100 s (-want +got):\n%s", diff)
	}
}
