package btnode

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

// A cold server serves all customers, so the strictest contract bounds it.
func TestColdLimitIsTheLowestOfAllContracts(t *testing.T) {
	state := &btconfig.State{Contracts: make(map[string]btconfig.ContractState)}
	for customer, limits := range map[string][]float64{"c": {20, 0, 0}, "d": {10, 5, 0}, "e": {15, 0, 0}} {
		contract := btfixture.Contract(customer, "limited", "once", "never")
		for i, limit := range limits {
			contract.Services[i].ColdPerSecond = limit
		}
		state.Contracts[customer] = btconfig.ContractState{Contract: *contract}
	}
	if diff := cmp.Diff(map[string]float64{"limited": 10, "once": 5}, coldLimits(state)); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
}
