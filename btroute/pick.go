package btroute

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Random is a source of random numbers, such as *rand.Rand.
type Random interface {
	IntN(n int) int
}

const (
	defaultRunTime = 20 * time.Millisecond // expected run time before the first report
	jitter         = 0.1                   // maximum relative random increase of a score, so that nodes with the same reports differ in their choice
	jitterSteps    = 64                    // number of distinct jitter values
	minMaxWait     = 2 * time.Millisecond  // about what it costs to send a request to another target
)

// PickInfo describes a request for which a target is picked.
type PickInfo struct {
	Route     string
	Bytes     float64       // of the body of the request and the expected body of the response
	Objective time.Duration // latency objective, 0 for none
	Policy    *Policy       // nil for Fastest
}

// Choice is the target of an attempt.
type Choice struct {
	Target *Target // nil if none is left
	// MaxWait is the wait for a slot beyond which the next best target is expected to respond
	// earlier, 0 if there is no such target.
	MaxWait time.Duration
}

// Choose returns the target with the lowest score for a request, skipping those in
// tried and those that are about to stop. In a large pool it compares the targets near the
// node's position, and all of them if none of those is fit. It does not allocate.
func (p *Pool) Choose(now time.Time, rng Random, info PickInfo, tried []*Target) Choice {
	if p.Size() == 0 {
		return Choice{}
	}
	if info.Policy == nil {
		info.Policy = Fastest
	}
	search := search{info: info, now: now, rng: rng, tried: tried}
	locals := min(localArc, len(p.local.targets))
	search.compare(&p.local, locals)
	search.compare(&p.remote, remoteArc+localArc-locals)
	search.judge()
	if search.best.target == nil || !search.best.fit {
		all := ring{targets: p.targets, start: rng.IntN(len(p.targets))}
		search.compare(&all, len(p.targets)) // ejection must never leave a version without any
		search.judge()
	}
	return search.choice()
}

// search finds the target with the lowest score.
type search struct {
	info  PickInfo
	now   time.Time
	rng   Random
	tried []*Target

	compared [localArc + remoteArc]comparison // without a score yet
	count    int                              // elements of compared in use
	known    known
	slack    float64 // seconds that the best fit target of the own zone leaves before the objective, 0 for none
	best     candidate
	next     candidate // second best
}

// known sums up the reports of the compared targets.
type known struct {
	weights     float64
	utilization float64 // by other nodes' requests, each times its weight
	speeds      float64 // runs per second
	reports     float64 // with a run time
}

// comparison is a target with its estimate.
type comparison struct {
	target   *Target
	estimate estimate
}

// candidate is a target with its score.
type candidate struct {
	target   *Target
	score    float64
	expected float64 // see score.expected
	wait     float64 // seconds, expected wait for a slot as far as it was reported
	fit      bool
}

// compare adds up to size targets of a ring.
func (s *search) compare(r *ring, size int) {
	for i := range min(size, len(r.targets)) {
		t := r.at(i)
		if t.Stats.leaving.Load() || wasTried(s.tried, t) {
			continue
		}
		if s.count == len(s.compared) {
			s.judge()
		}
		c := &s.compared[s.count]
		s.count++
		c.target, c.estimate = t, t.estimate(s.info.Route, s.info.Policy, s.now)
		s.known.add(&c.estimate)
	}
}

func (k *known) add(e *estimate) {
	k.weights += e.weight
	k.utilization += e.weight * e.others / e.slots
	if e.run > 0 {
		k.speeds += 1 / e.run
		k.reports++
	}
}

// complete sets what is not known of a target, because its report is old or missing, to the mean
// of the others: taking it for idle and fast would send the requests of all nodes to the targets
// that they know least of.
func (k *known) complete(e *estimate) {
	if k.weights > 0 {
		e.others = e.weight*e.others + (1-e.weight)*e.slots*k.utilization/k.weights
	} else {
		e.others = 0
	}
	switch {
	case e.run > 0 && e.outdated > 0:
		e.run += e.outdated * (k.reports/k.speeds - e.run)
	case e.run > 0:
	case k.reports > 0:
		e.run = time.Duration(k.reports / k.speeds * float64(time.Second)).Seconds()
	default:
		e.run = defaultRunTime.Seconds()
	}
}

// judge scores the targets added since the last call.
func (s *search) judge() {
	for i := range s.compared[:s.count] {
		t, e := s.compared[i].target, &s.compared[i].estimate
		sc := s.score(t, e)
		c := candidate{target: t, expected: sc.expected(), wait: e.weight * sc.response.slot, fit: sc.fitness.fit()}
		c.score = sc.total() * (1 + jitter*float64(s.rng.IntN(jitterSteps))/jitterSteps)
		if s.info.Policy.CrossZoneSlack && c.fit && t.Distance <= SameZone {
			s.slack = max(s.slack, s.info.Objective.Seconds()-sc.response.latest())
		}
		switch {
		case s.best.target == nil || c.score < s.best.score:
			s.best, s.next = c, s.best
		case s.next.target == nil || c.score < s.next.score:
			s.next = c
		}
	}
	s.count = 0
}

// score returns the score of a target with an estimate, which it completes.
func (s *search) score(t *Target, e *estimate) score {
	s.known.complete(e)
	sc := score{fitness: t.fitness(s.now), response: newResponse(e, s.info.Policy, t.Stats, s.now)}
	sc.cost = wayCost(t.Distance, &s.info, &sc.response, s.slack)
	return sc
}

// choice returns the best target.
func (s *search) choice() Choice {
	c := Choice{Target: s.best.target}
	if s.next.target != nil && s.next.fit && s.best.fit {
		gain := max(0, s.next.expected-s.best.expected)
		c.MaxWait = minMaxWait + time.Duration((gain+s.best.wait)*float64(time.Second))
	}
	return c
}

func wasTried(tried []*Target, t *Target) bool {
	for _, other := range tried {
		if other == t {
			return true
		}
	}
	return false
}

// KeyHash returns the hash of a key for Home and Partner.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Home returns the target that owns a key by rendezvous hashing over the nodes, so
// that repeated requests with a key reach the node that stores its record. It
// returns nil for an empty pool.
func (p *Pool) Home(keyHash uint64) *Target {
	var best *Target
	var bestWeight uint64
	for _, t := range p.Targets() {
		if weight := mix(keyHash ^ t.nodeHash); best == nil || weight > bestWeight {
			best, bestWeight = t, weight
		}
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
