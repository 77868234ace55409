package btadmit

import (
	"math"
	"time"
)

// rank orders requests regardless of their objectives: by priority, then calls
// before new work.
type rank struct {
	priority int
	call     bool
}

func (t *Ticket) rank() rank { return rank{t.Priority, t.Call} }

// outranks reports whether every request of rank r goes before every request of
// the other rank.
func (r rank) outranks(other rank) bool {
	if r.priority != other.priority {
		return r.priority > other.priority
	}
	return r.call && !other.call
}

// retryAfter returns the time after which the ticket would be admitted if no
// other request arrived, given that its run would now end after untilEnd. It
// returns at least minRetryAfter.
func (q *Queue) retryAfter(t *Ticket, untilEnd time.Duration, now time.Time) time.Duration {
	return max(minRetryAfter, untilEnd-t.objective().Sub(now))
}

// lateWait estimates the wait of a request that can't meet its objective and is
// overtaken by those that can. The given wait is the estimate without overtaking.
func (q *Queue) lateWait(wait time.Duration, now time.Time) time.Duration {
	utilization := q.offered.work.perSecond(now) / max(1, q.limit)
	if q.turns != nil {
		utilization = max(utilization, q.offered.requests.perSecond(now)/float64(q.turns.Limit()))
	}
	if utilization >= 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(wait) / max(minLateFraction, 1-utilization))
}

// recordAccepted adds an accepted request with its expected run time to the demand
// of its rank. The number of ranks is small. Refused work doesn't count: it is
// offered to other backend servers too, and if each of them counted it, none
// would have slots available for lower ranks.
func (q *Queue) recordAccepted(r rank, runTime time.Duration, now time.Time) {
	d := q.accepted[r]
	if d == nil {
		d = &demand{}
		q.accepted[r] = d
	}
	d.add(runTime, now)
}

// availableSlots returns the number of slots left for a rank by the accepted
// requests of higher ranks. It returns at least one slot and at least
// minLateFraction of the limit.
func (q *Queue) availableSlots(r rank, now time.Time) float64 {
	available := q.limit - float64(q.foreign(now))
	for other, d := range q.accepted {
		if other.outranks(r) {
			available -= d.work.perSecond(now)
		}
	}
	return max(available, minLateFraction*q.limit, 1)
}

// runTime returns the expected run time of a route under the present slowdown.
func (q *Queue) runTime(route string, now time.Time) time.Duration {
	return time.Duration(float64(q.stats.RunTime(route)) * q.slowdown(now))
}

// slowdown returns the present run times relative to those of the statistics: the factor
// by which the mean age of the running requests exceeds slowAgeFactor times their expected
// run time, but at least the service time that the backend server reports, 1 without
// reports. The age detects a slow backend server before any of its slow responses arrive.
func (q *Queue) slowdown(now time.Time) float64 {
	relative := q.report.relativeTime(now)
	expected := float64(q.stats.runningTime(q.runs))
	if q.inFlight == 0 || expected == 0 {
		return relative
	}
	age := float64(now.Sub(q.epoch)) - float64(q.grantOffsetSum)/float64(q.inFlight)
	return max(relative, age/(expected*slowAgeFactor))
}

// forecast is what is expected of a ticket that would wait.
type forecast struct {
	wait    time.Duration
	runTime time.Duration
	late    bool // it misses its objective
}

func (f forecast) untilEnd() time.Duration { return f.wait + f.runTime }

// forecast returns what is expected of a waiter. New work that misses its objective is
// overtaken by what meets it.
func (q *Queue) forecast(w *Waiter, runTime time.Duration, now time.Time) forecast {
	t := &w.ticket
	f := forecast{wait: q.wait(w, now), runTime: runTime}
	f.late = now.Add(f.wait + time.Duration(OnTimeMargin*float64(runTime))).After(t.objective())
	if f.late && !t.Call {
		f.wait = min(q.lateWait(f.wait, now), t.Deadline.Sub(now))
	}
	return f
}

// missesDeadline reports whether the run ends only after the deadline.
func (f forecast) missesDeadline(t *Ticket, now time.Time) bool {
	return now.Add(f.untilEnd()).After(t.Deadline)
}

// isNotWorthTheWait reports whether a ticket that misses its objective is refused: new work may
// be late only if no other target is left for it, and only after a short wait. A call that is
// refused loses the work of the request that makes it.
func (f forecast) isNotWorthTheWait(t *Ticket, now time.Time) bool {
	if !f.late || t.Call {
		return false
	}
	tooLong := f.wait > time.Duration(maxLateWaitFraction*float64(t.Deadline.Sub(now)))
	return !t.Late || tooLong
}

// wait estimates how long a waiter waits for a slot and for its turn under the rate limit.
func (q *Queue) wait(w *Waiter, now time.Time) time.Duration {
	return max(q.slotWait(w, now), q.rateWait(w, now))
}

// slotWait estimates how long a waiter waits for a slot behind the waiters that go
// before it. A waiter of a lower rank waits for the slots that higher ranks leave,
// or for the grants reserved for lower priorities, whichever comes first.
func (q *Queue) slotWait(w *Waiter, now time.Time) time.Duration {
	if q.hasFreeSlot(now) && q.goesFirst(&w.ticket, now) {
		return 0
	}
	residual := residualFraction * float64(q.stats.runningTime(q.runs))
	ahead, samePriority := residual, residual
	availableSlots := q.availableSlots(w.ticket.rank(), now)
	for _, other := range q.waiting {
		if other.onTime && other.ticket.Priority < w.ticket.Priority {
			availableSlots = min(availableSlots, q.limit*(1-1.0/lowPriorityInterval))
		}
		if q.before(w, other) {
			continue
		}
		runTime := float64(q.stats.RunTime(other.ticket.Route))
		ahead += runTime
		if other.ticket.Priority == w.ticket.Priority {
			samePriority += runTime
		}
	}
	wait := ahead / availableSlots
	if len(q.waiting) > 0 {
		wait = min(wait, samePriority/max(1, q.limit/lowPriorityInterval))
	}
	return time.Duration(q.slowdown(now) * wait)
}
