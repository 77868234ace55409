// Package btadmit implements admission control at the node beside a backend
// server: how many requests run concurrently, in which order waiting requests are
// admitted, and which requests are refused on arrival.
//
// It is designed for overload: more requests than the backend server can run, with
// different priorities, some of them calls made by requests that run on other
// backend servers. A request that can't end within its latency objective only
// delays others beyond theirs, so a request whose expected wait is too long is
// refused on arrival, before it uses any capacity.
package btadmit

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
)

const (
	maxWaitersPerSlot   = 8                      // waiting requests per slot, bounds memory
	minRetryAfter       = 100 * time.Millisecond // lower bound of the RetryAfter of a refusal
	limitDecrease       = 0.8                    // factor applied to the limit when the backend server sheds a request for overload
	busyFraction        = 0.8                    // fraction of the limit in use from which a shed request means overload
	residualFraction    = 0.7                    // mean fraction of a running request that remains at any moment
	expireMargin        = 0.7                    // fraction of the expected run time that must fit before the deadline
	lowPriorityInterval = 5                      // one part in this many of the slot time goes to lower priorities while they wait, to prevent starvation
	maxLateWaitFraction = 0.35                   // maximum wait of a request that can't meet its objective, as a fraction of the time to its deadline
	minLateFraction     = 0.1                    // minimum fraction of the slots assumed available to late requests and lower ranks
)

// OnTimeMargin is the number of expected run times that must fit before the objective of a
// request. One run in twelve takes longer; a longer queue serves no more requests.
const OnTimeMargin = 1.8

// Ticket describes a request that needs a slot.
type Ticket struct {
	Customer  string
	Route     string
	Priority  int // higher goes first
	Deadline  time.Time
	Objective time.Time // latency objective, zero for the deadline
	Late      bool      // may be admitted even if it can't meet its objective
	Call      bool      // made by a running request; only its deadline counts

	Account    string  // client account, empty for none
	AccountUse float64 // demand of the account over all nodes divided by its limit, 0 if unknown
}

func (t *Ticket) objective() time.Time {
	if t.Objective.IsZero() || t.Call {
		return t.Deadline
	}
	return t.Objective
}

// Waiter is a ticket that waits for a slot or has been granted one.
type Waiter struct {
	ticket   Ticket
	onTime   bool                     // expected to meet its objective on arrival
	overtime bool                     // can no longer meet its objective
	share    *accountShare            // of its account, nil without accounts
	ready    chan struct{}            // closed once the slot is granted or refused
	refusal  *baobabtide.RequestError // set before ready is closed, nil if the slot is granted
}

// Ready returns a channel that is closed once the waiter is granted a slot or
// refused.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Refusal returns the reason why the waiter was refused, or nil if it was granted
// a slot. Call it only after the channel of Ready is closed.
func (w *Waiter) Refusal() *baobabtide.RequestError { return w.refusal }

// Queue grants the slots of one backend server to requests. All methods are safe
// for concurrent use.
type Queue struct {
	// Alarm is called when the next waiter waits only for its turn under the rate limit, or for
	// the end of a request that is not the queue's, with the time after which Wake must be
	// called. It must not block or call the queue.
	Alarm func(wait time.Duration)

	// BySlotTime gives lower priorities a share of the slot time in place of one of so many grants,
	// keeps slots from long runs, and lets waiters that have become late go last. It earns more
	// where requests of very different run times share a server and late responses are worth
	// little, and less where they are worth as much as half. The queue sets it with the first
	// request of an account. It must be set before the first call of a method.
	BySlotTime bool

	mu             sync.Mutex
	turns          *rate.Limiter // of the grants, nil for no limit
	namedLimit     float64       // requests per second that the backend server accepts, 0 for no limit
	coldLimit      float64       // the same until coldUntil
	coldUntil      time.Time
	slots          int
	limit          float64 // maximum number of slots in use, 1 to slots
	inFlight       int
	grantOffsetSum time.Duration // sum of the grant times of the running requests, each relative to epoch
	epoch          time.Time     // time of the first grant, or of the last release that left no request running
	stats          RunStats      // at the service time 1 of report
	report         serverReport
	runs           routeCounts
	waiting        []*Waiter      // in order of arrival
	running        map[string]int // running requests by customer
	grants         int            // slots granted so far
	accounts       accountTable
	lowCredit      time.Duration    // slot time due to waiters of lower priorities
	offered        demand           // of all offered requests except those marked Late
	accepted       map[rank]*demand // of the requests granted on arrival or queued as on time
	closed         bool             // draining: all offered requests are refused
}

// NewQueue returns a queue for a backend server with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, limit: float64(slots), running: make(map[string]int), accepted: make(map[rank]*demand)}
}

// granted is the shared waiter of all tickets that are granted a slot on arrival.
var granted = grantedWaiter()

func grantedWaiter() *Waiter {
	w := &Waiter{ready: make(chan struct{})}
	close(w.ready)
	return w
}

