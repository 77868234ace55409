package btconfig

import "github.com/baobabtide/baobabtide"

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

// Contradicts reports whether the log has been restored from an older copy, by the newest record of
// each key: one at or below the state's offset is not the record that was folded there, or none was.
// It ignores records without a sum.
func (s *State) Contradicts(newest []baobabtide.Entry) bool {
	for i := range newest {
		e := &newest[i]
		if e.Sum == 0 || e.Offset.Number() == 0 || e.Offset > s.Offset {
			continue
		}
		folded, ok := s.Audit.At(e.Offset)
		if ok && folded.Sum != 0 && folded.Sum != e.Sum || !ok && s.Audit.covers(e.Offset) {
			return true
		}
	}
	return false
}
