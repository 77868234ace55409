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
	slowStartWindow      = 3 * time.Second       // period after the first use in which the score of a target is raised
	slowStartPenalty     = 1.0                   // relative increase of the score at the first use, falling linearly to 0
	defaultRunTime       = 20 * time.Millisecond // expected run time before the first report
	failurePenalty       = 1.0                   // seconds, cost of a failed request to its caller
	crossZonePenalty     = 0.005                 // seconds, round trip between zones plus a small cost for the bytes of the headers
	crossRegionPenalty   = 0.03                  // seconds, the same between regions
	crossZoneBytePenalty = 2.5e-6                // seconds per byte, cost of traffic between zones
	avoidPenalty         = 10.0                  // seconds, for a target that did not respond recently
	suspectPenalty       = 100.0                 // seconds, for a target whose node is suspect
	downPenalty          = 300.0                 // seconds, for a target whose backend server has crashed
	ejectedPenalty       = 1000.0                // seconds, for an ejected target
	jitter               = 0.1                   // maximum relative random increase of a score, so that nodes with the same reports differ in their choice
	jitterSteps          = 64                    // number of distinct jitter values
	minMaxWait           = 2 * time.Millisecond  // about what it costs to send a request to another target
)

// PickInfo describes a request for which a target is picked.
type PickInfo struct {
	Route     string
	Bytes     float64       // of the body of the request and the expected body of the response
	Objective time.Duration // latency objective, 0 for none
	Policy    *Policy       // nil for Fastest
}

// expected returns the expected time until the target responds, in seconds, plus the costs of a
// failure and of the way to it.
func (t *Target) expected(e *estimate, info PickInfo) float64 {
	expected := e.runTime.Seconds() + e.slotWait() + e.turn.Seconds() + e.failing*failurePenalty
	switch t.Distance {
	case SameRegion:
		expected += crossZonePenalty + crossZoneBytePenalty*info.Bytes + info.Policy.CrossZoneShare*info.Objective.Seconds()
	case OtherRegion:
		expected += crossRegionPenalty + crossZoneBytePenalty*info.Bytes
	}
	return expected
}

// penalty returns the seconds that are added to the expected time: for utilization, for a target
// that is new to the node, and for one that is not fit.
func (t *Target) penalty(e *estimate, policy *Policy, now time.Time) float64 {
	utilization := e.backlog() / e.slots
	score := e.runTime.Seconds() * policy.UtilizationPenalty * utilization * utilization
	s := t.Stats
	if sinceFirstUse, ok := s.firstUse.Since(now); ok && sinceFirstUse < slowStartWindow {
		score += (score + e.runTime.Seconds() + e.slotWait() + e.turn.Seconds()) * slowStartPenalty * (1 - float64(sinceFirstUse)/float64(slowStartWindow))
	}
	if t.Suspect {
		score += suspectPenalty
	}
	if s.avoidUntil.After(now) {
		score += avoidPenalty
	}
	if s.downUntil.After(now) {
		score += downPenalty
	}
	if s.ejectUntil.After(now) {
		score += ejectedPenalty
	}
	return score
}

// unfit reports whether the target gets requests only if no other can.
func (t *Target) unfit(now time.Time) bool {
	s := t.Stats
	return t.Suspect || s.avoidUntil.After(now) || s.downUntil.After(now) || s.ejectUntil.After(now)
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
	if search.best.target == nil || search.best.unfit {
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
	expected float64 // see Target.expected
	wait     float64 // seconds, expected wait for a slot as far as it was reported
	unfit    bool    // suspect, avoided, down or ejected
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
	if e.runTime > 0 {
		k.speeds += 1 / e.runTime.Seconds()
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
	case e.runTime > 0:
	case k.reports > 0:
		e.runTime = time.Duration(k.reports / k.speeds * float64(time.Second))
	default:
		e.runTime = defaultRunTime
	}
}

// judge scores the targets added since the last call.
func (s *search) judge() {
	for i := range s.compared[:s.count] {
		t, e := s.compared[i].target, &s.compared[i].estimate
		s.known.complete(e)
		c := candidate{target: t, expected: t.expected(e, s.info), wait: e.weight * e.slotWait(), unfit: t.unfit(s.now)}
		c.score = (c.expected + t.penalty(e, s.info.Policy, s.now)) * (1 + jitter*float64(s.rng.IntN(jitterSteps))/jitterSteps)
		switch {
		case s.best.target == nil || c.score < s.best.score:
			s.best, s.next = c, s.best
		case s.next.target == nil || c.score < s.next.score:
			s.next = c
		}
	}
	s.count = 0
}

// choice returns the best target.
func (s *search) choice() Choice {
	c := Choice{Target: s.best.target}
	if s.next.target != nil && !s.next.unfit && !s.best.unfit {
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
