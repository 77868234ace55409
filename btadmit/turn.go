package btadmit

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
)

const (
	minRateLimit = 0.1                    // requests per second; a server that names a lower limit could not tell that it has raised it
	rateBurst    = 500 * time.Millisecond // the requests of this time may be granted at once after an idle time, but at least minRateBurst
	minRateBurst = 2                      // with a burst of 1, each turn that comes while no request waits would be lost
	turnSlack    = time.Millisecond       // added to the time of a turn, as timers and sums of tokens are not exact
)

// SetRateLimit sets the requests per second that are granted, from minRateLimit on. No
// burst is granted at first. Waiting requests that can't be answered in time at this rate
// are refused.
func (q *Queue) SetRateLimit(perSecond float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.namedLimit = max(perSecond, minRateLimit)
	q.changeRate(now)
}

// ClearRateLimit removes the limit of SetRateLimit.
func (q *Queue) ClearRateLimit(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.namedLimit = 0
	q.changeRate(now)
}

// SetCold is like SetRateLimit for a backend server that is cold until a time, 0 for no limit.
// The lower one of the two limits holds.
func (q *Queue) SetCold(perSecond float64, until, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if perSecond > 0 {
		perSecond = max(perSecond, minRateLimit)
	}
	q.coldLimit, q.coldUntil = perSecond, until
	q.changeRate(now)
}

// rateLimit returns the limit that holds at a time, 0 for none.
func (q *Queue) rateLimit(now time.Time) float64 {
	if q.coldLimit > 0 && now.Before(q.coldUntil) && (q.namedLimit == 0 || q.coldLimit < q.namedLimit) {
		return q.coldLimit
	}
	return q.namedLimit
}

// updateRate puts the limit that holds now into force. It reports whether there is one that
// has changed.
func (q *Queue) updateRate(now time.Time) bool {
	limit := rate.Limit(q.rateLimit(now))
	burst := max(minRateBurst, int(float64(limit)*rateBurst.Seconds()))
	switch {
	case limit == 0:
		q.turns = nil
		return false
	case q.turns == nil:
		q.turns = rate.NewLimiter(limit, burst)
		q.turns.AllowN(now, burst)
	case q.turns.Limit() == limit:
		return false
	default:
		q.turns.SetLimitAt(now, limit)
		q.turns.SetBurstAt(now, burst)
	}
	return true
}

// changeRate is called after the limits have been set.
func (q *Queue) changeRate(now time.Time) {
	if q.updateRate(now) {
		q.refuseBeyondRate(now)
	}
	q.admit(now)
}

// Wake grants the turns that have come. Queue.Alarm says when to call it.
func (q *Queue) Wake(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit(now)
}

// hasTurn reports whether the rate limit allows a request now.
func (q *Queue) hasTurn(now time.Time) bool { return q.turns == nil || q.turns.TokensAt(now) >= 1 }

// turnWait returns the time until the rate limit allows a request that has ahead others
// before it, if it grants perSecond requests per second.
func (q *Queue) turnWait(ahead int, perSecond float64, now time.Time) time.Duration {
	missing := float64(ahead+1) - q.turns.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(missing / perSecond * float64(time.Second))
	if q.namedLimit == 0 {
		wait = min(wait, q.coldUntil.Sub(now))
	}
	return wait
}

// rateWait estimates how long a waiter waits for its turn under the rate limit. A waiter of
// a lower rank gets the turns that higher ranks leave, or those reserved for lower
// priorities.
func (q *Queue) rateWait(w *Waiter, now time.Time) time.Duration {
	if q.turns == nil {
		return 0
	}
	limit := float64(q.turns.Limit())
	available := limit
	for other, accepted := range q.accepted {
		if other.outranks(w.ticket.rank()) {
			available -= accepted.requests.perSecond(now)
		}
	}
	ahead := 0
	for _, other := range q.waiting {
		if !q.before(w, other) {
			ahead++
		}
	}
	return q.turnWait(ahead, max(available, limit/lowPriorityInterval), now)
}

// refuseBeyondRate refuses the waiters that would get their turn too late: for their
// objective, if they are expected to meet it, or for their deadline.
func (q *Queue) refuseBeyondRate(now time.Time) {
	order := slices.Clone(q.waiting)
	slices.SortStableFunc(order, func(a, b *Waiter) int {
		switch {
		case q.before(a, b):
			return -1
		case q.before(b, a):
			return 1
		default:
			return 0
		}
	})
	ahead := 0
	for _, w := range order {
		t := &w.ticket
		untilEnd := q.turnWait(ahead, float64(q.turns.Limit()), now) + q.runTime(t.Route, now)
		bound := t.Deadline
		if w.onTime {
			bound = t.objective()
		}
		if !now.Add(untilEnd).After(bound) {
			ahead++
			continue
		}
		refusal := q.refusal(baobabtide.ReasonOverload, t, q.retryAfter(t, untilEnd, now), now)
		q.refuse(slices.Index(q.waiting, w), refusal)
	}
}

// scheduleTurn calls Alarm if a waiter has a slot but no turn yet, or if requests that are not
// the queue's hold slots: their end is not noticed.
func (q *Queue) scheduleTurn(now time.Time) {
	if q.Alarm != nil && len(q.waiting) > 0 && q.foreign(now) > 0 && !q.hasFreeSlot(now) {
		q.Alarm(q.foreignEnd(now) + turnSlack)
		return
	}
	if q.turns != nil && q.Alarm != nil && len(q.waiting) > 0 && q.hasFreeSlot(now) {
		wait := q.turnWait(0, float64(q.turns.Limit()), now)
		if cold := q.coldUntil.Sub(now); cold > 0 {
			wait = min(wait, cold)
		}
		q.Alarm(wait + turnSlack)
	}
}
