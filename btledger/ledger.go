// Package btledger stores the state of attempts and idempotency keys at the admitting
// node, so that no non-idempotent request runs twice and an attempt whose response was lost
// can be settled. An answer is a response that is stored for repeated requests with a key.
package btledger

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	retention      = 15 * time.Minute // outcomes are kept for half to all of this time
	maxEntries     = 200_000          // maximum number of attempts, and of keys
	maxStoredBytes = 4 << 20          // bytes of the bodies of all stored answers
	maxStoredBody  = 16 << 10         // bytes of the body of one stored answer
	generationSpan = retention / 2    // time after which a new generation of entries begins
)

// State is the state of an attempt or a key.
type State uint8

// States of an attempt or a key.
const (
	Unknown State = iota
	Fenced        // has not run and never will
	Running
	Done    // the backend server responded
	InDoubt // may have run, no response of the backend server is known
)

// record holds the state of an attempt. It is stored under the ID of the attempt, under the
// name of its key, or under both.
type record struct {
	state   State
	attempt string             // ID of the attempt
	answer  *baobabtide.Answer // nil if there is none or if it was too large to store
}

// Ledger stores the attempts and keys of one node. The zero value is empty. All methods
// are safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	attempts generations
	keys     generations
	stored   int // bytes of the bodies of stored answers in both generations
}

// generations is a map of records whose entries expire after one to two times
// generationSpan.
type generations struct {
	current   map[string]*record
	previous  map[string]*record
	rotatedAt time.Time
}

// get returns the record stored under a name, nil for none.
func (g *generations) get(name string) *record {
	if r, ok := g.current[name]; ok {
		return r
	}
	return g.previous[name]
}

// put stores a record under a name in the current generation.
func (g *generations) put(name string, r *record) {
	if g.current == nil {
		g.current = make(map[string]*record)
	}
	g.current[name] = r
}

// rotate begins a new generation if the current one is at least generationSpan old. It
// drops the previous generation except the records of running attempts.
func (g *generations) rotate(now time.Time) {
	if now.Sub(g.rotatedAt) < generationSpan {
		return
	}
	expired := g.previous
	g.previous = g.current
	g.current = make(map[string]*record)
	g.rotatedAt = now
	for name, r := range expired {
		if r.state == Running {
			g.current[name] = r
		}
	}
}

func (g *generations) size() int { return len(g.current) + len(g.previous) }

// KeyName returns the name under which the idempotency key of a customer's request to a service
// is stored. The keys of client accounts are apart from each other. The account is empty for none.
func KeyName(customer, service, account, key string) string {
	if account == "" {
		return customer + "\x00" + service + "\x00" + key
	}
	return customer + "\x00" + service + "\x00" + account + "\x00" + key
}

// Begin records that an attempt is about to run. The key name is empty for a request
// without a key. If Begin returns neither an answer nor an error, the attempt may run.
// Otherwise it must not: an attempt that was fenced or has begun before is refused, and so
// is any attempt while maxEntries attempts or keys are stored. If the key is known, Begin
// returns the stored answer, or an error if none is stored.
func (l *Ledger) Begin(attempt, keyName string, now time.Time) (*baobabtide.Answer, *baobabtide.RequestError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if r := l.attempts.get(attempt); r != nil {
		return nil, baobabtide.Refuse(baobabtide.ReasonFenced, 0, nil)
	}
	if l.attempts.size() >= maxEntries || l.keys.size() >= maxEntries {
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
	}
	if keyName != "" {
		if r := l.keys.get(keyName); r != nil {
			return answerRepeat(r)
		}
	}
	r := &record{state: Running, attempt: attempt}
	l.attempts.put(attempt, r)
	if keyName != "" {
		l.keys.put(keyName, r)
	}
	return nil, nil
}

// answerRepeat returns the stored answer to a request with a known key, or an error if
// none is stored.
func answerRepeat(r *record) (*baobabtide.Answer, *baobabtide.RequestError) {
	switch {
	case r.state == Done && r.answer != nil:
		return r.answer, nil
	case r.state == Done:
		return nil, &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonDuplicateKey}
	case r.state == Running:
		return nil, &baobabtide.RequestError{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonDuplicateKey, RetryAfter: time.Second}
	default:
		return nil, &baobabtide.RequestError{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonDuplicateKey}
	}
}

// End records how an attempt ended. An attempt that has not run releases its key. The
// answer, nil for none, is stored for repeated requests if the attempt ran with a key. An
// unknown attempt is ignored.
func (l *Ledger) End(attempt, keyName string, verdict baobabtide.Verdict, answer *baobabtide.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts.get(attempt)
	if r == nil {
		return
	}
	switch verdict {
	case baobabtide.NotRun:
		r.state = Fenced
		if keyName != "" {
			delete(l.keys.current, keyName)
			delete(l.keys.previous, keyName)
		}
	case baobabtide.Ran:
		r.state = Done
		if keyName != "" {
			l.store(r, answer)
		}
	default:
		r.state = InDoubt
	}
}

// store adds an answer to a record unless the body exceeds maxStoredBody or the bodies of
// all stored answers would exceed maxStoredBytes.
func (l *Ledger) store(r *record, answer *baobabtide.Answer) {
	if answer == nil || len(answer.Body) > maxStoredBody || l.stored+len(answer.Body) > maxStoredBytes {
		return
	}
	l.stored += len(answer.Body)
	r.answer = answer
}

// Settle returns Ran for an attempt that the backend server responded to, NotRun for one
// that never runs and MayHaveRun for one that is running or whose outcome is not known. It
// fences an attempt that has not begun, so that it never runs.
func (l *Ledger) Settle(attempt string, now time.Time) baobabtide.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	r := l.attempts.get(attempt)
	if r == nil {
		l.attempts.put(attempt, &record{state: Fenced})
		return baobabtide.NotRun
	}
	switch r.state {
	case Fenced:
		return baobabtide.NotRun
	case Done:
		return baobabtide.Ran
	default:
		return baobabtide.MayHaveRun
	}
}

// rotate begins a new generation of attempts and of keys if the present one is old enough.
// If the keys rotate, it counts the bytes of the remaining stored answers again.
func (l *Ledger) rotate(now time.Time) {
	l.attempts.rotate(now)
	lastRotation := l.keys.rotatedAt
	l.keys.rotate(now)
	if l.keys.rotatedAt != lastRotation {
		l.stored = 0
		for _, r := range l.keys.previous {
			if r.answer != nil {
				l.stored += len(r.answer.Body)
			}
		}
	}
}
