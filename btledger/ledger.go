// Package btledger remembers on an admitting node which attempts and keys have
// begun, so that no non-idempotent request runs twice and a lost answer can be
// settled.
package btledger

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	retention      = 15 * time.Minute // how long outcomes are kept
	maxEntries     = 200_000          // attempts and keys, each
	maxStored      = 4 << 20          // bytes of stored answers
	maxStoredBody  = 16 << 10         // bytes of one stored answer
	generationSpan = retention / 2    // entries are dropped by generations
)

// State is what is known of an attempt or a key.
type State uint8

// States of an attempt or a key.
const (
	Unknown State = iota
	Fenced        // will never begin
	Running
	Done    // the backend server answered
	InDoubt // the backend server was asked and has not answered
)

// record is one attempt or key. Several names may share it.
type record struct {
	state   State
	attempt string             // that began it
	answer  *baobabtide.Answer // nil where it was too large to keep
}

// Ledger is the record of one node. All methods are safe for concurrent use.
// The zero value is empty.
type Ledger struct {
	mu       sync.Mutex
	attempts generations
	keys     generations
	stored   int // bytes of stored answers, of both generations
}

// generations is a map whose entries live for one to two spans.
type generations struct {
	current  map[string]*record
	previous map[string]*record
	turned   time.Time
}

func (g *generations) get(name string) *record {
	if r, ok := g.current[name]; ok {
		return r
	}
	return g.previous[name]
}

func (g *generations) put(name string, r *record) {
	if g.current == nil {
		g.current = make(map[string]*record)
	}
	g.current[name] = r
}

// turn drops the entries that are older than two spans and keeps running ones.
func (g *generations) turn(now time.Time) {
	if now.Sub(g.turned) < generationSpan {
		return
	}
	old := g.previous
	g.previous = g.current
	g.current = make(map[string]*record)
	g.turned = now
	for name, r := range old {
		if r.state == Running {
			g.current[name] = r
		}
	}
}

func (g *generations) size() int { return len(g.current) + len(g.previous) }

// KeyName returns the name under which a customer's key is remembered.
func KeyName(customer, service, key string) string { return customer + "\x00" + service + "\x00" + key }

// Begin notes that an attempt is about to run. It returns an error where the
// attempt was fenced off or its key is known, and the stored answer where the
// key's request was answered.
func (l *Ledger) Begin(attempt, keyName string, now time.Time) (*baobabtide.Answer, *baobabtide.RequestError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	if r := l.attempts.get(attempt); r != nil {
		return nil, baobabtide.Refuse(baobabtide.ReasonFenced, 0, nil)
	}
	if l.attempts.size() >= maxEntries || l.keys.size() >= maxEntries {
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
	}
	if keyName != "" {
		if r := l.keys.get(keyName); r != nil {
			return repeat(r)
		}
	}
	r := &record{state: Running, attempt: attempt}
	l.attempts.put(attempt, r)
	if keyName != "" {
		l.keys.put(keyName, r)
	}
	return nil, nil
}

// repeat answers a request whose key is known.
func repeat(r *record) (*baobabtide.Answer, *baobabtide.RequestError) {
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

// End notes how an attempt ended. An attempt that has not run frees its key.
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

func (l *Ledger) store(r *record, answer *baobabtide.Answer) {
	if answer == nil || len(answer.Body) > maxStoredBody || l.stored+len(answer.Body) > maxStored {
		return
	}
	l.stored += len(answer.Body)
	r.answer = answer
}

// Settle tells what became of an attempt. One that has not begun is fenced off.
func (l *Ledger) Settle(attempt string, now time.Time) baobabtide.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
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

func (l *Ledger) turn(now time.Time) {
	l.attempts.turn(now)
	before := l.keys.turned
	l.keys.turn(now)
	if l.keys.turned != before {
		l.stored = 0
		for _, r := range l.keys.previous {
			if r.answer != nil {
				l.stored += len(r.answer.Body)
			}
		}
	}
}
