package btadmit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// requestClass describes one class of requests in a simulation.
type requestClass struct {
	route       string
	perSecond   float64
	meanRunTime time.Duration // a run takes half of this plus an exponentially distributed part
	objective   time.Duration
	deadline    time.Duration
	priority    int
	call        bool
}

// outcomeCounts counts the requests of one class by outcome.
type outcomeCounts struct {
	offered, onTime, late, refused, missed int // missed: queued or granted, then refused or past the deadline
}

// event is an action at a point in simulated time.
type event struct {
	at     time.Time
	action func(now time.Time)
}

// schedule is a heap of events, earliest first.
type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// simulation simulates a backend server and its queue in simulated time.
type simulation struct {
	rng     *rand.Rand
	queue   *Queue
	events  schedule
	pending map[*Waiter]func(now time.Time)
	busy    time.Duration // total run time over all slots
	now     time.Time
	starts  []time.Time // when requests were granted, in order
}

// newSimulation returns a simulation of a server with a number of slots.
func newSimulation(slots int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(7, 11)), queue: NewQueue(slots), pending: make(map[*Waiter]func(time.Time)), now: now}
	alarms := 0
	sim.queue.Alarm = func(wait time.Duration) {
		alarms++
		alarm := alarms
		heap.Push(&sim.events, event{sim.now.Add(wait), func(now time.Time) {
			if alarm == alarms { // as with a timer, only the last one counts
				sim.queue.Wake(now)
			}
		}})
	}
	return sim
}

// simulate offers requests of each class to one queue for the given length, with
// exponentially distributed interarrival times, and runs those that are granted a
// slot. It returns the outcomes by route. The function slowdown returns the factor
// on the run times of requests that start at a given time.
func simulate(classes []requestClass, slots int, length time.Duration, slowdown func(now time.Time) float64) (map[string]*outcomeCounts, *simulation) {
	sim := newSimulation(slots)
	return sim.run(classes, length, slowdown), sim
}

// run is like simulate for an existing simulation.
func (sim *simulation) run(classes []requestClass, length time.Duration, slowdown func(now time.Time) float64) map[string]*outcomeCounts {
	counts := make(map[string]*outcomeCounts)
	end := now.Add(length)
	for _, class := range classes {
		counts[class.route] = &outcomeCounts{}
		for at := now; at.Before(end); at = at.Add(time.Duration(sim.rng.ExpFloat64() / class.perSecond * float64(time.Second))) {
			heap.Push(&sim.events, event{at, func(now time.Time) { sim.arrive(class, counts[class.route], now, slowdown) }})
		}
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action(e.at)
		sim.resumeDecided(e.at)
	}
	return counts
}

func (sim *simulation) arrive(class requestClass, outcomes *outcomeCounts, now time.Time, slowdown func(time.Time) float64) {
	outcomes.offered++
	ticket := Ticket{Customer: "c", Route: class.route, Priority: class.priority, Call: class.call, Deadline: now.Add(class.deadline), Objective: now.Add(class.objective)}
	w, refusal := sim.queue.Offer(ticket, now)
	if refusal != nil {
		ticket.Late = true
		w, refusal = sim.queue.Offer(ticket, now)
	}
	if refusal != nil {
		outcomes.refused++
		return
	}
	run := func(started time.Time) {
		sim.starts = append(sim.starts, started)
		took := time.Duration(float64(class.meanRunTime) * (0.5 + sim.rng.ExpFloat64()/2) * slowdown(started))
		end := started.Add(min(took, ticket.Deadline.Sub(started)))
		heap.Push(&sim.events, event{end, func(now time.Time) {
			sim.busy += now.Sub(started)
			sim.queue.Complete(&ticket, now.Sub(started), false, now)
			switch {
			case took > ticket.Deadline.Sub(started):
				outcomes.missed++
			case now.After(ticket.Objective):
				outcomes.late++
			default:
				outcomes.onTime++
			}
		}})
	}
	if w == granted {
		run(now)
		return
	}
	sim.pending[w] = func(now time.Time) {
		if w.Refusal() != nil {
			outcomes.missed++
			return
		}
		run(now)
	}
}

// resumeDecided continues the requests whose waiters were granted a slot or refused.
func (sim *simulation) resumeDecided(now time.Time) {
	for w, next := range sim.pending {
		if isReady(w) {
			delete(sim.pending, w)
			next(now)
		}
	}
}

func noSlowdown(time.Time) float64 { return 1 }

