package btconfig

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// Link is an entry of the log with the offset of the entry before it. Offsets are not
// consecutive, so a node needs the previous offset to detect missing entries.
type Link struct {
	Prev  baobabtide.Offset `cbor:"1,keyasint"`
	Entry baobabtide.Entry  `cbor:"2,keyasint"`
}

// ErrGap means that entries between the store's offset and a link are missing.
var ErrGap = errors.New("entries before this one are missing")

const maxTailLinks = 512 // when it is exceeded, only the newer half is kept

// Store holds the current state and the newest links. The zero value is at
// offset 0. The offset never decreases. All methods are safe for concurrent use.
type Store struct {
	state atomic.Pointer[State]

	mu   sync.Mutex
	tail []Link // without gaps; the last one holds the newest entry folded into state
}

var emptyState = &State{}

// State returns the current state.
func (s *Store) State() *State {
	if state := s.state.Load(); state != nil {
		return state
	}
	return emptyState
}

// Apply folds a link into the state and returns true. It returns false for an
// entry that is already part of the state, and ErrGap if entries before the link
// are missing.
func (s *Store) Apply(link Link) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.State()
	if link.Entry.Offset <= state.Offset {
		return false, nil
	}
	if link.Prev != state.Offset {
		return false, ErrGap
	}
	s.state.Store(Fold(state, link.Entry))
	s.tail = append(s.tail, link)
	if len(s.tail) > maxTailLinks {
		s.tail = append([]Link(nil), s.tail[len(s.tail)-maxTailLinks/2:]...)
	}
	return true, nil
}

// AddOutcome adds an outcome of an unversioned service to the state. It returns
// false if the state has an outcome of that rollout already.
func (s *Store) AddOutcome(o baobabtide.OutcomeRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.State()
	next := old.WithOutcome(o)
	s.state.Store(next)
	return next != old
}

// AddRolloutStart sets the start time of a running rollout. It has no effect if the
// rollout does not run or its known start time is not later than the given one.
func (s *Store) AddRolloutStart(start baobabtide.RolloutStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Store(s.State().withStart(start))
}

// Adopt replaces the state by one with a higher offset, such as a snapshot, and
// keeps the known outcomes. It returns false if the offset is not higher.
func (s *Store) Adopt(state *State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.State()
	if state.Offset <= old.Offset {
		return false
	}
	for _, o := range old.Outcomes {
		state = state.WithOutcome(o)
	}
	s.state.Store(state)
	s.tail = nil
	return true
}

// Since returns the links after an offset, none if the state is not beyond it. It
// returns false if the store no longer holds all of them.
func (s *Store) Since(offset baobabtide.Offset) ([]Link, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= s.State().Offset {
		return nil, true
	}
	for i := range s.tail {
		if s.tail[i].Prev == offset {
			return append([]Link(nil), s.tail[i:]...), true
		}
	}
	return nil, false
}
