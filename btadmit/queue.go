// Package btadmit decides which requests the node beside a backend server lets
// in: how many at once, in which order, and which are refused at once.
package btadmit

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	queuePerSlot      = 2                      // waiting requests per slot
	initialService    = 5 * time.Millisecond   // estimate before the first answer
	serviceWeight     = 16                     // smoothing of the service time
	limitDecrease     = 0.8                    // factor after the backend server shed a request
	minRetryAfter     = 100 * time.Millisecond // lower bound of what a refused caller is told
	deadlineQueuePart = 2                      // a request waits for at most 1/2 of the time left to it
)

// Ticket is a request that asks for a slot.
type Ticket struct {
	Customer string
	Priority int // higher goes first
	Deadline time.Time
}

// Waiter is a ticket that waits for a slot.
type Waiter struct {
	ticket  Ticket
	arrived time.Time
	ready   chan struct{}            // closed once decided
	refusal *baobabtide.RequestError // set before ready is closed where the slot is denied
}

// Ready is closed once the waiter was given a slot or refused.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Refusal returns why the waiter got no slot. It may be read once Ready is
// closed.
func (w *Waiter) Refusal() *baobabtide.RequestError { return w.refusal }

// Queue hands out the slots of one backend server. All methods are safe for
// concurrent use.
type Queue struct {
	mu       sync.Mutex
	slots    int
	limit    float64 // slots in use at most, 1 to slots
	inFlight int
	service  time.Duration // smoothed time from grant to release
	waiting  []*Waiter     // in order of arrival
	running  map[string]int
	closed   bool // draining: nothing new is let in
}

// NewQueue returns a queue for a backend server with a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, limit: float64(slots), service: initialService, running: make(map[string]int)}
}

// granted is the waiter of all tickets that get a slot at once.
var granted = grantedWaiter()

func grantedWaiter() *Waiter {
	w := &Waiter{ready: make(chan struct{})}
	close(w.ready)
	return w
}

// Offer asks for a slot. It returns a waiter, whose Ready is closed already
// where a slot is free, or a refusal that says when to come back.
func (q *Queue) Offer(t Ticket, now time.Time) (*Waiter, *baobabtide.RequestError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, baobabtide.Refuse(baobabtide.ReasonDraining, minRetryAfter, nil)
	}
	if !now.Before(t.Deadline) {
		return nil, baobabtide.Refuse(baobabtide.ReasonDeadline, 0, nil)
	}
	if q.free() && len(q.waiting) == 0 {
		q.grant(t.Customer)
		return granted, nil
	}
	w := &Waiter{ticket: t, arrived: now, ready: make(chan struct{})}
	if wait := q.wait(q.ahead(t)); now.Add(wait * deadlineQueuePart).After(t.Deadline) {
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, max(wait, minRetryAfter), nil)
	}
	if len(q.waiting) >= q.slots*queuePerSlot && !q.evict(t) {
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, max(q.wait(len(q.waiting)), minRetryAfter), nil)
	}
	q.waiting = append(q.waiting, w)
	return w, nil
}

func (q *Queue) free() bool { return float64(q.inFlight) < max(1, float64(int(q.limit))) }

func (q *Queue) grant(customer string) {
	q.inFlight++
	q.running[customer]++
}

// ahead counts the waiters that go before a new ticket.
func (q *Queue) ahead(t Ticket) int {
	n := 0
	for _, w := range q.waiting {
		if w.ticket.Priority >= t.Priority {
			n++
		}
	}
	return n
}

// wait estimates how long a ticket behind a number of others waits.
func (q *Queue) wait(ahead int) time.Duration {
	return time.Duration(float64(q.service) * float64(ahead+1) / max(1, q.limit))
}

// evict refuses the newest waiter of the lowest priority below the ticket's.
func (q *Queue) evict(t Ticket) bool {
	lowest := -1
	for i, w := range q.waiting {
		if w.ticket.Priority < t.Priority && (lowest < 0 || w.ticket.Priority <= q.waiting[lowest].ticket.Priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	retryAfter := max(q.wait(len(q.waiting)), minRetryAfter)
	q.refuse(lowest, baobabtide.Refuse(baobabtide.ReasonOverload, retryAfter, nil))
	return true
}

// refuse answers a waiter and removes it.
func (q *Queue) refuse(i int, refusal *baobabtide.RequestError) {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	w.refusal = refusal
	close(w.ready)
}

// Cancel withdraws a waiter whose caller has gone. It returns false where the
// waiter was decided before, so that its slot must be released.
func (q *Queue) Cancel(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return w.refusal != nil
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Release returns a slot after a request took some time and lets the next
// waiters in.
func (q *Queue) Release(customer string, took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	if q.running[customer]--; q.running[customer] <= 0 {
		delete(q.running, customer)
	}
	q.service += (took - q.service) / serviceWeight
	if q.inFlight+1 >= int(q.limit) {
		q.limit = min(float64(q.slots), q.limit+1/q.limit)
	}
	q.admit(now)
}

// Shed notes that the backend server refused a request for overload.
func (q *Queue) Shed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = max(1, q.limit*limitDecrease)
}

// admit gives free slots to waiters.
func (q *Queue) admit(now time.Time) {
	q.expire(now)
	for q.free() && len(q.waiting) > 0 {
		i := q.next()
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.grant(w.ticket.Customer)
		close(w.ready)
	}
}

// expire refuses the waiters that can't be answered in time any more.
func (q *Queue) expire(now time.Time) {
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if now.Add(q.service).After(q.waiting[i].ticket.Deadline) {
			q.refuse(i, baobabtide.Refuse(baobabtide.ReasonDeadline, 0, nil))
		}
	}
}

// next returns the waiter to let in: the highest priority, then the customer
// with the fewest running requests, then the oldest.
func (q *Queue) next() int {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.before(q.waiting[i], q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (q *Queue) before(a, b *Waiter) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority > b.ticket.Priority
	}
	return q.running[a.ticket.Customer] < q.running[b.ticket.Customer]
}

// Close refuses all waiters and whatever is offered from now on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for len(q.waiting) > 0 {
		q.refuse(len(q.waiting)-1, baobabtide.Refuse(baobabtide.ReasonDraining, minRetryAfter, nil))
	}
}

// Load returns what a response reports.
func (q *Queue) Load() baobabtide.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return baobabtide.Load{InFlight: q.inFlight, Queued: len(q.waiting), Slots: max(1, int(q.limit))}
}
