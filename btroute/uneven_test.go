package btroute

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btfixture"
)

// uneven is a simulation of nodes whose callers demand different amounts at different times, and
// of targets with different speeds. Each target has the admission queue of its node, and nodes
// hear of its load only from responses and refusals. The dispatcher's rules for refused requests
// apply.
type uneven struct {
	nodes, zones, targets int
	speeds                []float64 // of the targets, repeated
	byZone                bool      // speeds alternate between zones, not within a zone
	noisy                 bool      // runs take noisyFactor times as long in noisyShare of the spells of noisySpell
	wave                  wave
	load                  float64 // of the capacity of all targets
	runTime               time.Duration
	objective, deadline   time.Duration
	oneWay                time.Duration      // latency between zones
	reports               bool               // targets report their present slowness, otherwise the mean of their last runs
	adjust                func(f *unevenRun) // schedules faults, nil for none
	pick                  unevenPicker
	policy                *Policy
	length                time.Duration
}

// wave is a periodic variation of the demand of each zone.
type wave struct {
	amplitude float64
	period    time.Duration
	phase     float64 // of a period, between one zone and the next
}

// unevenPicker chooses the target of an attempt at a node.
type unevenPicker func(f *unevenRun, node int, tried []*Target) Choice

const (
	unevenSlots      = 6
	unevenInZone     = 300 * time.Microsecond // one-way latency in a zone
	unevenBytes      = 2 << 10                // of a request and its response
	unevenHeadBytes  = 300                    // of a request and its refusal
	unevenRedirects  = 3                      // as btdispatch.maxRedirects
	unevenMoves      = 4                      // as btdispatch.maxMoves
	unevenFailure    = 2 * time.Millisecond   // until the response of a run that fails
	unevenMoveWindow = 8                      // as btdispatch.moveWindowDivisor
	noisyFactor      = 2.5
	noisyShare       = 0.15
	noisySpell       = 600 * time.Millisecond
	unevenWarmUp     = slowStartWindow
)

// unevenTarget is a backend server with the queue beside it.
type unevenTarget struct {
	queue    *btadmit.Queue
	speed    float64
	running  int
	requests int
	pending  []unevenWait // in order of arrival
	started  []time.Time  // begins of all runs
	slow     float64      // factor of the run time, 0 for none
	failing  float64      // share of the runs that fail at once
}

// unevenWait is a request that waits in a queue.
type unevenWait struct {
	waiter *btadmit.Waiter
	next   func()
}

// newQueue gives the target an empty queue.
func (t *unevenTarget) newQueue(f *unevenRun) {
	queue := btadmit.NewQueue(unevenSlots)
	t.queue = queue
	alarms := 0
	queue.Alarm = func(wait time.Duration) {
		alarms++
		alarm := alarms
		f.after(wait, func(now time.Time) {
			if alarm == alarms {
				queue.Wake(now)
				t.wake()
			}
		})
	}
}

// unevenRun is the state of a simulation.
type unevenRun struct {
	uneven
	timers  timers
	now     time.Time
	rng     *rand.Rand
	heard   []map[*Target]heard // by node, for rivals that keep reports of their own
	silent  bool                // no report arrives
	pools   []*Pool             // by node
	zoneOf  []string
	targets map[string]*unevenTarget // by node
	order   []*unevenTarget

	requests, full, inTime, served, moves, crossed, unserved, failures int
	bytes                                                              int64
	took                                                               []time.Duration // at the target, including waits
	total                                                              time.Duration
}

