package btsettings

import "github.com/baobabtide/baobabtide"

// Terms holds the customer and the limits of all contracts on a platform whose
// operators publish only routes and versions.
type Terms struct {
	Customer string // customer of all requests, empty if the terms are not used
	Rollout  baobabtide.RolloutTerms
	Drain    baobabtide.DrainTerms

	// RetryBurst is the number of retries to one service that all nodes together
	// may send beyond the fraction of its requests that the retry budget allows, 0
	// for the nodes' default.
	RetryBurst float64 `json:",omitempty"`

	// ProbeRequests is the number of requests that a new version of a service with few requests may
	// get beyond MaxBadShare, 0 for none.
	ProbeRequests int `json:",omitzero"`
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is. Terms without a customer are not used and always valid.
func (t *Terms) Check() error {
	if t.Customer == "" {
		return nil
	}
	if t.RetryBurst < 0 {
		return baobabtide.Fieldf("RetryBurst", "%g is negative", t.RetryBurst)
	}
	if t.ProbeRequests < 0 {
		return baobabtide.Fieldf("ProbeRequests", "%d is negative", t.ProbeRequests)
	}
	if err := t.Rollout.Check(); err != nil {
		return baobabtide.Within("Rollout", err)
	}
	if err := t.Drain.Check(); err != nil {
		return baobabtide.Within("Drain", err)
	}
	return nil
}

// DrainTerms returns the terms of a planned stop: those that fit the grace time of the platform, or those
// of the Terms section if it has none.
func (s *Settings) DrainTerms() baobabtide.DrainTerms {
	if grace := s.Limits.Grace(); grace > 0 {
		return baobabtide.DrainWithin(grace)
	}
	return s.Terms.Drain
}
