package btretry

import "sync/atomic"

const (
	budgetPerRequest = 100    // thousandths of a retry that each request earns
	budgetPerRetry   = 1000   // thousandths that a retry costs
	maxBudget        = 20_000 // thousandths that are kept for a burst
)

// Budget bounds retries to a tenth of the requests and a small burst. The zero
// value holds a full burst.
type Budget struct {
	spent atomic.Int64 // thousandths below maxBudget
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	if spent := b.spent.Load(); spent > 0 {
		b.spent.CompareAndSwap(spent, max(0, spent-budgetPerRequest))
	}
}

// Spend takes a retry from the budget and returns false where none is left.
func (b *Budget) Spend() bool {
	for {
		spent := b.spent.Load()
		if spent+budgetPerRetry > maxBudget {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+budgetPerRetry) {
			return true
		}
	}
}
