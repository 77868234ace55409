package btexperiment

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/btcodec"
)

// The faults of a soak follow from its seed, are valid, overlap, and end before the load.
func TestSoak(t *testing.T) {
	data, err := os.ReadFile("../../experiments/soak.json")
	if err != nil {
		t.Fatal(err)
	}
	e, err := btcodec.DecodeJSON[Experiment](data)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[FaultKind]bool)
	forgetting, silent, refusing, restoring := 0, 0, 0, 0 // seeds
	for seed := range uint64(50) {
		soak := e.Soak(seed)
		if diff := cmp.Diff(soak, e.Soak(seed)); diff != "" {
			t.Fatalf("seed %d differs (-first +second):\n%s", seed, diff)
		}
		if err := soak.Check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		overlaps := 0
		forgets, silence, refusesAll, restores := false, false, false, false
		for i, f := range soak.Faults {
			kinds[f.Kind] = true
			forgets = forgets || f.LogFaults.Forget
			silence = silence || f.LogFaults.Silence
			restores = restores || f.LogFaults.Restore > 0
			refusesAll = refusesAll || f.Readers && f.Zone == ""
			if f.At+f.For > e.Duration {
				t.Errorf("seed %d: %s from %s for %s, the load ends after %s", seed, f.Kind, f.At, f.For, e.Duration)
			}
			for _, other := range soak.Faults[:i] {
				if f.At < other.At+other.For && other.At < f.At+f.For {
					overlaps++
				}
			}
		}
		if overlaps == 0 {
			t.Errorf("seed %d: no faults overlap", seed)
		}
		if forgets && (silence || refusesAll) {
			t.Errorf("seed %d: the log forgets records that no node may have read", seed)
		}
		if forgets {
			forgetting++
		}
		if silence {
			silent++
		}
		if restores {
			restoring++
		}
		if refusesAll {
			refusing++
		}
	}
	if forgetting == 0 || silent == 0 || refusing == 0 || restoring == 0 {
		t.Errorf("of 50 seeds the log forgets in %d, falls silent in %d, refuses all readers in %d and is restored in %d", forgetting, silent, refusing, restoring)
	}
	if want := 8; len(kinds) != want {
		t.Errorf("%d kinds of faults in 50 seeds, want %d", len(kinds), want)
	}
}
