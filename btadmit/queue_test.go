package btadmit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

var now = time.Unix(10_000, 0)

func ticket(customer string, priority int) Ticket {
	return Ticket{Customer: customer, Priority: priority, Deadline: now.Add(time.Minute)}
}

func isReady(w *Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

func offer(t *testing.T, q *Queue, ticket Ticket) *Waiter {
	t.Helper()
	w, refusal := q.Offer(ticket, now)
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	return w
}

func reason(err *baobabtide.RequestError) baobabtide.Reason {
	if err == nil {
		return ""
	}
	return err.Reason
}

func TestSlotsAreGrantedByPriority(t *testing.T) {
	q := NewQueue(1)
	offer(t, q, ticket("a", 0))
	waiters := map[string]*Waiter{
		"low":  offer(t, q, ticket("a", 0)),
		"high": offer(t, q, ticket("a", 5)),
	}
	q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	if isReady(waiters["low"]) || !isReady(waiters["high"]) {
		t.Error("the waiter of higher priority was not granted the first slot")
	}
	q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	if !isReady(waiters["low"]) {
		t.Error("the waiter of lower priority was not granted the second slot")
	}
}

// A customer with many requests must not starve another customer.
func TestFairnessBetweenCustomers(t *testing.T) {
	q := NewQueue(4)
	for range 4 {
		offer(t, q, ticket("audit", 0))
	}
	for range 4 {
		offer(t, q, ticket("audit", 0))
	}
	inspector := offer(t, q, ticket("inspector", 0))
	q.Release(&Ticket{Customer: "audit"}, time.Millisecond, now)
	if !isReady(inspector) {
		t.Error("the customer without running requests was not granted the first slot")
	}
}

func TestRefusals(t *testing.T) {
	expired := ticket("a", 0)
	expired.Deadline = now
	shortDeadline := ticket("a", 0)
	shortDeadline.Deadline = now.Add(time.Millisecond)
	tests := map[string]struct {
		prepare func(q *Queue)
		ticket  Ticket
		want    baobabtide.Reason
	}{
		"free slot":                      {func(*Queue) {}, ticket("a", 0), ""},
		"deadline passed":                {func(*Queue) {}, expired, baobabtide.ReasonDeadline},
		"expected wait exceeds deadline": {func(q *Queue) { q.Offer(ticket("a", 0), now) }, shortDeadline, baobabtide.ReasonOverload},
		"queue is full":                  {func(q *Queue) { fill(q, 1+maxWaitersPerSlot) }, ticket("a", 0), baobabtide.ReasonOverload},
		"higher priority evicts lower":   {func(q *Queue) { fill(q, 1+maxWaitersPerSlot) }, ticket("a", 1), ""},
		"draining":                       {func(q *Queue) { q.Close() }, ticket("a", 0), baobabtide.ReasonDraining},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(1)
			tt.prepare(q)
			_, refusal := q.Offer(tt.ticket, now)
			if diff := cmp.Diff(tt.want, reason(refusal)); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
			if refusal != nil && refusal.Verdict != baobabtide.NotRun {
				t.Errorf("verdict %s", refusal.Verdict)
			}
			if tt.want == baobabtide.ReasonOverload && refusal.RetryAfter <= 0 {
				t.Error("overload refusal without RetryAfter")
			}
		})
	}
}

func fill(q *Queue, count int) {
	for range count {
		q.Offer(ticket("a", 0), now)
	}
}

// A waiter that can no longer be answered before its deadline is refused when the
// next slot is released, and is not granted that slot.
func TestWaitersExpire(t *testing.T) {
	q := NewQueue(1)
	offer(t, q, ticket("a", 0))
	w := offer(t, q, Ticket{Customer: "a", Deadline: now.Add(time.Second)})
	q.Release(&Ticket{Customer: "a"}, time.Millisecond, now.Add(2*time.Second))
	if !isReady(w) || reason(w.Refusal()) != baobabtide.ReasonDeadline {
		t.Errorf("refusal %v", w.Refusal())
	}
	if diff := cmp.Diff(0, q.Load("", now).InFlight); diff != "" {
		t.Errorf("in flight (-want +got):\n%s", diff)
	}
}

