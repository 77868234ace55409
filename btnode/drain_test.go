package btnode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

// A stopping node uses the shortest notice and the longest time to finish of all
// contracts for the services of its targets.
func TestDrainTerms(t *testing.T) {
	contract := func(customer, service string, notice, finish time.Duration) btconfig.ContractState {
		c := btfixture.Contract(customer, service)
		c.Services[0].Drain = baobabtide.DrainTerms{Notice: notice, Finish: finish}
		return btconfig.ContractState{Contract: *c}
	}
	state := &btconfig.State{Contracts: map[string]btconfig.ContractState{
		"a": contract("a", "s", 300*time.Millisecond, 10*time.Second),
		"b": contract("b", "s", 5*time.Second, 40*time.Second),
		"c": contract("c", "other", 0, time.Minute),
	}}
	tests := map[string]struct {
		targets []baobabtide.Target
		want    baobabtide.DrainTerms
	}{
		"no target":     {nil, baobabtide.DrainTerms{Notice: defaultNotice, Finish: defaultFinish}},
		"two contracts": {[]baobabtide.Target{{Service: "s"}}, baobabtide.DrainTerms{Notice: 300 * time.Millisecond, Finish: 40 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, drainTerms(state, tt.targets)); diff != "" {
				t.Errorf("terms (-want +got):\n%s", diff)
			}
		})
	}
}