func (u uneven) run(seed uint64) *unevenRun {
	f := &unevenRun{uneven: u, now: now, rng: rand.New(rand.NewPCG(seed, 7)), targets: make(map[string]*unevenTarget)}
	members := btfixture.Members(u.nodes, u.zones, 1, "v1")
	capacity := 0.0
	for i := range members {
		f.zoneOf = append(f.zoneOf, members[i].Zone)
		if i >= u.targets {
			members[i].Targets = nil
			continue
		}
		members[i].Targets[0].Slots = unevenSlots
		speed := u.speeds[(i/u.zones)%len(u.speeds)]
		if u.byZone {
			speed = u.speeds[i%len(u.speeds)]
		}
		t := &unevenTarget{speed: speed}
		t.newQueue(f)
		f.targets[members[i].Name] = t
		f.order = append(f.order, t)
		capacity += speed * unevenSlots / u.runTime.Seconds()
	}
	if u.noisy {
		capacity /= 1 + noisyShare*(noisyFactor-1)
	}
	for i := range members {
		f.heard = append(f.heard, make(map[*Target]heard))
		own := Locality{Node: members[i].Name, Zone: members[i].Zone, Region: members[i].Region}
		f.pools = append(f.pools, Build(state("v1", "service-0"), members, own, nil).Destination("c", "service-0").Current.Pool)
	}
	f.arrivals(u.load * capacity)
	for len(f.timers) > 0 {
		t := heap.Pop(&f.timers).(timer)
		f.now = t.at
		t.action(t.at)
	}
	return f
}

// arrivals schedules the requests: each zone has the same share of the nodes' demand on average.
func (f *unevenRun) arrivals(perSecond float64) {
	peak := 1 + f.wave.amplitude
	for at := time.Duration(0); at < f.length; at += time.Duration(f.rng.ExpFloat64() / (perSecond * peak) * float64(time.Second)) {
		node := f.rng.IntN(f.nodes)
		demand := 1.0
		if f.wave.period > 0 {
			turns := float64(at)/float64(f.wave.period) + f.wave.phase*float64(node%f.zones)
			demand += f.wave.amplitude * math.Sin(2*math.Pi*turns)
		}
		if f.rng.Float64()*peak < demand {
			f.after(at, func(now time.Time) {
				r := &unevenRequest{f: f, node: node, began: now}
				r.counts = now.Sub(nowAtStart) >= unevenWarmUp
				if r.counts {
					f.requests++
				}
				r.send()
			})
		}
	}
	if f.adjust != nil {
		f.adjust(f)
	}
}

var nowAtStart = now

func (f *unevenRun) after(d time.Duration, action func(time.Time)) {
	heap.Push(&f.timers, timer{f.now.Add(d), action})
}

// unevenRequest is a request on its way.
type unevenRequest struct {
	f         *unevenRun
	node      int
	began     time.Time
	counts    bool
	tried     []*Target
	busy      []*Target
	redirects int
	moves     int
	late      bool
	sent      int
}

func (r *unevenRequest) mayRedirect() bool {
	window := max(20*time.Millisecond, r.f.objective/unevenMoveWindow)
	return !r.late && r.redirects < unevenRedirects && r.f.now.Sub(r.began) <= window
}

func (r *unevenRequest) forgetBusy() {
	r.tried = slices.DeleteFunc(slices.Clone(r.tried), func(t *Target) bool { return slices.Contains(r.busy, t) })
	r.redirects, r.busy = unevenRedirects, nil
}

// choose follows requestState.target.
func (r *unevenRequest) choose() Choice {
	redirect := r.mayRedirect()
	if !redirect {
		r.forgetBusy()
	}
	c := r.f.pick(r.f, r.node, r.tried)
	if redirect && r.redirects > 0 && c.MaxWait == 0 {
		redirect = false
		r.forgetBusy()
		c = r.f.pick(r.f, r.node, r.tried)
	}
	if !redirect {
		c.MaxWait = 0
	}
	return c
}

// send follows Dispatcher.attempt.
func (r *unevenRequest) send() {
	f := r.f
	choice := r.choose()
	target := choice.Target
	if target == nil {
		if !r.startLate() {
			r.fail()
			return
		}
		r.send()
		return
	}
	r.tried = append(slices.Clip(r.tried), target)
	r.sent++
	if r.sent > 1 && r.counts {
		f.moves++
	}
	target.Stats.Begin(f.now)
	oneWay := unevenInZone
	switch target.Distance {
	case SameNode:
		oneWay = 0
	case SameRegion:
		oneWay = f.oneWay
	}
	f.after(oneWay, func(time.Time) { r.arrive(target, choice.MaxWait, oneWay) })
}

