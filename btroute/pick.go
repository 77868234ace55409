package btroute

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

// Random is a source of random numbers, such as *rand.Rand.
type Random interface {
	IntN(n int) int
}

// Stats is what a node has seen of a target. All fields are safe for
// concurrent use.
type Stats struct {
	inFlight   atomic.Int64 // requests of this node
	reported   atomic.Int64 // load per mille of the slots, as last reported
	latency    atomic.Int64 // smoothed, in nanoseconds
	failures   atomic.Int64 // in a row
	ejectUntil atomic.Int64 // Unix time in nanoseconds
	firstUse   atomic.Int64 // Unix time in nanoseconds, 0 before the first request
}

const (
	ejectAfter      = 5               // failures in a row
	ejectBase       = 2 * time.Second // first ejection
	maxEjectShift   = 4               // ejections grow up to ejectBase << maxEjectShift
	slowStart       = 5 * time.Second // time in which a new target gets a reduced share
	slowStartFloor  = 0.2
	latencyWeight   = 8 // smoothing: one part in 8 from the newest answer
	zonePenalty     = 0.5
	regionPenalty   = 2.0
	suspectPenalty  = 100.0
	ejectedPenalty  = 1000.0
	fullLoad        = 1.0
	pickCandidates  = 2
	fallbackLatency = int64(time.Millisecond)
)

// Begin notes that a request goes to the target.
func (s *Stats) Begin(now time.Time) {
	s.inFlight.Add(1)
	if s.firstUse.Load() == 0 {
		s.firstUse.CompareAndSwap(0, now.UnixNano())
	}
}

// End notes how a request ended. A failure is one that the target is to blame
// for.
func (s *Stats) End(now time.Time, took time.Duration, failed bool) {
	s.inFlight.Add(-1)
	if failed {
		s.fail(now)
		return
	}
	s.failures.Store(0)
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(int64(took))
		return
	}
	s.latency.Store(old + (int64(took)-old)/latencyWeight)
}

func (s *Stats) fail(now time.Time) {
	n := s.failures.Add(1)
	if n < ejectAfter {
		return
	}
	shift := min((n-ejectAfter)/ejectAfter, maxEjectShift)
	s.ejectUntil.Store(now.Add(ejectBase << shift).UnixNano())
}

// Report takes in the load that came with a response.
func (s *Stats) Report(l baobabtide.Load) {
	if l.Slots > 0 {
		s.reported.Store(int64(l.InFlight+l.Queued) * 1000 / int64(l.Slots))
	}
}

// score orders targets: the lower, the better.
func (t *Target) score(now int64) float64 {
	s := t.Stats
	load := float64(s.inFlight.Load()+1)/float64(t.Slots) + float64(s.reported.Load())/1000
	latency := s.latency.Load()
	if latency == 0 {
		latency = fallbackLatency
	}
	score := load * (1 + float64(latency)/float64(time.Second))
	if first := s.firstUse.Load(); first != 0 {
		age := float64(now-first) / float64(slowStart)
		if age < 1 {
			score /= max(age, slowStartFloor)
		}
	}
	switch t.Distance {
	case SameRegion:
		score += zonePenalty
	case OtherRegion:
		score += regionPenalty
	}
	if t.Suspect {
		score += suspectPenalty
	}
	if s.ejectUntil.Load() > now {
		score += ejectedPenalty
	}
	return score
}

// Pick returns a target of the version that is not in tried, or nil. It
// compares a few random targets of the node's zone and, where the best of them
// is full or ill, a few of the others. It does not allocate.
func (p *Pool) Pick(now time.Time, rng Random, tried []*Target) *Target {
	if p.Size() == 0 {
		return nil
	}
	at := now.UnixNano()
	best, score := pickAmong(p.targets[:p.near], at, rng, tried)
	if best != nil && score < fullLoad {
		return best
	}
	other, otherScore := pickAmong(p.targets[p.near:], at, rng, tried)
	if best == nil || (other != nil && otherScore < score) {
		best, score = other, otherScore
	}
	if best != nil && score < suspectPenalty {
		return best
	}
	return p.scan(at, tried)
}

func pickAmong(targets []*Target, at int64, rng Random, tried []*Target) (*Target, float64) {
	if len(targets) == 0 {
		return nil, 0
	}
	var best *Target
	var bestScore float64
	start := rng.IntN(len(targets))
	step := 1
	if len(targets) > 2 {
		step += rng.IntN(len(targets) - 1)
	}
	for i := range min(pickCandidates, len(targets)) {
		t := targets[(start+i*step)%len(targets)]
		if wasTried(tried, t) {
			continue
		}
		if score := t.score(at); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best, bestScore
}

// scan compares all targets. It serves where the random ones are unfit, so
// that ejection never empties a version.
func (p *Pool) scan(at int64, tried []*Target) *Target {
	var best *Target
	var bestScore float64
	for _, t := range p.targets {
		if wasTried(tried, t) {
			continue
		}
		if score := t.score(at); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

func wasTried(tried []*Target, t *Target) bool {
	for _, other := range tried {
		if other == t {
			return true
		}
	}
	return false
}

// KeyHash returns the hash that places a key.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Home returns the target that a key belongs to by rendezvous hashing over the
// nodes, so that repeats of a key reach the node that knows it.
func (p *Pool) Home(keyHash uint64) *Target {
	var best *Target
	var bestWeight uint64
	for _, t := range p.Targets() {
		if w := mix(keyHash ^ t.hash); best == nil || w > bestWeight {
			best, bestWeight = t, w
		}
	}
	return best
}

// mix is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
