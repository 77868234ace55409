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
			next.Assignments[key] = joinAssignments(older, a, newer, held)
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

// joinAssignments returns which of two assignments of a service holds, each with the state that holds it. The state
// whose rollout has the lower offset judges the other one: it alone can know that this is an earlier one, which a
// restored log has kept.
func joinAssignments(s *State, a baobabtide.Assignment, other *State, b baobabtide.Assignment) baobabtide.Assignment {
	switch {
	case a.Current != baobabtide.AnyVersion || b.Current != baobabtide.AnyVersion || a.Rollout == nil:
		return b
	case b.Rollout == nil:
		return a
	case b.Rollout.Offset < a.Rollout.Offset:
		return joinAssignments(other, b, s, a)
	}
	relation := s.relation(&a, b.Rollout)
	switch {
	case b.Rollout.Offset == a.Rollout.Offset, b.Rollout.Sum != 0 && b.Rollout.Sum == a.Rollout.Sum, relation == sameRelease:
		b.Rollout = unite(a.Rollout, b.Rollout)
	case relation == formerRelease:
		return a
	default:
		replacing := *b.Rollout
		replace(a.Rollout, &replacing)
		replacing.Former = addFormer(replacing.Former, b.Rollout.Former...)
		b.Rollout = &replacing
	}
	return b
}

// unite returns what two nodes know of one rollout, under the higher of its offsets, which is that of b.
func unite(a, b *baobabtide.Rollout) *baobabtide.Rollout {
	united := *b
	united.Former = addFormer(a.Former, b.Former...)
	if a.Offset != b.Offset {
		united.Former = addFormer(united.Former, a.Offset)
	}
	for _, f := range a.Unseen {
		united.Unseen = addUnseen(united.Unseen, f)
	}
	if a.Started.Before(b.Started) {
		united.Started = a.Started
	}
	if b.Result == "" {
		united.Result, united.Reason, united.Ended, united.Evidence = a.Result, a.Reason, a.Ended, a.Evidence
	}
	return &united
}
