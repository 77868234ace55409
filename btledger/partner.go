package btledger

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

// Reserve records, for the home node of a key, that an attempt is about to begin there. If
// this node has a record of the key from another attempt, Reserve changes nothing and
// returns that record. Otherwise it returns KeyFree, or KeyInDoubt if maxEntries keys are
// stored.
func (l *Ledger) Reserve(key baobabtide.KeyRecord, now time.Time) baobabtide.KeyRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if r := l.keys.get(key.Key); r != nil && r.attempt != key.Attempt {
		return baobabtide.KeyRecord{Key: key.Key, Attempt: r.attempt, State: r.keyState(), Answer: r.answer}
	}
	if l.keys.size() >= maxEntries {
		return baobabtide.KeyRecord{Key: key.Key, Attempt: key.Attempt, State: baobabtide.KeyInDoubt}
	}
	l.keys.put(key.Key, &record{state: InDoubt, attempt: key.Attempt})
	return baobabtide.KeyRecord{Key: key.Key, Attempt: key.Attempt}
}

// keyState returns the state of the record's key: KeyDone if the backend server responded
// to the attempt, otherwise KeyInDoubt.
func (r *record) keyState() baobabtide.KeyState {
	if r.state == Done {
		return baobabtide.KeyDone
	}
	return baobabtide.KeyInDoubt
}

// Resolve records how the attempt ended for which the home node has reserved a key here:
// KeyFree releases the key, KeyDone stores the answer. It ignores an attempt that does not
// hold the key.
func (l *Ledger) Resolve(key baobabtide.KeyRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.keys.get(key.Key)
	if r == nil || r.attempt != key.Attempt {
		return
	}
	switch key.State {
	case baobabtide.KeyFree:
		delete(l.keys.current, key.Key)
		delete(l.keys.previous, key.Key)
	case baobabtide.KeyDone:
		r.state = Done
		l.store(r, key.Answer)
	}
}

// Adopt fences an attempt that has begun here, because the key's partner has a record of
// another attempt with the same key. It stores that record and returns the answer or the
// error that a repeated request gets.
func (l *Ledger) Adopt(attempt string, existing baobabtide.KeyRecord) (*baobabtide.Answer, *baobabtide.RequestError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts.get(attempt); r != nil {
		r.state = Fenced
	}
	r := &record{state: InDoubt, attempt: existing.Attempt}
	if existing.State == baobabtide.KeyDone {
		r.state = Done
		l.store(r, existing.Answer)
	}
	l.keys.put(existing.Key, r)
	return answerRepeat(r)
}
