package btconfig

import (
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
)

// After a restore of the log from an older copy, records that nodes have folded are gone from it. They
// stay in force, and those that are written again, or were kept, come under offsets of the next epoch.

// orderRelation is what the release of an unversioned service is to the latest rollout that is known.
type orderRelation int

const (
	newOrder    orderRelation = iota // a later release
	sameOrder                        // the release of that rollout, under an offset of a later epoch
	formerOrder                      // the release of a rollout before it
)

// relation returns what the release of a version at an offset is to the rollouts of a service. Only the
// first release of an epoch can be one that is known. One with the number of a known release was kept by the log.
func (s *State) relation(a *baobabtide.Assignment, offset baobabtide.Offset, version string, within time.Duration) orderRelation {
	latest := a.Rollout
	if a.Current != baobabtide.AnyVersion || latest == nil || latest.Offset.Epoch() >= offset.Epoch() {
		return newOrder
	}
	if latest.Is(offset, version) {
		return sameOrder
	}
	wasKept, wasKnown := false, false
	for i := range s.Outcomes {
		o := &s.Outcomes[i]
		if o.Customer != a.Customer || o.Service != a.Service || o.Version != version || o.Rollout.Epoch() >= offset.Epoch() {
			continue
		}
		wasKnown = true
		wasKept = wasKept || o.Rollout.Number() == offset.Number()
	}
	switch {
	case wasKept:
		return formerOrder
	case latest.To == version && latest.Terms.CompleteWithin == within:
		return sameOrder
	case wasKnown:
		return formerOrder
	default:
		return newOrder
	}
}

// moveRollout returns a rollout under the offset that its release has in a later epoch of the log.
func moveRollout(r *baobabtide.Rollout, offset baobabtide.Offset) *baobabtide.Rollout {
	moved := *r
	moved.Former = addFormer(r.Former, r.Offset)
	moved.Offset = offset
	return &moved
}

// addFormer returns the union of former offsets of a rollout, in increasing order.
func addFormer(former []baobabtide.Offset, more ...baobabtide.Offset) []baobabtide.Offset {
	union := slices.Concat(former, more)
	slices.Sort(union)
	return slices.Compact(union)
}

// copyFormerOutcomes adds the outcomes that rollouts had under former offsets under their present
// ones, which nodes know that start, or that had not read the former record. s must be a clone.
func (s *State) copyFormerOutcomes() {
	for i := range s.Outcomes {
		o := s.Outcomes[i]
		a, ok := s.Assignments[AssignmentKey(o.Customer, o.Service)]
		if !ok || a.Current != baobabtide.AnyVersion || a.Rollout == nil || o.Rollout == a.Rollout.Offset || !a.Rollout.Is(o.Rollout, o.Version) {
			continue
		}
		o.Rollout = a.Rollout.Offset
		s.Outcomes, _ = insertOutcome(s.Outcomes, &o) // a copy; the loop goes on over the elements before it
	}
}

// join returns the state that holds what two states hold, of which the second one has the same or a
// higher offset: the later contract of each customer, the later rollouts, all outcomes and the earlier
// starts of rollouts.
func join(older, newer *State) *State {
	next := newer.clone()
	isRestored := older.Offset.Epoch() < newer.Offset.Epoch()
	for customer, c := range older.Contracts {
		if held, ok := newer.Contracts[customer]; c.Contract.Revision > held.Contract.Revision || isRestored && !ok {
			next.Contracts[customer] = c
		}
	}
	for key, a := range older.Assignments {
		held, ok := next.Assignments[key]
		switch {
		case !ok && next.names(a.Customer, a.Service):
			next.Assignments[key] = a
		case ok:
			next.Assignments[key] = older.joinAssignment(a, held)
		}
	}
	for service, versions := range older.Services {
		if _, ok := next.Services[service]; isRestored && !ok {
			next.Services[service] = versions
		}
	}
	for i := range older.Outcomes {
		next.Outcomes, _ = insertOutcome(next.Outcomes, &older.Outcomes[i])
	}
	next.reconcileOutcomes()
	for _, r := range older.Running() {
		next = next.withStart(baobabtide.RolloutStart{Rollout: r.Offset, Customer: r.Customer, Service: r.Service, Version: r.To, Started: r.Started})
	}
	return next
}

// names reports whether a customer's contract names a service.
func (s *State) names(customer, service string) bool {
	_, ok := s.Terms(customer, service)
	return ok
}

// joinAssignment returns which of two assignments of a service holds: that of s, or one of a state that
// has the same or a higher offset.
func (s *State) joinAssignment(a, later baobabtide.Assignment) baobabtide.Assignment {
	if a.Current != baobabtide.AnyVersion || later.Current != baobabtide.AnyVersion || a.Rollout == nil {
		return later
	}
	if later.Rollout == nil || later.Rollout.Offset < a.Rollout.Offset {
		return a
	}
	r := later.Rollout
	switch s.relation(&a, r.Offset, r.To, r.Terms.CompleteWithin) {
	case formerOrder:
		return a
	case sameOrder:
		moved := moveRollout(a.Rollout, r.Offset)
		moved.Former = addFormer(moved.Former, r.Former...)
		if r.Started.Before(moved.Started) {
			moved.Started = r.Started
		}
		if moved.Result == "" {
			moved.Result, moved.Reason, moved.Ended, moved.Evidence = r.Result, r.Reason, r.Ended, r.Evidence
		}
		later.Rollout = moved
	}
	return later
}
