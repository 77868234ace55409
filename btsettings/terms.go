package btsettings

import "github.com/baobabtide/baobabtide"

// Terms are the limits of all contracts on a platform whose operators write
// only routes and versions.
type Terms struct {
	Customer string // of all requests
	Rollout  baobabtide.RolloutTerms
	Drain    baobabtide.DrainTerms

	// RetryBurst is how many retries all nodes together may send to one service
	// beyond their share of its requests, 0 for the nodes' default.
	RetryBurst float64 `json:",omitempty"`
}

// Check reports the first field that breaks a rule. Terms without a customer
// are unused.
func (t *Terms) Check() error {
	if t.Customer == "" {
		return nil
	}
	if t.RetryBurst < 0 {
		return baobabtide.Fieldf("RetryBurst", "%g is negative", t.RetryBurst)
	}
	if err := t.Rollout.Check(); err != nil {
		return baobabtide.Within("Rollout", err)
	}
	if err := t.Drain.Check(); err != nil {
		return baobabtide.Within("Drain", err)
	}
	return nil
}
