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
	utilizationPenalty   = 0.25                  // relative increase of the run time at full utilization, in addition to the wait for a slot
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
	localSample          = 8                     // targets of the node's own zone that are compared
	remoteSample         = 8                     // targets of other zones that are compared
)

// PickInfo describes a request for which a target is picked.
type PickInfo struct {
	Route string
	Bytes float64 // expected size of the response in bytes
}

// score returns the expected time until the target responds, in seconds, plus
// penalties. Lower is better.
func (t *Target) score(info PickInfo, now time.Time) float64 {
	e := t.estimate(info.Route, now)
	runSeconds := e.runTime.Seconds()
	utilization := e.backlog / e.slots
	score := runSeconds * (1 + utilizationPenalty*utilization*utilization)
	if excess := (e.backlog + 1 - e.slots) / e.slots; excess > 0 {
		score += runSeconds * excess
	}
	score += e.turn.Seconds()
	s := t.Stats
	if sinceFirstUse, ok := s.firstUse.Since(now); ok && sinceFirstUse < slowStartWindow {
		score *= 1 + slowStartPenalty*(1-float64(sinceFirstUse)/float64(slowStartWindow))
	}
	score += e.failing * failurePenalty
	switch t.Distance {
	case SameRegion:
		score += crossZonePenalty + crossZoneBytePenalty*info.Bytes
	case OtherRegion:
		score += crossRegionPenalty + crossZoneBytePenalty*info.Bytes
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

// Pick returns the target with the lowest score for a request, skipping those in
// tried and those that are about to stop, or nil if none is left. In a large pool it compares a random sample of the
// targets in the node's own zone and one of the others. It does not allocate.
func (p *Pool) Pick(now time.Time, rng Random, info PickInfo, tried []*Target) *Target {
	if p.Size() == 0 {
		return nil
	}
	search := search{info: info, now: now, rng: rng, tried: tried}
	search.compare(p.targets[:p.localCount], localSample)
	search.compare(p.targets[p.localCount:], remoteSample)
	if search.best == nil || search.score >= avoidPenalty {
		search.compare(p.targets, len(p.targets)) // compare all targets: ejection must never leave a version without any
	}
	return search.best
}

// search finds the target with the lowest score.
type search struct {
	info  PickInfo
	now   time.Time
	rng   Random
	tried []*Target
	best  *Target
	score float64
}

// compare scores up to sample consecutive targets, beginning at a random one.
func (s *search) compare(targets []*Target, sample int) {
	if len(targets) == 0 {
		return
	}
	start := s.rng.IntN(len(targets))
	for i := range min(sample, len(targets)) {
		t := targets[(start+i)%len(targets)]
		if t.Stats.leaving.Load() || wasTried(s.tried, t) {
			continue
		}
		score := t.score(s.info, s.now)
		score *= 1 + jitter*float64(s.rng.IntN(jitterSteps))/jitterSteps
		if s.best == nil || score < s.score {
			s.best, s.score = t, score
		}
	}
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
