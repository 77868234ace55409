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

// Limits of the links that a store keeps for its neighbors. A neighbor that lacks older ones
// gets the whole state. When one is exceeded, only the newer half is kept.
const (
	maxTailLinks = 512
	maxTailBytes = 1 << 20 // of records; each holds a whole contract
)

// Store holds the current state and the newest links. The zero value is at
// offset 0. The offset never decreases. All methods are safe for concurrent use.
type Store struct {
	state atomic.Pointer[State]

	mu   sync.Mutex
	tail []Link // without gaps; the last one holds the newest entry folded into state

	encoded map[baobabtide.Offset][]byte // links after an offset, as EncodeLinks returns them, for the present state
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
	s.state.Store(s.fold(state, link))
	return true, nil
}

// ApplyAll folds those of the entries that are beyond the state, in one step, and returns their
// offsets. The entries are in the order of their offsets and include all records that the log
// holds after some offset that the state has reached, so none is missing between the state and
// the first entry beyond it. Those before that one may be there or not.
func (s *Store) ApplyAll(entries []baobabtide.Entry) []baobabtide.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.State()
	var applied []baobabtide.Offset
	for _, entry := range entries {
		if entry.Offset > state.Offset {
			state = s.fold(state, Link{Prev: state.Offset, Entry: entry})
			applied = append(applied, entry.Offset)
		}
	}
	s.state.Store(state)
	return applied
}

// fold returns the state after a link that follows it, and keeps the link. It is called with
// s.mu held.
func (s *Store) fold(state *State, link Link) *State {
	s.tail = append(s.tail, link)
	s.encoded = nil
	if len(s.tail) > maxTailLinks || tailBytes(s.tail) > maxTailBytes {
		s.tail = newerHalf(s.tail)
	}
	return Fold(state, link.Entry)
}

func tailBytes(links []Link) int {
	size := 0
	for i := range links {
		size += len(links[i].Entry.Data)
	}
	return size
}

// newerHalf returns a copy of the newest links that keep to half of the limits, at least one.
func newerHalf(links []Link) []Link {
	first := len(links) - 1
	for size := len(links[first].Entry.Data); first > 0 && len(links)-first < maxTailLinks/2; first-- {
		if size += len(links[first-1].Entry.Data); size > maxTailBytes/2 {
			break
		}
	}
	return append([]Link(nil), links[first:]...)
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

// Adopt joins the state with another one that has a higher offset, such as a snapshot, or later
// contracts. It returns false if the other one has neither.
func (s *Store) Adopt(state *State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.State()
	switch {
	case state.Offset > old.Offset:
		s.state.Store(join(old, state))
		s.tail = nil
	case state.Revision() > old.Revision():
		s.state.Store(join(state, old))
	default:
		return false
	}
	s.encoded = nil
	return true
}

// Since returns the links after an offset, none if the state is not beyond it. It
// returns false if the store no longer holds all of them.
func (s *Store) Since(offset baobabtide.Offset) ([]Link, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(offset)
}

// EncodedSince returns what EncodeLinks returns for the links of Since, nil for none, and encodes
// them once for all neighbors that ask. It returns false if the store no longer holds all links.
func (s *Store) EncodedSince(offset baobabtide.Offset) ([]byte, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.encoded[offset]; ok {
		return data, true, nil
	}
	links, ok := s.since(offset)
	if !ok || len(links) == 0 {
		return nil, ok, nil
	}
	data, err := EncodeLinks(links)
	if err != nil {
		return nil, true, err
	}
	s.keepEncoded(offset, data)
	return data, true, nil
}

// KeepEncoded keeps the encoded form of links that have just been applied, for the neighbors that
// ask for the same ones. It has no effect if others have been applied before or since.
func (s *Store) KeepEncoded(links []Link, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(links) == 0 || links[len(links)-1].Entry.Offset != s.State().Offset {
		return
	}
	if held, ok := s.since(links[0].Prev); ok && len(held) == len(links) {
		s.keepEncoded(links[0].Prev, data)
	}
}

// keepEncoded is called with s.mu held.
func (s *Store) keepEncoded(offset baobabtide.Offset, data []byte) {
	if s.encoded == nil {
		s.encoded = make(map[baobabtide.Offset][]byte)
	}
	s.encoded[offset] = data
}

func (s *Store) since(offset baobabtide.Offset) ([]Link, bool) {
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