// arrive follows Admitter.admit.
func (r *unevenRequest) arrive(target *Target, maxWait, oneWay time.Duration) {
	f := r.f
	t := f.targets[target.Ref.Node]
	if r.sent == 1 && r.counts && t.running >= unevenSlots && slices.ContainsFunc(f.order, func(o *unevenTarget) bool { return o.running < unevenSlots }) {
		f.full++
	}
	ticket := btadmit.Ticket{Customer: "c", Route: "read", Deadline: r.began.Add(f.deadline), Objective: r.began.Add(f.objective), Late: r.late}
	arrived := f.now
	if maxWait > 0 {
		if refusal := t.queue.RefuseBusy(ticket, maxWait, f.now); refusal != nil {
			r.refused(target, refusal, oneWay)
			return
		}
	}
	w, refusal := t.queue.Offer(ticket, f.now)
	if refusal != nil {
		r.refused(target, refusal, oneWay)
		return
	}
	granted := func() {
		factor := 0.5 + f.rng.ExpFloat64()/2
		if f.noisy && isNoisy(target.nodeHash, f.now) {
			factor *= noisyFactor
		}
		if t.slow > 0 {
			factor *= t.slow
		}
		took := time.Duration(float64(f.runTime) / t.speed * factor)
		failed := f.rng.Float64() < t.failing
		if failed {
			took = unevenFailure
		}
		t.running++
		if t.started = append(t.started, f.now); r.counts {
			t.requests++
		}
		f.after(took, func(time.Time) {
			t.running--
			t.queue.RecordRun("read", took, failed)
			t.queue.Release(&btadmit.Ticket{Customer: "c", Route: "read"}, took, f.now)
			load := t.queue.Load("read", f.now)
			if f.noisy && f.reports {
				load.Work = time.Duration(float64(f.runTime) / t.speed)
				if isNoisy(target.nodeHash, f.now) {
					load.Work = time.Duration(float64(load.Work) * noisyFactor)
				}
			}
			t.wake()
			waited := f.now.Sub(arrived)
			f.after(oneWay, func(time.Time) { r.end(target, load, waited, failed) })
		})
	}
	select {
	case <-w.Ready():
		granted()
	default:
		t.pending = append(t.pending, unevenWait{w, func() {
			if w.Refusal() != nil {
				r.refused(target, w.Refusal(), oneWay)
				return
			}
			granted()
		}})
	}
	t.wake()
}

// wake continues the requests whose wait has ended.
func (t *unevenTarget) wake() {
	for i := 0; i < len(t.pending); {
		select {
		case <-t.pending[i].waiter.Ready():
			next := t.pending[i].next
			t.pending = slices.Delete(t.pending, i, i+1)
			next()
		default:
			i++
		}
	}
}

// isNoisy reports whether a target is in a slow spell.
func isNoisy(hash uint64, now time.Time) bool {
	spell := uint64(now.Sub(nowAtStart) / noisySpell)
	return float64(mix(hash^mix(spell))%1000) < 1000*noisyShare
}

func (r *unevenRequest) end(target *Target, load baobabtide.Load, waited time.Duration, failed bool) {
	f := r.f
	target.Stats.End(f.now, waited, false)
	r.hear(target, load)
	if !r.counts {
		return
	}
	f.served++
	f.took = append(f.took, waited)
	f.total += f.now.Sub(r.began)
	if f.now.Sub(r.began) <= f.objective && !failed {
		f.inTime++
	}
	if failed {
		f.failures++
	}
	if target.Distance > SameZone {
		f.crossed++
		f.bytes += unevenBytes
	}
}

// hear records a report.
func (r *unevenRequest) hear(target *Target, load baobabtide.Load) {
	if r.f.silent {
		return
	}
	target.Stats.RecordLoad("read", load, r.f.now)
	r.f.heard[r.node][target] = heard{load, r.f.now}
}

