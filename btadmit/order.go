package btadmit

import (
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
)

// admit grants free slots to waiters, as far as the rate limit allows.
func (q *Queue) admit(now time.Time) {
	q.updateRate(now)
	q.expire(now)
	for q.canGrant(now) && len(q.waiting) > 0 {
		i := q.next(now)
		if i < 0 {
			break
		}
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.grant(&w.ticket, now)
		close(w.ready)
	}
	q.scheduleTurn(now)
}

// expire refuses the waiters that have become hopeless.
func (q *Queue) expire(now time.Time) {
	relative := q.report.relativeTime(now)
	for i := len(q.waiting) - 1; i >= 0; i-- {
		w := q.waiting[i]
		runTime := time.Duration(relative * float64(q.stats.RunTime(w.ticket.Route)))
		if refusal := q.refuseHopeless(w, runTime, now); refusal != nil {
			q.refuse(i, refusal)
		}
	}
}

// refuseHopeless returns a refusal for a waiter that can no longer be answered before its
// deadline. Once a waiter can no longer meet its objective, all others that can go before it, so
// that it is refused if that takes it past the deadline: it may still go to another target.
func (q *Queue) refuseHopeless(w *Waiter, runTime time.Duration, now time.Time) *baobabtide.RequestError {
	t := &w.ticket
	if now.Add(time.Duration(expireMargin * float64(runTime))).After(t.Deadline) {
		return q.refusal(baobabtide.ReasonDeadline, t, 0, now)
	}
	if !q.BySlotTime || w.overtime || t.Objective.IsZero() || !now.Add(runTime).After(t.Objective) {
		return nil
	}
	w.overtime = true
	if f := q.forecast(w, runTime, now); !t.Call && f.missesDeadline(t, now) {
		return q.refusal(baobabtide.ReasonOverload, t, q.retryAfter(t, f.untilEnd(), now), now)
	}
	return nil
}

// next returns the index of the waiter to admit next, -1 if the free slot is kept for requests
// that are still to come. The queue must not be empty.
func (q *Queue) next(now time.Time) int {
	best := q.first(nil)
	if !q.BySlotTime {
		return q.nextByGrants(best)
	}
	t := &q.waiting[best].ticket
	if lower := q.first(q.waiting[best]); lower >= 0 {
		if cost := q.stats.RunTime(q.waiting[lower].ticket.Route); q.lowCredit >= cost {
			q.lowCredit -= cost
			return lower
		}
		q.creditLower(t)
		return best
	}
	if q.keepsSlot(t, now) {
		cost := q.stats.RunTime(t.Route)
		if q.lowCredit < cost {
			return -1
		}
		q.lowCredit -= cost
	}
	return best
}

// nextByGrants returns the index of the best waiter, or in one of lowPriorityInterval grants that
// of a lower priority.
func (q *Queue) nextByGrants(best int) int {
	if q.grants%lowPriorityInterval == lowPriorityInterval-1 {
		if lower := q.first(q.waiting[best]); lower >= 0 {
			return lower
		}
	}
	return best
}

// creditLower adds what waiters of lower priorities are due for the grant of a ticket.
func (q *Queue) creditLower(t *Ticket) {
	q.lowCredit += q.stats.RunTime(t.Route) / (lowPriorityInterval - 1)
}

// first returns the index of the waiter that goes before all others. If preferred
// is not nil, it considers only waiters of a lower priority than preferred that
// are expected to meet their objectives. It returns -1 for none.
func (q *Queue) first(preferred *Waiter) int {
	best := -1
	for i, w := range q.waiting {
		if preferred != nil && (w.ticket.Priority >= preferred.ticket.Priority || !w.onTime) {
			continue
		}
		if best < 0 || q.before(w, q.waiting[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a goes before b. The order is: higher priority, calls of
// running requests, requests expected on arrival to meet their objectives, those that can
// still meet them, the customer with the fewest running requests, the account that has
// received least of its limit. Among requests of accounts the first goes first then, so
// that a route with a short objective does not displace the others; without accounts and
// among calls, it is the one with the earlier objective.
func (q *Queue) before(a, b *Waiter) bool {
	if ar, br := a.ticket.rank(), b.ticket.rank(); ar != br {
		return ar.outranks(br)
	}
	if a.onTime != b.onTime {
		return a.onTime
	}
	if a.overtime != b.overtime {
		return b.overtime
	}
	if a.ticket.Customer != b.ticket.Customer {
		ar, br := q.running[a.ticket.Customer], q.running[b.ticket.Customer]
		if ar != br {
			return ar < br
		}
	}
	if a.share != nil && b.share != nil && !a.ticket.Call {
		return a.share != b.share && a.share.class() < b.share.class()
	}
	return a.ticket.objective().Before(b.ticket.objective())
}