// Offer admits, queues or refuses a request. It returns either a waiter, whose
// Ready channel is already closed if a slot was granted at once, or a refusal. A
// granted slot must be returned with Release, a waiter no longer needed withdrawn
// with Cancel.
func (q *Queue) Offer(t Ticket, now time.Time) (*Waiter, *baobabtide.RequestError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, q.refusal(baobabtide.ReasonDraining, &t, minRetryAfter, now)
	}
	if !now.Before(t.Deadline) {
		return nil, q.refusal(baobabtide.ReasonDeadline, &t, 0, now)
	}
	if t.Account != "" {
		q.BySlotTime = true
	}
	q.updateRate(now)
	runTime := q.runTime(t.Route, now)
	if !t.Late {
		q.offered.add(runTime, now)
		q.accounts.demand(&t, q.stats.RunTime(t.Route), now)
	}
	if q.canGrant(now) && q.goesFirst(&t, now) {
		return q.grantOnArrival(&t, runTime, now)
	}
	return q.enqueue(&t, runTime, now)
}

// grantOnArrival grants a free slot to a ticket that arrives, unless the run would exceed its
// deadline. An idle backend server runs it nevertheless, since its run time may be outdated.
func (q *Queue) grantOnArrival(t *Ticket, runTime time.Duration, now time.Time) (*Waiter, *baobabtide.RequestError) {
	if q.inFlight > 0 && now.Add(runTime).After(t.Deadline) {
		return nil, q.refusal(baobabtide.ReasonTooSlow, t, max(runTime, minRetryAfter), now)
	}
	q.recordAccepted(t.rank(), runTime, now)
	if len(q.waiting) > 0 {
		q.creditLower(t)
	}
	q.grant(t, now)
	return granted, nil
}

// enqueue adds a ticket to the waiters if it is expected to be answered in time and there is
// room for it.
func (q *Queue) enqueue(t *Ticket, runTime time.Duration, now time.Time) (*Waiter, *baobabtide.RequestError) {
	w := &Waiter{ticket: *t, onTime: true, share: q.accounts.share(t, now), ready: make(chan struct{})}
	f := q.forecast(w, runTime, now)
	if f.missesDeadline(t, now) || f.isNotWorthTheWait(t, now) || !q.makeRoom(t, now) {
		return nil, q.refusal(baobabtide.ReasonOverload, t, q.retryAfter(t, f.untilEnd(), now), now)
	}
	if w.onTime = !f.late; w.onTime {
		q.recordAccepted(t.rank(), runTime, now)
	}
	q.waiting = append(q.waiting, w)
	q.scheduleTurn(now)
	return w, nil
}

// makeRoom reports whether a ticket finds room among the waiters, for which one of a lower
// priority may be refused.
func (q *Queue) makeRoom(t *Ticket, now time.Time) bool {
	return len(q.waiting) < q.slots*maxWaitersPerSlot || q.evict(t, now)
}

// RefuseBusy returns a refusal if a ticket is expected to wait for longer than maxWait, nil
// otherwise. The ticket doesn't count as offered, because its request goes to another backend
// server.
func (q *Queue) RefuseBusy(t Ticket, maxWait time.Duration, now time.Time) *baobabtide.RequestError {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateRate(now)
	if q.closed || (q.canGrant(now) && q.goesFirst(&t, now)) || q.wait(&Waiter{ticket: t, onTime: true, share: q.accounts.share(&t, now)}, now) <= maxWait {
		return nil
	}
	return q.refusal(baobabtide.ReasonBusy, &t, 0, now)
}

// refusal returns the error for a ticket that is refused, with the present load.
func (q *Queue) refusal(reason baobabtide.Reason, t *Ticket, retryAfter time.Duration, now time.Time) *baobabtide.RequestError {
	err := baobabtide.Refuse(reason, retryAfter, nil)
	err.Load = q.load(t.Route, now)
	return err
}

func (q *Queue) hasFreeSlot(now time.Time) bool {
	return q.inFlight < max(1, int(q.limit))-q.foreign(now)
}

// canGrant reports whether a slot is free and the rate limit allows a request.
func (q *Queue) canGrant(now time.Time) bool { return q.hasFreeSlot(now) && q.hasTurn(now) }

func (q *Queue) grant(t *Ticket, now time.Time) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	if q.turns != nil {
		q.turns.AllowN(now, 1)
	}
	q.accounts.receive(t, q.stats.RunTime(t.Route), now)
	q.inFlight++
	q.grantOffsetSum += now.Sub(q.epoch)
	q.runs.add(t.Route)
	q.running[t.Customer]++
	q.grants++
}