// refused follows Dispatcher.nextAttempt.
func (r *unevenRequest) refused(target *Target, refusal *baobabtide.RequestError, oneWay time.Duration) {
	f := r.f
	f.after(oneWay, func(time.Time) {
		target.Stats.End(f.now, 0, false)
		r.hear(target, refusal.Load)
		if target.Distance > SameZone && r.counts {
			f.bytes += unevenHeadBytes
		}
		if !f.now.Before(r.began.Add(f.deadline)) {
			r.fail()
			return
		}
		if refusal.Reason == baobabtide.ReasonBusy && r.redirects < unevenRedirects {
			r.busy = append(r.busy, target)
			r.redirects++
			r.send()
			return
		}
		if refusal.Reason == baobabtide.ReasonDeadline {
			r.fail()
			return
		}
		r.moves++
		if r.late {
			r.fail()
			return
		}
		if r.moves >= f.overloadMoves() || f.now.Sub(r.began) > max(20*time.Millisecond, f.objective/unevenMoveWindow) {
			if !r.startLate() {
				r.fail()
				return
			}
		}
		r.send()
	})
}

// overloadMoves returns the number of refusals after which a request begins its late round.
func (f *unevenRun) overloadMoves() int {
	if f.policy.MaxOverloadMoves > 0 {
		return f.policy.MaxOverloadMoves
	}
	return unevenMoves
}

func (r *unevenRequest) startLate() bool {
	if r.late || r.moves == 0 {
		return false
	}
	r.late, r.tried = true, nil
	return true
}

func (r *unevenRequest) fail() {
	if r.counts {
		r.f.unserved++
	}
}

// unevenResult holds the figures of a simulation.
type unevenResult struct {
	full, imbalance, moves, inTime, served, crossed float64
	mean, p95                                       time.Duration
	bytes                                           float64 // between zones, per request
}

func (f *unevenRun) result() unevenResult {
	most, sum, speeds := 0.0, 0.0, 0.0
	for _, t := range f.order {
		most, sum = max(most, float64(t.requests)/t.speed), sum+float64(t.requests)
		speeds += t.speed
	}
	n := float64(max(1, f.requests))
	r := unevenResult{full: float64(f.full) / n, moves: float64(f.moves) / n, inTime: float64(f.inTime) / n, served: float64(f.served) / n, crossed: float64(f.crossed) / n, bytes: float64(f.bytes) / n}
	r.imbalance = most / (max(1, sum) / speeds)
	if len(f.took) > 0 {
		slices.Sort(f.took)
		for _, d := range f.took {
			r.mean += d
		}
		r.mean /= time.Duration(len(f.took))
		r.p95 = f.took[len(f.took)*95/100]
	}
	return r
}

// unevenCase is a fleet of the simulation.
type unevenCase struct {
	name string
	uneven
}

// unevenFleets returns the services of the two deployments of docs/HARD-LOAD.md, and two other sizes.
func unevenFleets() []unevenCase {
	ntaa := wave{0.55, 15 * time.Second, 0.08}
	swancoast := wave{0.15, 11 * time.Second, 0.25}
	service := func(nodes, zones, targets int, speeds []float64, noisy bool, w wave, runTime, objective, deadline time.Duration) uneven {
		oneWay := 900 * time.Microsecond
		if zones == 4 {
			oneWay = 1400 * time.Microsecond
		}
		return uneven{nodes: nodes, zones: zones, targets: targets, speeds: speeds, noisy: noisy, wave: w, runTime: runTime, objective: objective, deadline: deadline, oneWay: oneWay, length: 18 * time.Second}
	}
	const ms = time.Millisecond
	fast, even, split := []float64{0.5, 1, 1, 1.5}, []float64{0.55, 1.2, 1.2, 1.2}, []float64{0.7, 0.7, 1.6}
	return []unevenCase{
		{"status-portal", service(61, 3, 20, fast, true, ntaa, 140*ms, 500*ms, 2000*ms)},
		{"offers-ledger", service(61, 3, 16, even, true, ntaa, 180*ms, 600*ms, 2500*ms)},
		{"transcript-store", service(61, 3, 25, split, false, ntaa, 340*ms, 1200*ms, 5000*ms)},
		{"counter", service(83, 4, 47, fast, false, swancoast, 110*ms, 300*ms, 800*ms)},
		{"supply", service(83, 4, 36, split, false, swancoast, 77*ms, 250*ms, 600*ms)},
		{"small", service(13, 3, 6, fast, true, ntaa, 140*ms, 500*ms, 2000*ms)},
		{"large", service(295, 5, 141, split, true, swancoast, 140*ms, 500*ms, 2000*ms)},
	}
}

