package btadmit

import "time"

const (
	shortRunRatio  = 2   // a run is long if it takes more than this many times as long as those of a higher priority
	minArrivals    = 1.0 // per second, of a higher priority that slots are kept for
	busyLoad       = 0.7 // offered work relative to the limit from which one slot is kept
	overload       = 1.2 // offered work relative to the limit from which two slots are kept
	maxKeptDivisor = 3   // at most one in this many slots is kept
)

// goesFirst reports whether a ticket that arrives goes before all waiters and may have the next
// free slot. Slots are free while requests wait only if they are kept from these.
func (q *Queue) goesFirst(t *Ticket, now time.Time) bool {
	if !q.BySlotTime {
		return len(q.waiting) == 0
	}
	for _, w := range q.waiting {
		if w.ticket.Priority >= t.Priority {
			return false
		}
	}
	return !q.keepsSlot(t, now)
}

// keepsSlot reports whether the remaining free slots are kept from a ticket because its run
// would take much longer than those of a higher priority. If such runs fill all slots, the
// requests of the higher priority wait for the end of one of them, which may be longer than
// their objective.
func (q *Queue) keepsSlot(t *Ticket, now time.Time) bool {
	if !q.BySlotTime {
		return false
	}
	limit := int(q.limit) - q.foreign(now)
	if t.Call || limit-q.inFlight > q.keptSlots(limit, now) {
		return false
	}
	runTime := q.stats.RunTime(t.Route).Seconds()
	for r, d := range q.accepted {
		arrivals := d.requests.perSecond(now)
		if r.priority > t.Priority && arrivals >= minArrivals && runTime*arrivals > shortRunRatio*d.work.perSecond(now) {
			return true
		}
	}
	return false
}

// keptSlots returns how many of the slots are kept from long runs.
func (q *Queue) keptSlots(limit int, now time.Time) int {
	load := q.offered.work.perSecond(now) / q.limit
	switch {
	case load < busyLoad:
		return 0
	case load < overload:
		return min(1, limit/maxKeptDivisor)
	default:
		return min(2, limit/maxKeptDivisor)
	}
}
