package btconfig

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

// releaseRelation is what the release of an unversioned service is to the latest rollout that is known.
type releaseRelation int

const (
	newRelease      releaseRelation = iota // a later release
	sameRelease                            // the release of that rollout, under an offset of a later epoch
	formerRelease                          // the release of a rollout before it
	returnedRelease                        // the release of a rollout that it replaced although that was the later one
)

// relation returns what a rollout is to the latest one of a service. The first release of an epoch can
// be one that is known: one with the number of a known release was kept by the log, and one with its sum
// was written again.
func (s *State) relation(a *baobabtide.Assignment, r *baobabtide.Rollout) releaseRelation {
	latest := a.Rollout
	if a.Current != baobabtide.AnyVersion || latest == nil {
		return newRelease
	}
	if _, ok := unseen(latest, r.Sum); ok && latest.Offset < r.Offset {
		return returnedRelease
	}
	if latest.Offset.Epoch() >= r.Offset.Epoch() {
		return newRelease
	}
	hasSums := latest.Sum != 0 && r.Sum != 0
	switch {
	case hasSums && latest.Sum == r.Sum, !hasSums && latest.Is(r.Offset, r.To, r.Sum):
		return sameRelease
	case s.precedesLatest(r, latest):
		return formerRelease
	case !hasSums && latest.To == r.To && latest.Terms.CompleteWithin == r.Terms.CompleteWithin:
		return sameRelease
	default:
		return newRelease
	}
}

// precedesLatest reports whether the release of a rollout is known from an earlier epoch, as one before the
// latest.
func (s *State) precedesLatest(r, latest *baobabtide.Rollout) bool {
	return s.wasEnded(r, latest.Offset) || r.Sum != 0 && s.Audit.hasSumBefore(r.Offset.EpochStart(), r.Sum)
}

// wasEnded reports whether there is an outcome of the release of a rollout in an earlier epoch, before an
// offset. Without sums that is known only if the log has kept the number of the release. Between epochs
// the order is known only of numbers that do not fall.
func (s *State) wasEnded(r *baobabtide.Rollout, before baobabtide.Offset) bool {
	return slices.ContainsFunc(s.Outcomes, func(o baobabtide.OutcomeRecord) bool {
		isKept := o.Rollout.Number() == r.Offset.Number()
		if sum := s.sumOf(&o); sum != 0 && r.Sum != 0 {
			isKept = sum == r.Sum
		}
		return isKept && o.Customer == r.Customer && o.Service == r.Service && o.Version == r.To &&
			o.Rollout < before && o.Rollout.Number() <= before.Number()
	})
}

// sumOf returns the sum of the release of an outcome, 0 if it is not known. Outcomes that earlier versions have
// recorded hold none.
func (s *State) sumOf(o *baobabtide.OutcomeRecord) uint64 {
	if o.Sum != 0 {
		return o.Sum
	}
	release, _ := s.Audit.At(o.Rollout)
	return release.Sum
}

// unseen returns the rollout with a sum that a rollout has replaced before its release came in the epoch.
func unseen(r *baobabtide.Rollout, sum uint64) (baobabtide.FormerRollout, bool) {
	i := slices.IndexFunc(r.Unseen, func(f baobabtide.FormerRollout) bool { return sum != 0 && f.Sum == sum })
	if i < 0 {
		return baobabtide.FormerRollout{}, false
	}
	return r.Unseen[i], true
}

const maxUnseen = 8 // rollouts in Rollout.Unseen

// addUnseen returns a copy of rollouts with one more, or with the offsets of one that is among them.
func addUnseen(unseen []baobabtide.FormerRollout, f baobabtide.FormerRollout) []baobabtide.FormerRollout {
	unseen = slices.Clone(unseen)
	for i := range unseen {
		if unseen[i].Sum == f.Sum {
			unseen[i].Offsets = addFormer(unseen[i].Offsets, f.Offsets...)
			return unseen
		}
	}
	return append(unseen, f)
}

// isUnseen reports whether a rollout of an earlier epoch that a new one replaces may be the later one: its release
// had a higher number and has not come in the present epoch, so the new one's may be one that the log has kept.
func isUnseen(latest, r *baobabtide.Rollout) bool {
	return latest.Offset.Epoch() < r.Offset.Epoch() && latest.Offset.Number() > r.Offset.Number() && latest.Sum != 0
}

// replace makes a new rollout replace the latest one of its service. A node that lacks older releases may take
// one that a restored log has kept for a new one; so it keeps what it knew until that is written again.
func replace(latest, r *baobabtide.Rollout) {
	former, returns := unseen(latest, r.Sum)
	if returns {
		r.Former = former.Offsets
	}
	for _, f := range latest.Unseen {
		if !returns || f.Sum != r.Sum {
			r.Unseen = addUnseen(r.Unseen, f)
		}
	}
	if isUnseen(latest, r) {
		r.Unseen = addUnseen(r.Unseen, baobabtide.FormerRollout{Offsets: addFormer(latest.Former, latest.Offset), Sum: latest.Sum})
	}
	if extra := len(r.Unseen) - maxUnseen; extra > 0 {
		r.Unseen = r.Unseen[extra:]
	}
}

// moveRollout returns a rollout under the offset that its release has in a later epoch of the log.
func moveRollout(r *baobabtide.Rollout, offset baobabtide.Offset) *baobabtide.Rollout {
	moved := *r
	moved.Former = addFormer(r.Former, r.Offset)
	moved.Offset = offset
	return &moved
}

// addFormer returns the union of former offsets of a rollout, in increasing order, nil for none.
func addFormer(former []baobabtide.Offset, more ...baobabtide.Offset) []baobabtide.Offset {
	union := slices.Concat(former, more)
	if len(union) == 0 {
		return nil
	}
	slices.Sort(union)
	return slices.Compact(union)
}

// copyFormerOutcomes adds the outcomes that rollouts had under former offsets under their present
// ones, which nodes know that start, or that had not read the former record. s must be a clone.
func (s *State) copyFormerOutcomes() {
	for i := range s.Outcomes {
		o := s.Outcomes[i]
		a, ok := s.Assignments[AssignmentKey(o.Customer, o.Service)]
		if !ok || a.Current != baobabtide.AnyVersion || a.Rollout == nil || o.Rollout == a.Rollout.Offset || !s.isOutcomeOf(&o, a.Rollout) {
			continue
		}
		o.Rollout = a.Rollout.Offset
		s.Outcomes, _ = insertOutcome(s.Outcomes, &o) // a copy; the loop goes on over the elements before it
	}
}

// isOutcomeOf reports whether an outcome is that of a rollout of its customer and service.
func (s *State) isOutcomeOf(o *baobabtide.OutcomeRecord, r *baobabtide.Rollout) bool {
	return r.Is(o.Rollout, o.Version, o.Sum) && r.Is(o.Rollout, o.Version, s.sumOf(o)) // the sum is looked up only if it matters
}
