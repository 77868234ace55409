package btretry

import (
	"sync"
	"sync/atomic"
)

const (
	budgetPerRequest = 100    // thousandths of a retry that each request earns
	budgetPerRetry   = 1000   // thousandths that a retry costs
	maxBudget        = 20_000 // thousandths that are kept for a burst, where no other bound is set
)

// Budget bounds retries to a tenth of the requests and a small burst. The zero
// value holds a full burst.
type Budget struct {
	spent atomic.Int64 // thousandths below the bound
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	if spent := b.spent.Load(); spent > 0 {
		b.spent.CompareAndSwap(spent, max(0, spent-budgetPerRequest))
	}
}

// Spend takes a retry from the budget and returns false where none is left. A
// bound in thousandths replaces that of the zero value unless it is 0.
func (b *Budget) Spend(bound int64) bool {
	if bound == 0 {
		bound = maxBudget
	}
	for {
		spent := b.spent.Load()
		if spent+budgetPerRetry > bound {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+budgetPerRetry) {
			return true
		}
	}
}

// Budgets hold a budget for each service. The bursts of all nodes share one
// allowance, so each node's part shrinks as the fleet grows. The zero value is
// ready.
type Budgets struct {
	burst atomic.Int64 // thousandths, 0 for the default
	mu    sync.Mutex
	by    map[string]*Budget
}

// SetBurst sets the retries that the node may send at once to one service. It
// is at least one.
func (b *Budgets) SetBurst(retries float64) {
	b.burst.Store(max(budgetPerRetry, int64(retries*budgetPerRetry)))
}

func (b *Budgets) of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.by == nil {
		b.by = make(map[string]*Budget)
	}
	if b.by[service] == nil {
		b.by[service] = &Budget{}
	}
	return b.by[service]
}

// Earn notes the first attempt of a request to a service.
func (b *Budgets) Earn(service string) { b.of(service).Earn() }

// Spend takes a retry from a service's budget and returns false where none is
// left.
func (b *Budgets) Spend(service string) bool { return b.of(service).Spend(b.burst.Load()) }
