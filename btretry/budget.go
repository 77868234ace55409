package btretry

import (
	"sync"
	"sync/atomic"
)

const (
	budgetPerRequest = 100    // thousandths of a retry added to the budget per request
	budgetPerRetry   = 1000   // thousandths of a retry consumed per retry
	defaultBurst     = 20_000 // thousandths of a retry
)

// Budget limits retries to a tenth of the requests plus a burst. It is a token
// bucket that requests fill and retries drain. The zero value is full. All methods
// are safe for concurrent use.
type Budget struct {
	spent atomic.Int64 // thousandths of a retry consumed and not yet earned back
}

// Earn adds the share of one request to the budget. Call it once per request, for
// the first attempt. If it races with another update, the share may be dropped.
func (b *Budget) Earn() {
	if spent := b.spent.Load(); spent > 0 {
		b.spent.CompareAndSwap(spent, max(0, spent-budgetPerRequest))
	}
}

// Spend takes one retry from the budget. It returns false, and takes nothing, if
// less than one retry is left. The burst is in thousandths of a retry, 0 for
// defaultBurst.
func (b *Budget) Spend(burst int64) bool {
	if burst == 0 {
		burst = defaultBurst
	}
	for {
		spent := b.spent.Load()
		if spent+budgetPerRetry > burst {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+budgetPerRetry) {
			return true
		}
	}
}

// Budgets holds a retry budget per service. All nodes share one total burst, so
// the burst of each node shrinks as the number of nodes grows. The zero value is
// ready to use. All methods are safe for concurrent use.
type Budgets struct {
	burst     atomic.Int64 // thousandths of a retry, 0 for defaultBurst
	mu        sync.Mutex
	byService map[string]*Budget
}

// SetBurst sets the number of retries that the node may send to one service in a
// burst. A number below one counts as one.
func (b *Budgets) SetBurst(retries float64) {
	b.burst.Store(max(budgetPerRetry, int64(retries*budgetPerRetry)))
}

func (b *Budgets) budget(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[string]*Budget)
	}
	if b.byService[service] == nil {
		b.byService[service] = &Budget{}
	}
	return b.byService[service]
}

// Earn adds the share of one request to the service's budget. Call it once per
// request, for the first attempt.
func (b *Budgets) Earn(service string) { b.budget(service).Earn() }

// Spend takes one retry from the service's budget. It returns false if less than
// one retry is left.
func (b *Budgets) Spend(service string) bool { return b.budget(service).Spend(b.burst.Load()) }