// New requests arrive at twice the capacity, together with calls made by requests
// that run on other backend servers: the calls are served, the slots stay busy, most
// admitted requests meet their objectives and very few miss their deadlines.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	classes := []requestClass{
		{"book", 50, 290 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond, 8, false},
		{"check", 40, 55 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 8, true},
	}
	counts, sim := simulate(classes, 8, 20*time.Second, noSlowdown)
	book, check := counts["book"], counts["check"]
	if refused := float64(check.refused+check.missed) / float64(check.offered); refused > 0.01 {
		t.Errorf("%.1f%% of the calls were refused or missed their deadlines: %+v", 100*refused, *check)
	}
	if used := sim.busy.Seconds() / (8 * 20); used < 0.9 {
		t.Errorf("slot utilization is only %.2f", used)
	}
	if missedShare := float64(book.missed) / float64(book.offered); missedShare > 0.02 {
		t.Logf("%+v", *book)
		t.Errorf("%.1f%% of the new requests were admitted and missed their deadlines: %+v", 100*missedShare, *book)
	}
	if onTime := float64(book.onTime) / float64(book.onTime+book.late); onTime < 0.75 {
		t.Errorf("only %.2f of the responses met their objectives: %+v", onTime, *book)
	}
}

// Under overload the higher priority is served at least as well as the lower one,
// and the lower one does not starve.
func TestOverloadFavorsHigherPriorityWithoutStarvation(t *testing.T) {
	classes := []requestClass{
		{"urgent", 30, 100 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 8, false},
		{"lesser", 80, 100 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 7, false},
	}
	counts, _ := simulate(classes, 6, 20*time.Second, noSlowdown)
	served := func(t *outcomeCounts) float64 { return float64(t.onTime+t.late) / float64(t.offered) }
	urgent, lesser := served(counts["urgent"]), served(counts["lesser"])
	if urgent < lesser || urgent < 0.9 {
		t.Errorf("share served: higher priority %.2f, lower priority %.2f", urgent, lesser)
	}
	if lesser < urgent/4 {
		t.Errorf("the lower priority starves: %.2f were served", lesser)
	}
}

// A backend server is twelve times slower for 5 s: once the queue detects this, it
// admits only requests that can still be answered, and it recovers soon after that time.
func TestSlowServerAdmitsFewRequests(t *testing.T) {
	classes := []requestClass{{"look", 40, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 8, false}}
	from, to := now.Add(5*time.Second), now.Add(10*time.Second)
	slowdown := func(at time.Time) float64 {
		if at.After(from) && at.Before(to) {
			return 12
		}
		return 1
	}
	counts, _ := simulate(classes, 6, 20*time.Second, slowdown)
	look := counts["look"]
	const arrivalsWhileSlow = 40 * 5
	if missedShare := float64(look.missed) / arrivalsWhileSlow; missedShare > 0.35 {
		t.Errorf("%.2f of the requests that arrived while the server was slow were admitted and missed their deadlines: %+v", missedShare, *look)
	}
	if math.Abs(float64(look.onTime)/float64(40*15)-1) > 0.2 {
		t.Errorf("%d requests met their objectives, want about %d, the arrivals outside the slow period: %+v", look.onTime, 40*15, *look)
	}
}

// Requests to a route used by callers originate beside all services, requests to a
// call route only beside the services that make the call.
func TestCallRoutesAreDetectedByOrigin(t *testing.T) {
	var c CallDetector
	rng := rand.New(rand.NewPCG(1, 2))
	services := []string{"archive", "archive", "desk", "files"}
	var call bool
	for range 400 {
		if c.Observe("sign", services[rng.IntN(len(services))]) {
			t.Fatal("a route used by callers was classified as a call route")
		}
		for range 4 { // most of the requests may be calls
			call = c.Observe("check", "archive")
		}
	}
	if !call {
		t.Error("a route that only one service uses was not classified as a call route")
	}
}

// At three times the capacity for 10 s, nine tenths of the capacity go to responses
// that meet their objectives. A queue that holds as many requests as can just meet
// their objectives makes half of all responses late and serves no more requests.
func TestGoodputAtThreeTimesTheCapacity(t *testing.T) {
	const slots, length = 13, 10 * time.Second
	classes := []requestClass{
		{"look", 230, 94 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 7, false},
		{"book", 120, 120 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 8, false},
		{"check", 60, 23 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 8, true},
	}
	counts, _ := simulate(classes, slots, length, noSlowdown)
	onTimeWork, offered, answered := 0.0, 0, 0
	for _, class := range classes {
		outcomes := counts[class.route]
		onTimeWork += float64(outcomes.onTime) * class.meanRunTime.Seconds()
		offered += outcomes.offered
		answered += outcomes.onTime + outcomes.late
		t.Logf("%s: %+v", class.route, *outcomes)
	}
	if share := onTimeWork / (slots * length.Seconds()); share < 0.9 {
		t.Errorf("only %.2f of the capacity went to responses that met their objectives", share)
	}
	served := func(route string) float64 {
		return float64(counts[route].onTime+counts[route].late) / float64(counts[route].offered)
	}
	if served("book") < served("look") {
		t.Errorf("%.2f of the higher priority were served, %.2f of the lower one", served("book"), served("look"))
	}
	if average := float64(answered) / float64(offered); served("look") < average/4 {
		t.Errorf("the lower priority starves: %.2f of it were served, %.2f of all requests", served("look"), average)
	}
	if unserved := 1 - served("check"); unserved > 0.01 {
		t.Errorf("%.3f of the calls were refused or missed their deadlines", unserved)
	}
}