func TestCancelWithdrawsOnlyWaitersWithoutSlot(t *testing.T) {
	q := NewQueue(1)
	offer(t, q, ticket("a", 0))
	waiting := offer(t, q, ticket("a", 0))
	if !q.Cancel(waiting) {
		t.Error("Cancel did not withdraw a waiter in the queue")
	}
	granted := offer(t, q, ticket("a", 0))
	q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	if q.Cancel(granted) {
		t.Error("Cancel withdrew a granted waiter, whose slot is then never released")
	}
	if diff := cmp.Diff(1, q.Load("", now).InFlight); diff != "" {
		t.Errorf("in flight (-want +got):\n%s", diff)
	}
}

func TestLimitShrinksOnSheddingAndRecovers(t *testing.T) {
	q := NewQueue(10)
	fill(q, 10)
	for range 5 {
		q.RecordShed(now)
	}
	limit := q.Load("", now).Slots
	if limit > 4 {
		t.Errorf("limit %d after shedding", limit)
	}
	for q.Load("", now).InFlight > 0 {
		q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	}
	for range 1000 {
		q.Offer(ticket("a", 0), now)
		for q.Load("", now).InFlight < q.Load("", now).Slots {
			q.Offer(ticket("a", 0), now)
		}
		q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	}
	if diff := cmp.Diff(10, q.Load("", now).Slots); diff != "" {
		t.Errorf("limit after recovery (-want +got):\n%s", diff)
	}
}

// A backend server that sheds requests while most of its slots are free is faulty,
// not overloaded: its limit stays and its share of failures rises, so that nodes
// choose other targets.
func TestSheddingWithFreeSlotsCountsAsFailure(t *testing.T) {
	q := NewQueue(10)
	fill(q, 2)
	for range 20 {
		q.RecordShed(now)
	}
	load := q.Load("", now)
	if load.Slots != 10 || load.Failing < 500 {
		t.Errorf("limit %d, failing %d thousandths", load.Slots, load.Failing)
	}
}

func TestRateLimit(t *testing.T) {
	var l RateLimiter
	l.Set(map[RateKey]float64{{"a", "s"}: 2})
	got := []bool{l.Take("a", "s", now) == 0, l.Take("a", "s", now) == 0, l.Take("a", "s", now) == 0, l.Take("b", "s", now) == 0, l.Take("a", "s", now.Add(time.Second)) == 0}
	if diff := cmp.Diff([]bool{true, true, false, true, true}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}

func TestGrantOnArrivalDoesNotAllocate(t *testing.T) {
	q := NewQueue(10)
	request := ticket("a", 0)
	q.Offer(request, now)
	allocs := testing.AllocsPerRun(1000, func() {
		q.Offer(request, now)
		q.Release(&Ticket{Customer: "a"}, time.Millisecond, now)
	})
	if diff := cmp.Diff(0.0, allocs); diff != "" {
		t.Errorf("allocations (-want +got):\n%s", diff)
	}
}

// A request that may not wait for long is refused beside a full backend server, and does not
// count as demand there.
func TestRefuseBusy(t *testing.T) {
	q := NewQueue(2)
	for range 20 {
		q.RecordRun("read", 100*time.Millisecond, false)
	}
	ticket := Ticket{Customer: "c", Route: "read", Deadline: now.Add(time.Second)}
	refused := func(maxWait time.Duration) bool { return q.RefuseBusy(ticket, maxWait, now) != nil }
	if refused(time.Millisecond) {
		t.Error("refused although all slots are free")
	}
	for range 2 {
		if _, refusal := q.Offer(ticket, now); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if got := q.RefuseBusy(ticket, 5*time.Millisecond, now); got == nil || got.Reason != baobabtide.ReasonBusy || got.Verdict != baobabtide.NotRun || got.Load.InFlight != 2 {
		t.Errorf("the refusal of a full server is %+v", got)
	}
	if refused(500 * time.Millisecond) {
		t.Error("refused although the wait is shorter than allowed")
	}
	if diff := cmp.Diff(2, q.Load("read", now).InFlight); diff != "" {
		t.Errorf("running requests (-want +got):\n%s", diff)
	}
}
