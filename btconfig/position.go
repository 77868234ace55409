package btconfig

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

// Position tells how much of what was published a state holds. After a restore of the log, nodes that
// have read to the same offset may hold different contracts, as they had read to different points
// before.
type Position struct {
	Offset   baobabtide.Offset
	Revision uint64 // as State.Revision returns it
}

// Position returns the position of the state.
func (s *State) Position() Position { return Position{s.Offset, s.Revision()} }

// Covers reports whether a state at the position holds all that one at another position does.
func (p Position) Covers(other Position) bool {
	return p.Offset >= other.Offset && p.Revision >= other.Revision
}

// Join returns the lowest position that covers both.
func (p Position) Join(other Position) Position {
	return Position{max(p.Offset, other.Offset), max(p.Revision, other.Revision)}
}

// Revision returns the sum of the publishers' revisions of all contracts. Of two states of one log, the
// one that holds the later contract has the higher sum.
func (s *State) Revision() uint64 {
	sum := uint64(0)
	for customer := range s.Contracts {
		sum += s.Contracts[customer].Contract.Revision
	}
	return sum
}

// Contradicts reports whether the log has been restored from an older copy, by a page with the newest
// record of each key. A page that ends before the state may be a stale one, which holds records that newer ones
// had replaced before this state was read.
func (s *State) Contradicts(page *baobabtide.Page) bool {
	for i := range page.Entries {
		e := &page.Entries[i]
		if e.Sum == 0 || e.Offset.Number() == 0 || e.Offset > s.Offset {
			continue
		}
		folded, ok := s.Audit.At(e.Offset)
		switch {
		case ok && (folded.Sum == 0 || folded.Sum == e.Sum):
			if page.Next > s.Offset && s.holdsLater(e) {
				return true
			}
		case ok:
			return true
		case page.Next > s.Offset:
			if s.Audit.covers(e.Offset) {
				return true
			}
		case s.Audit.hasSum(e.Offset.Epoch(), e.Sum) || s.isLater(e):
			return true
		}
	}
	return false
}

// isLater reports whether an entry holds a contract with a later revision than the one in force.
func (s *State) isLater(e *baobabtide.Entry) bool {
	rec, err := decodeRecord(e.Data)
	return err == nil && rec.Contract != nil && rec.Contract.Revision > s.Contracts[rec.Contract.Customer].Contract.Revision
}

// holdsLater reports whether the state holds a contract or a rollout of the epoch of an entry that is later than
// that of the entry.
func (s *State) holdsLater(e *baobabtide.Entry) bool {
	rec, err := decodeRecord(e.Data)
	if err != nil {
		return false
	}
	isLater := func(offset baobabtide.Offset) bool { return offset > e.Offset && offset.Epoch() == e.Offset.Epoch() }
	switch {
	case rec.Contract != nil:
		return isLater(s.Contracts[rec.Contract.Customer].Revision)
	case rec.Release != nil:
		return slices.ContainsFunc(rec.Release.Customers, func(customer string) bool {
			a := s.Assignments[AssignmentKey(customer, rec.Release.Service)]
			return a.Rollout != nil && isLater(a.Rollout.Offset)
		})
	}
	return false
}