var unevenLoads = []float64{0.6, 0.9, 1.2, 2}

func (r unevenResult) String() string {
	return fmt.Sprintf("in time %.3f served %.3f full %.3f imbalance %.2f moves %.2f mean %.0f ms p95 %.0f ms crossed %.3f bytes %.0f",
		r.inTime, r.served, r.full, r.imbalance, r.moves, r.mean.Seconds()*1e3, r.p95.Seconds()*1e3, r.crossed, r.bytes)
}

// pickUneven is the choice that nodes make.
func pickUneven(f *unevenRun, node int, tried []*Target) Choice {
	return f.pools[node].Choose(f.now, f.rng, f.pickInfo(), tried)
}

func (f *unevenRun) pickInfo() PickInfo {
	return PickInfo{Route: "read", Bytes: unevenBytes, Objective: f.objective, Policy: f.policy}
}

// pickKnowing knows the present state of all targets. No node can choose so; it is the bound of the others.
func pickKnowing(f *unevenRun, node int, tried []*Target) Choice {
	var best *Target
	least := math.Inf(1)
	pool := f.pools[node]
	for i := range pool.targets {
		t := pool.targets[i]
		if wasTried(tried, t) {
			continue
		}
		u := f.targets[t.Ref.Node]
		run := f.runTime.Seconds() / u.speed
		if f.noisy && isNoisy(t.nodeHash, f.now) {
			run *= noisyFactor
		}
		score := run * (1 + max(0, float64(u.running+len(u.pending)+1-unevenSlots)/unevenSlots))
		if t.Distance > SameZone {
			score += 0.2 * f.objective.Seconds()
		}
		score *= 1 + 0.01*f.rng.Float64()
		if score < least {
			best, least = t, score
		}
	}
	return Choice{Target: best}
}

// heard is a report at the node that got it.
type heard struct {
	load baobabtide.Load
	at   time.Time
}

// pickTwo compares two random targets.
func pickTwo(f *unevenRun, node int, tried []*Target) Choice {
	pool := f.pools[node]
	s := search{info: f.pickInfo(), now: f.now, rng: f.rng, tried: tried}
	for range 2 {
		sample := ring{targets: pool.targets, start: f.rng.IntN(len(pool.targets))}
		s.compare(&sample, 1)
	}
	s.judge()
	if s.best.target == nil {
		return pool.Choose(f.now, f.rng, f.pickInfo(), tried)
	}
	return s.choice()
}

// pickWeighted draws one of the compared targets, with the spare capacity as its weight.
func pickWeighted(f *unevenRun, node int, tried []*Target) Choice {
	const (
		leastSpare = 0.2  // slots of a full target
		crossZone  = 0.05 // factor of the weight of targets of other zones
	)
	pool := f.pools[node]
	s := search{info: f.pickInfo(), now: f.now, rng: f.rng, tried: tried}
	locals := min(localArc, len(pool.local.targets))
	s.compare(&pool.local, locals)
	s.compare(&pool.remote, remoteArc+localArc-locals)
	var best *Target
	sum := 0.0
	for i := range s.compared[:s.count] {
		c := &s.compared[i]
		s.known.complete(&c.estimate)
		weight := max(leastSpare, c.estimate.slots-c.estimate.backlog()) / c.estimate.run
		if c.target.Distance > SameZone {
			weight *= crossZone
		}
		if sum += weight; f.rng.Float64()*sum < weight {
			best = c.target
		}
	}
	return Choice{Target: best, MaxWait: minMaxWait}
}