// evict refuses the newest waiter of the lowest priority if that priority is below
// the ticket's. It returns false if there is no such waiter.
func (q *Queue) evict(t *Ticket, now time.Time) bool {
	lowest := -1
	for i, w := range q.waiting {
		if w.ticket.Priority < t.Priority && (lowest < 0 || w.ticket.Priority <= q.waiting[lowest].ticket.Priority) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	w := q.waiting[lowest]
	untilEnd := q.forecast(w, q.runTime(w.ticket.Route, now), now).untilEnd()
	q.refuse(lowest, q.refusal(baobabtide.ReasonOverload, &w.ticket, q.retryAfter(&w.ticket, untilEnd, now), now))
	return true
}

// refuse removes the waiter at index i from the queue and refuses it.
func (q *Queue) refuse(i int, refusal *baobabtide.RequestError) {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	w.refusal = refusal
	close(w.ready)
}

// Cancel withdraws a waiter whose request has ended. It returns false if the waiter
// has already been granted a slot, which must then be returned with Release.
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

// Release returns the slot of a ticket that was granted the duration took
// before now, and admits the next waiters.
func (q *Queue) Release(t *Ticket, took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(t, took, now)
}

// Abandon is Release for a request that was canceled after it was sent. If the backend server
// reports its load, the slot counts as in use until its next report: it may go on with the run.
func (q *Queue) Abandon(t *Ticket, took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addForeign(now)
	q.release(t, took, now)
}

// Complete is RecordRun and Release in one, for a request that got a response.
func (q *Queue) Complete(t *Ticket, took time.Duration, failed bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordRun(t.Route, took, failed, now)
	q.release(t, took, now)
}

func (q *Queue) release(t *Ticket, took time.Duration, now time.Time) {
	q.inFlight--
	q.grantOffsetSum -= now.Add(-took).Sub(q.epoch)
	if q.inFlight == 0 {
		q.grantOffsetSum, q.epoch = 0, now
	}
	q.runs.remove(t.Route)
	if q.running[t.Customer]--; q.running[t.Customer] <= 0 {
		delete(q.running, t.Customer)
	}
	if q.inFlight+1+q.foreign(now) >= int(q.limit) {
		q.limit = min(float64(q.slots), q.limit+1/q.limit)
	}
	q.admit(now)
}

// RecordRun records how long a run of a route took and whether it failed. The time of
// a failed run is ignored.
func (q *Queue) RecordRun(route string, took time.Duration, failed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.RecordRun(route, q.runSample(route, took), failed)
}

// runSample returns the run time to record for a run. By slot time, a run counts as a few expected
// ones at most, so that single long runs don't keep short ones of the same route out.
func (q *Queue) runSample(route string, took time.Duration) time.Duration {
	if expected := q.stats.routes[route]; q.BySlotTime && expected > 0 {
		return min(took, time.Duration(maxRunSample*expected))
	}
	return took
}

// RecordShed records that the backend server refused to run an admitted request. If most
// of the limit is in use by the queue, the backend server is overloaded and the limit
// shrinks. If requests that are not the queue's fill the server, nothing changes: the slots
// that they hold are known. Otherwise, or if the server reports free slots with the refusal,
// it is faulty and the request counts as a failed run: with a smaller limit it would refuse
// as large a share and leave its slots idle.
func (q *Queue) RecordShed(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	busy := busyFraction * q.limit
	switch {
	case q.hasCapacity(now):
		q.stats.RecordFailure()
	case float64(q.inFlight) >= busy:
		q.limit = max(1, q.limit*limitDecrease)
	case float64(q.inFlight+q.foreign(now)) < busy:
		q.stats.RecordFailure()
	}
}

// RecordReset records that the backend server reset the connection of a request. If most of
// the limit is in use by the queue, the server is full and the limit shrinks. Otherwise the
// request counts as a failed run. If the queue has got no response yet, or the server reports
// its load, it may be full of requests that are not the queue's, so that their end is waited
// for: each request that is reset may be lost.
func (q *Queue) RecordReset(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(q.inFlight) >= busyFraction*q.limit {
		q.limit = max(1, q.limit*limitDecrease)
		return
	}
	q.stats.RecordFailure()
	if !q.stats.hasRun() || q.report.mean > 0 {
		foreign := q.slots - (q.inFlight - 1)
		q.report.setForeign(foreign, foreign, now)
	}
}

// Close refuses all waiters and all requests offered later.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for len(q.waiting) > 0 {
		refusal := baobabtide.Refuse(baobabtide.ReasonDraining, minRetryAfter, nil)
		q.refuse(len(q.waiting)-1, refusal)
	}
}

// Load returns the load that is reported with a response on a route.
func (q *Queue) Load(route string, now time.Time) baobabtide.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateRate(now)
	return q.load(route, now)
}

func (q *Queue) load(route string, now time.Time) baobabtide.Load {
	l := baobabtide.Load{
		InFlight: q.inFlight + q.foreign(now),
		Queued:   len(q.waiting),
		Slots:    max(1, int(q.limit)),
		Work:     q.runTime(route, now),
		Failing:  q.stats.Failing(),
	}
	if q.turns != nil {
		l.RateLimit = float64(q.turns.Limit())
		l.Turn = q.turnWait(len(q.waiting), l.RateLimit, now)
	}
	return l
}
