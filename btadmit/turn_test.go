package btadmit

import (
	"container/heap"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

const limitWindow = 4 * time.Second // the length of the periods in which arrivals are counted

// tolerated returns the number of arrivals that a limit tolerates in limitWindow: half as
// many again as it allows, and 5.
func tolerated(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// mostInWindow returns the largest number of times from a time on that lie within limitWindow.
func mostInWindow(times []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) >= limitWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// at calls an action at a time of the simulation.
func (sim *simulation) at(after time.Duration, action func(now time.Time)) {
	heap.Push(&sim.events, event{now.Add(after), action})
}

// Three times what the limit allows arrives, in two ranks: the server gets nearly what it
// allows and never much more, and no request waits in vain.
func TestRateLimitIsUsedAndKept(t *testing.T) {
	for _, limit := range []float64{0.5, 1.7, 4.9, 20, 50} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			sim := newSimulation(16)
			const limitedAt, length = 5 * time.Second, 65 * time.Second
			sim.at(limitedAt, func(now time.Time) { sim.queue.SetRateLimit(limit, now) })
			class := requestClass{perSecond: 1.5 * limit, meanRunTime: 100 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 2 * time.Second}
			urgent, other := class, class
			urgent.route, urgent.priority = "urgent", 1
			other.route = "other"
			counts := sim.run([]requestClass{urgent, other}, length, noSlowdown)
			from := now.Add(limitedAt)
			if got := mostInWindow(sim.starts, from); got > tolerated(limit) {
				t.Errorf("%d requests in %s, %d are tolerated", got, limitWindow, tolerated(limit))
			}
			got := 0
			for _, at := range sim.starts {
				if !at.Before(from) {
					got++
				}
			}
			if least := 0.9 * limit * (length - limitedAt).Seconds(); float64(got) < least {
				t.Errorf("%d requests granted, want at least %.0f", got, least)
			}
			for route, c := range counts {
				if c.missed*50 > c.offered {
					t.Errorf("%s: %d of %d waited in vain", route, c.missed, c.offered)
				}
			}
			if urgentShare := float64(counts["urgent"].onTime) / float64(counts["urgent"].offered); limit >= 1 && urgentShare < 0.4 {
				t.Errorf("%.2f of the urgent requests on time", urgentShare)
			}
		})
	}
}

// A limit is named while requests wait: those that can't be in time any more are refused at
// once, with the time after which they would get a turn.
func TestWaitersBeyondNewRateLimitAreRefused(t *testing.T) {
	q := NewQueue(1)
	q.RecordRun("r", 50*time.Millisecond, false)
	ticket := Ticket{Customer: "c", Route: "r", Deadline: now.Add(4 * time.Second), Objective: now.Add(500 * time.Millisecond)}
	var waiters []*Waiter
	for range 6 {
		waiters = append(waiters, offer(t, q, ticket))
	}
	q.SetRateLimit(4, now)
	refused := 0
	for _, w := range waiters[1:] {
		if !isReady(w) {
			continue
		}
		refused++
		if diff := cmp.Diff(baobabtide.ReasonOverload, reason(w.Refusal())); diff != "" {
			t.Errorf("reason (-want +got):\n%s", diff)
		}
		if w.Refusal().RetryAfter < minRetryAfter {
			t.Errorf("RetryAfter %s", w.Refusal().RetryAfter)
		}
	}
	if want := 4; refused != want { // one turn comes within the objective, at 250 ms
		t.Errorf("%d waiters refused, want %d", refused, want)
	}
}

// The slot is free, but no turn has come: the waiter gets it with the alarm, not before.
func TestWaiterGetsItsTurn(t *testing.T) {
	q := NewQueue(4)
	var alarms []time.Duration
	q.Alarm = func(wait time.Duration) { alarms = append(alarms, wait) }
	q.SetRateLimit(2, now)
	w := offer(t, q, Ticket{Customer: "c", Deadline: now.Add(4 * time.Second)})
	if diff := cmp.Diff([]time.Duration{500*time.Millisecond + turnSlack}, alarms); diff != "" {
		t.Fatalf("alarms (-want +got):\n%s", diff)
	}
	q.Wake(now.Add(499 * time.Millisecond))
	if isReady(w) {
		t.Error("granted before its turn")
	}
	q.Wake(now.Add(alarms[0]))
	if !isReady(w) || w.Refusal() != nil {
		t.Error("not granted at its turn")
	}
}

// A limit that is withdrawn no longer holds back the requests that wait.
func TestWithdrawnRateLimitReleasesWaiters(t *testing.T) {
	q := NewQueue(4)
	q.SetRateLimit(1, now)
	w := offer(t, q, Ticket{Customer: "c", Deadline: now.Add(4 * time.Second)})
	q.ClearRateLimit(now)
	if !isReady(w) || w.Refusal() != nil {
		t.Error("still waits")
	}
}

// A server that names a limit of 0 must be asked now and then, or it could not withdraw it.
func TestRateLimitOfZeroIsProbed(t *testing.T) {
	q := NewQueue(4)
	q.SetRateLimit(0, now)
	granted := 0
	for second := range 60 {
		at := now.Add(time.Duration(second) * time.Second)
		w, refusal := q.Offer(Ticket{Customer: "c", Deadline: at.Add(100 * time.Millisecond)}, at)
		switch {
		case refusal != nil:
		case isReady(w):
			granted++
			q.Release(&Ticket{Customer: "c"}, 0, at)
		default:
			q.Cancel(w)
		}
	}
	if granted < 3 || granted > 6 {
		t.Errorf("%d requests granted in a minute, want 3 to 6", granted)
	}
}

// Whatever limits a server names and however requests arrive, no period of 4 s in which a
// limit lasts has more grants than it tolerates.
func TestRateLimitHoldsInAllPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 20).Draw(t, "slots"))
		limit := rapid.Float64Range(0.2, 50).Draw(t, "limit")
		for i := range rapid.IntRange(0, 4).Draw(t, "changes") {
			earlier := rapid.Float64Range(0, 100).Draw(t, "earlier")
			sim.at(time.Duration(i)*time.Second, func(now time.Time) { sim.queue.SetRateLimit(earlier, now) })
		}
		if rapid.Bool().Draw(t, "withdrawn") {
			sim.at(4*time.Second, sim.queue.ClearRateLimit)
		}
		const limitedAt = 5 * time.Second
		sim.at(limitedAt, func(now time.Time) { sim.queue.SetRateLimit(limit, now) })
		class := requestClass{
			route: "r", perSecond: rapid.Float64Range(1, 200).Draw(t, "arrivals"), meanRunTime: time.Duration(rapid.IntRange(1, 500).Draw(t, "run")) * time.Millisecond,
			objective: time.Second, deadline: 3 * time.Second,
		}
		sim.run([]requestClass{class}, 15*time.Second, noSlowdown)
		if got := mostInWindow(sim.starts, now.Add(limitedAt)); got > tolerated(limit) {
			t.Fatalf("%d requests in %s, %d are tolerated", got, limitWindow, tolerated(limit))
		}
	})
}
