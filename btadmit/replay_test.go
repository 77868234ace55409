package btadmit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// load is one kind of requests in a replay.
type load struct {
	requestClass
	onTime, later float64 // value of a response within the objective and after it
	account       string
	use           float64 // of the account's limit, over all nodes
}

// replay is a simulation of one backend server that is noisy, and of the requests of several
// accounts. Requests that are refused come back once as late ones. Without a noisy share, long
// runs and accounts it is the simulation.
type replay struct {
	simulation
	slots      int           // of the server
	noisyShare float64       // share of the windows in which runs take 2.5 times as long
	window     time.Duration // length of a window, 0 for none
	longShare  float64       // share of the runs that take seven times as long
	reports    bool          // the server reports its load with each response
	resets     bool          // the server resets connections when it is full, and reports nothing then
	foreign    int           // runs that the server has already begun for another process

	waiting  []waiting
	noise    []float64
	noiseRNG *rand.Rand // apart from rng, so that policies are compared under the same noise
	value    float64
	earned   map[string]float64
	counts   map[string]*outcomeCounts // by route, or by account if there is one
	running  int                       // requests at the server
	shed     int                       // granted requests that the server refused
	onBegin  func(route string, now time.Time, relative float64)
}

// waiting is a request that waits, and what follows once it is granted a slot or refused.
type waiting struct {
	waiter *Waiter
	next   func(now time.Time)
}

func newReplay(slots int, seed uint64) *replay {
	r := &replay{simulation: *newSimulation(slots), slots: slots, earned: make(map[string]float64), counts: make(map[string]*outcomeCounts)}
	r.rng, r.noiseRNG = rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 12))
	return r
}

// relativeTime returns the service time of the server relative to the normal one.
func (r *replay) relativeTime(at time.Time) float64 {
	if r.window == 0 {
		return 1
	}
	i := int(at.Sub(now) / r.window)
	for len(r.noise) <= i {
		factor := 1.0
		if r.noiseRNG.Float64() < r.noisyShare {
			factor = 2.5
		}
		r.noise = append(r.noise, factor)
	}
	return r.noise[i]
}

// play offers the loads for the given length and waits for all responses.
func (r *replay) play(loads []load, length time.Duration) {
	end := now.Add(length)
	for range r.foreign {
		r.running++
		heap.Push(&r.events, event{now.Add(time.Duration(r.rng.Float64() * float64(time.Second))), func(time.Time) { r.running-- }})
	}
	for _, l := range loads {
		if l.perSecond == 0 {
			continue
		}
		for _, name := range []string{l.route, l.account} {
			if r.counts[name] == nil {
				r.counts[name] = &outcomeCounts{}
			}
		}
		for at := now; at.Before(end); at = at.Add(time.Duration(r.rng.ExpFloat64() / l.perSecond * float64(time.Second))) {
			heap.Push(&r.events, event{at, func(now time.Time) { r.offer(&l, now) }})
		}
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action(e.at)
		r.resume(e.at)
	}
}

// resume is resumeDecided in the order of arrival, so that a seed always gives the same result.
func (r *replay) resume(now time.Time) {
	var decided []waiting
	r.waiting = slices.DeleteFunc(r.waiting, func(w waiting) bool {
		if isReady(w.waiter) {
			decided = append(decided, w)
			return true
		}
		return false
	})
	for _, w := range decided {
		w.next(now)
	}
}

// count adds an outcome to the counts of the route and of the account.
func (r *replay) count(l *load, add func(*outcomeCounts)) {
	add(r.counts[l.route])
	if l.account != "" {
		add(r.counts[l.account])
	}
}

func (r *replay) offer(l *load, now time.Time) {
	r.count(l, func(c *outcomeCounts) { c.offered++ })
	t := Ticket{Customer: "c", Account: l.account, AccountUse: l.use, Route: l.route, Priority: l.priority, Call: l.call, Deadline: now.Add(l.deadline), Objective: now.Add(l.objective)}
	w, refusal := r.queue.Offer(t, now)
	if refusal != nil {
		t.Late = true
		w, refusal = r.queue.Offer(t, now)
	}
	if refusal != nil {
		r.count(l, func(c *outcomeCounts) { c.refused++ })
		return
	}
	if w == granted {
		r.begin(l, t, now)
		return
	}
	r.waiting = append(r.waiting, waiting{w, func(now time.Time) {
		if w.Refusal() != nil {
			r.count(l, func(c *outcomeCounts) { c.missed++ })
			return
		}
		r.begin(l, t, now)
	}})
}

// report records what the server reports with a response.
func (r *replay) report(refused bool, now time.Time) {
	if r.reports {
		r.queue.RecordReport(Report{Requests: r.running, ServiceTime: r.relativeTime(now), Refused: refused}, now)
	}
}

func (r *replay) begin(l *load, t Ticket, started time.Time) {
	if r.running >= r.slots {
		r.shed++
		r.count(l, func(c *outcomeCounts) { c.refused++ })
		if r.resets {
			r.queue.RecordReset(started)
		} else {
			r.report(true, started)
			r.queue.RecordShed(started)
		}
		r.queue.Release(&t, 0, started)
		return
	}
	relative := r.relativeTime(started)
	if r.onBegin != nil {
		r.onBegin(l.route, started, relative)
	}
	took := time.Duration(float64(l.meanRunTime) * (0.5 + r.rng.ExpFloat64()/2) * relative)
	if r.rng.Float64() < r.longShare {
		took *= 7
	}
	r.running++
	left := t.Deadline.Sub(started)
	heap.Push(&r.events, event{started.Add(min(took, left)), func(now time.Time) {
		if took > left {
			// The request is canceled, but the server goes on.
			heap.Push(&r.events, event{started.Add(took), func(time.Time) { r.running-- }})
			r.queue.Abandon(&t, now.Sub(started), now)
			r.count(l, func(c *outcomeCounts) { c.missed++ })
			return
		}
		r.running--
		r.report(false, now)
		r.queue.Complete(&t, took, false, now)
		if now.After(t.Objective) {
			r.earned[l.route] += l.later
			r.value += l.later
			r.count(l, func(c *outcomeCounts) { c.late++ })
			return
		}
		r.earned[l.route] += l.onTime
		r.value += l.onTime
		r.count(l, func(c *outcomeCounts) { c.onTime++ })
	}})
}