// pickOnce uses each report once, at most a second after it, and else a random target of the zone.
func pickOnce(f *unevenRun, node int, tried []*Target) Choice {
	return pickHeard(f, node, tried, func(heard) bool { return true }, true)
}

// pickCredit uses free slots that targets reported within half a second, each once.
func pickCredit(f *unevenRun, node int, tried []*Target) Choice {
	const expiry = 500 * time.Millisecond
	return pickHeard(f, node, tried, func(h heard) bool {
		return h.load.InFlight < h.load.Slots && h.load.Queued == 0 && f.now.Sub(h.at) <= expiry
	}, false)
}

func pickHeard(f *unevenRun, node int, tried []*Target, use func(heard) bool, backlog bool) Choice {
	var best *Target
	least := math.Inf(1)
	pool := f.pools[node]
	for _, t := range pool.targets {
		h, ok := f.heard[node][t]
		if !ok || wasTried(tried, t) || f.now.Sub(h.at) > time.Second || !use(h) {
			continue
		}
		score := h.load.Work.Seconds()
		if backlog {
			score *= 1 + float64(h.load.InFlight+h.load.Queued)/float64(h.load.Slots)
		}
		if t.Distance > SameZone {
			score += 0.25 * f.objective.Seconds()
		}
		if score < least {
			best, least = t, score
		}
	}
	if best != nil {
		delete(f.heard[node], best)
		return Choice{Target: best, MaxWait: minMaxWait}
	}
	start := f.rng.IntN(len(pool.local.targets))
	for i := range pool.local.targets {
		if t := pool.local.targets[(start+i)%len(pool.local.targets)]; !wasTried(tried, t) {
			return Choice{Target: t, MaxWait: minMaxWait}
		}
	}
	return pool.Choose(f.now, f.rng, f.pickInfo(), tried)
}

// Rivals of the choice that nodes make, for docs/design/placement.md:
// go test -run '^$' -bench UnevenRivals -benchtime 1x ./btroute
func BenchmarkUnevenRivals(b *testing.B) {
	rivals := []struct {
		name   string
		pick   unevenPicker
		policy *Policy
	}{
		{"fastest", pickUneven, Fastest},
		{"two at random", pickTwo, Balanced},
		{"weighted random", pickWeighted, Balanced},
		{"reports used once", pickOnce, Balanced},
		{"credits", pickCredit, Balanced},
		{"balanced", pickUneven, Balanced},
		{"present state known", pickKnowing, Balanced},
	}
	for _, rival := range rivals {
		for _, load := range unevenLoads {
			b.Run(fmt.Sprintf("%s/%.1f", rival.name, load), func(b *testing.B) {
				var sum unevenResult
				lines := ""
				for b.Loop() {
					fleets := unevenFleets()
					for _, c := range fleets {
						c.load, c.pick, c.policy, c.reports = load, rival.pick, rival.policy, true
						r := c.run(1).result()
						lines += fmt.Sprintf("%-16s %v\n", c.name, r)
						sum.add(r, 1/float64(len(fleets)))
					}
				}
				b.Logf("mean %v\n%s", sum, lines)
			})
		}
	}
}

// add adds a share of the figures of another result.
func (r *unevenResult) add(other unevenResult, share float64) {
	for _, field := range []struct {
		to   *float64
		from float64
	}{
		{&r.full, other.full},
		{&r.imbalance, other.imbalance},
		{&r.moves, other.moves},
		{&r.inTime, other.inTime},
		{&r.served, other.served},
		{&r.crossed, other.crossed},
		{&r.bytes, other.bytes},
	} {
		*field.to += share * field.from
	}
	r.mean += time.Duration(share * float64(other.mean))
	r.p95 += time.Duration(share * float64(other.p95))
}
