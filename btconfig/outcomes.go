package btconfig

import (
	"cmp"
	"slices"

	"github.com/baobabtide/baobabtide"
)

// The outcomes of unversioned services are kept apart from the configuration
// stream, in an OutcomeLog. They are a set that only grows, and only the first
// outcome of a rollout counts, so nodes that receive them in different orders
// agree.

// WithOutcome returns the state with one more outcome of an unversioned service.
// It returns s if s has an outcome of that rollout already, unless the rollout was
// completed and s takes it for one that was replaced.
func (s *State) WithOutcome(o baobabtide.OutcomeRecord) *State {
	outcomes, changed := insertOutcome(s.Outcomes, &o)
	if !changed {
		return s
	}
	next := s.clone()
	next.Outcomes = outcomes
	next.reconcileOutcomes()
	return next
}

// insertOutcome returns a copy of outcomes with one more, as WithOutcome describes it, or the
// outcomes themselves and false if it has no effect.
func insertOutcome(outcomes []baobabtide.OutcomeRecord, o *baobabtide.OutcomeRecord) ([]baobabtide.OutcomeRecord, bool) {
	i, found := slices.BinarySearchFunc(outcomes, *o, compareOutcomes)
	switch {
	case !found:
		return slices.Insert(slices.Clone(outcomes), i, *o), true
	case outcomes[i].Result == baobabtide.Reverted && o.Result == baobabtide.Completed:
		outcomes = slices.Clone(outcomes)
		outcomes[i] = *o
		return outcomes, true
	default:
		return outcomes, false
	}
}

// HasOutcome reports whether the state has an outcome of the same rollout.
func (s *State) HasOutcome(o *baobabtide.OutcomeRecord) bool {
	_, found := slices.BinarySearchFunc(s.Outcomes, *o, compareOutcomes)
	return found
}

// replacedOutcome returns the outcome of a rollout that another one replaced before it had
// ended. It is not recorded in the outcome log, as each node that sees both orders finds it.
func replacedOutcome(customer, service string, rollout baobabtide.Offset, version string, sum uint64) *baobabtide.OutcomeRecord {
	return &baobabtide.OutcomeRecord{
		Rollout:  rollout,
		Customer: customer,
		Service:  service,
		Version:  version,
		Result:   baobabtide.Reverted,
		Reason:   "another rollout replaced it",
		Sum:      sum,
	}
}

// EarlierOutcomes returns the outcomes of rollouts of an unversioned service before the one at an
// offset that still count: the latest completed one and those after it, maxEarlier at most.
func (s *State) EarlierOutcomes(customer, service string, before baobabtide.Offset) []baobabtide.OutcomeRecord {
	var earlier []baobabtide.OutcomeRecord
	for _, o := range s.Outcomes {
		if o.Customer != customer || o.Service != service || o.Rollout >= before {
			continue
		}
		if o.Result == baobabtide.Completed {
			earlier = nil
		}
		if len(earlier) == maxEarlier {
			earlier = slices.Delete(earlier, 1, 2) // the first may be the completed one
		}
		o.Reason, o.Evidence = "", nil
		earlier = append(earlier, o)
	}
	return earlier
}

const maxEarlier = 32 // outcomes of one service that EarlierOutcomes returns

// withStart returns the state with an earlier start time of a running rollout. It
// returns s if the rollout does not run or its start time is not later than the
// given one. A rollout before the latest one has been replaced.
func (s *State) withStart(start baobabtide.RolloutStart) *State {
	key := AssignmentKey(start.Customer, start.Service)
	a, ok := s.Assignments[key]
	if ok && a.Current == baobabtide.AnyVersion && a.Rollout != nil && precedes(&start, a.Rollout) {
		return s.WithOutcome(*replacedOutcome(start.Customer, start.Service, start.Rollout, start.Version, start.Sum))
	}
	if !ok || !a.Running() || !a.Rollout.Is(start.Rollout, start.Version, start.Sum) || !start.Started.Before(a.Rollout.Started) {
		return s
	}
	rollout := *a.Rollout
	rollout.Started = start.Started
	a.Rollout = &rollout
	next := s.clone()
	next.Assignments[key] = a
	return next
}

// precedes reports whether a start is that of a rollout before another one of the service. Between epochs of
// the log that is known only of records that a restored log has kept, which have the same numbers.
func precedes(start *baobabtide.RolloutStart, r *baobabtide.Rollout) bool {
	return start.Rollout < r.Offset && !r.Is(start.Rollout, start.Version, start.Sum) && start.Rollout.Number() < r.Offset.Number()
}

// compareOutcomes orders outcomes by rollout, customer and service, the fields
// that identify an outcome.
func compareOutcomes(a, b baobabtide.OutcomeRecord) int {
	return cmp.Or(
		cmp.Compare(a.Rollout, b.Rollout),
		cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.Service, b.Service),
	)
}

// reconcileOutcomes ends the rollouts of unversioned services that have an outcome,
// and works out which of their versions are in force and refused. s must be a clone.
func (s *State) reconcileOutcomes() {
	s.copyFormerOutcomes()
	for key, a := range s.Assignments {
		if a.Current == baobabtide.AnyVersion && a.Rollout != nil {
			a.InForce, a.Refused = "", nil
			s.Assignments[key] = a
		}
	}
	for i := range s.Outcomes {
		o := &s.Outcomes[i]
		key := AssignmentKey(o.Customer, o.Service)
		a, ok := s.Assignments[key]
		if !ok || a.Current != baobabtide.AnyVersion || a.Rollout == nil || o.Rollout > a.Rollout.Offset {
			continue
		}
		if a.Rollout.Offset == o.Rollout {
			a = endRollout(a, o)
		}
		s.Assignments[key] = applyResult(a, o)
	}
}

// applyResult returns the assignment after the next of its outcomes. A version that is in
// force is not refused: there is none to return to. Neither is one that is released again,
// while its rollout runs.
func applyResult(a baobabtide.Assignment, o *baobabtide.OutcomeRecord) baobabtide.Assignment {
	isVersion := func(version string) bool { return version == o.Version }
	switch {
	case o.Version == "":
	case o.Result == baobabtide.Completed:
		a.InForce = o.Version
		if a.Refused = slices.DeleteFunc(slices.Clone(a.Refused), isVersion); len(a.Refused) == 0 {
			a.Refused = nil // as in a state that never had one, which nodes compare and encode
		}
	case o.Version == a.InForce || slices.ContainsFunc(a.Refused, isVersion):
	case a.Running() && a.Rollout.To == o.Version:
	default:
		a.Refused = append(slices.Clip(a.Refused), o.Version)
	}
	return a
}

// endRollout returns the assignment with the outcome of its rollout set, unless the
// rollout has it already.
func endRollout(a baobabtide.Assignment, o *baobabtide.OutcomeRecord) baobabtide.Assignment {
	if a.Rollout.Result == o.Result {
		return a
	}
	rollout := *a.Rollout
	rollout.Result = o.Result
	rollout.Reason = o.Reason
	rollout.Evidence = o.Evidence
	a.Rollout = &rollout
	return a
}
