package btconfig

import "github.com/baobabtide/baobabtide"

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
		next = next.withStart(baobabtide.RolloutStart{Rollout: r.Offset, Customer: r.Customer, Service: r.Service, Version: r.To, Started: r.Started, Sum: r.Sum})
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
	if later.Rollout == nil {
		return a
	}
	r := later.Rollout
	relation := s.relation(&a, r)
	switch {
	case r.Offset == a.Rollout.Offset, r.Sum != 0 && r.Sum == a.Rollout.Sum, relation == sameRelease:
		later.Rollout = unite(a.Rollout, r)
	case relation == formerRelease, relation == newRelease && r.Offset < a.Rollout.Offset:
		return a
	default:
		replacing := *r
		replace(a.Rollout, &replacing)
		replacing.Former = addFormer(replacing.Former, r.Former...)
		later.Rollout = &replacing
	}
	return later
}

// unite returns what two nodes know of one rollout. Its offset is the one of the later epoch, and within an epoch
// that of the second one, whose state is the later one.
func unite(a, b *baobabtide.Rollout) *baobabtide.Rollout {
	if a.Offset.Epoch() > b.Offset.Epoch() {
		a, b = b, a
	}
	united := *b
	united.Former = addFormer(a.Former, b.Former...)
	if a.Offset != b.Offset {
		united.Former = addFormer(united.Former, a.Offset)
	}
	if a.Started.Before(b.Started) {
		united.Started = a.Started
	}
	if b.Result == "" {
		united.Result, united.Reason, united.Ended, united.Evidence = a.Result, a.Reason, a.Ended, a.Evidence
	}
	return &united
}
