package btnode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// The total rate of directory lookups is about the same for any number of nodes,
// and the pause of a node whose lookups fail grows up to a limit.
func TestDirectoryPause(t *testing.T) {
	tests := map[string]struct {
		failures, live int
		want           time.Duration
	}{
		"first failure":   {1, 1, 300 * time.Millisecond},
		"third failure":   {3, 1, 1200 * time.Millisecond},
		"many failures":   {90, 1, 2 * time.Second},
		"13 nodes":        {0, 13, 20 * time.Second},
		"2,000 nodes":     {0, 2000, 42 * time.Minute},
		"alone in a zone": {0, 1, 20 * time.Second},
	}
	for name, tt := range tests {
		if got := directoryPause(tt.failures, tt.live); got != tt.want {
			t.Errorf("%s: pause is %s, want %s", name, got, tt.want)
		}
	}
}

// After a restart of all nodes the directory also lists nodes that are gone for
// good. The nodes that restarted come first in the order.
func TestSeedOrder(t *testing.T) {
	const started = 1_700_000_000_000 // milliseconds
	nodes := []baobabtide.Listing{
		{Name: "gone", Address: "gone", Incarnation: started - 60_000},
		{Name: "a", Address: "a", Incarnation: started},
		{Name: "left", Address: "left", Incarnation: 0},
		{Name: "b", Address: "b", Incarnation: started - 300},
	}
	reverse := func(n int, swap func(i, j int)) {
		for i := range n / 2 {
			swap(i, n-1-i)
		}
	}
	if diff := cmp.Diff([]string{"b", "a", "left", "gone"}, seedOrder(nodes, reverse)); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
}
