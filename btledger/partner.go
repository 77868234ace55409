package btledger

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

// Reserve notes for the home of a key that an attempt is about to begin there.
// It returns what this node knows of the key from another attempt.
func (l *Ledger) Reserve(key baobabtide.KeyRecord, now time.Time) baobabtide.KeyRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	if r := l.keys.get(key.Key); r != nil && r.attempt != key.Attempt {
		return baobabtide.KeyRecord{Key: key.Key, Attempt: r.attempt, State: r.keyState(), Answer: r.answer}
	}
	if l.keys.size() >= maxEntries {
		return baobabtide.KeyRecord{Key: key.Key, Attempt: key.Attempt, State: baobabtide.KeyInDoubt}
	}
	l.keys.put(key.Key, &record{state: InDoubt, attempt: key.Attempt})
	return baobabtide.KeyRecord{Key: key.Key, Attempt: key.Attempt}
}

func (r *record) keyState() baobabtide.KeyState {
	if r.state == Done {
		return baobabtide.KeyDone
	}
	return baobabtide.KeyInDoubt
}

// Resolve notes how an attempt ended that another node has reserved here.
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

// Adopt replaces what an attempt has begun here by what its key's partner knows
// from another one, and answers the attempt as a repeat.
func (l *Ledger) Adopt(attempt string, known baobabtide.KeyRecord) (*baobabtide.Answer, *baobabtide.RequestError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts.get(attempt); r != nil {
		r.state = Fenced
	}
	r := &record{state: InDoubt, attempt: known.Attempt}
	if known.State == baobabtide.KeyDone {
		r.state = Done
		l.store(r, known.Answer)
	}
	l.keys.put(known.Key, r)
	return repeat(r)
}
