package btroute

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btclock"
)

// Stats holds a node's observations of a target. The zero value is empty. All
// methods are safe for concurrent use.
type Stats struct {
	inFlight            atomic.Int64 // requests of this node
	consecutiveFailures atomic.Int64 // number of consecutive failed requests
	ejectUntil          btclock.Instant
	unanswered          atomic.Int64    // number of consecutive requests lost or without a connection to the backend server
	avoidUntil          btclock.Instant // set when such a request ends
	firstUse            btclock.Instant

	mu          sync.Mutex
	load        baobabtide.Load          // last reported load
	loadAt      time.Time                // time of that report
	ownAtReport int64                    // inFlight at the time of the report, included in the reported load
	runTimes    map[string]time.Duration // last reported expected run time by route
	lastRunTime time.Duration            // last reported expected run time of any route
}

const (
	ejectThreshold   = 5                      // consecutive failures
	ejectBase        = 2 * time.Second        // duration of the first ejection
	maxEjectShift    = 4                      // ejections double per ejectThreshold further failures, up to ejectBase << maxEjectShift
	avoidBase        = 200 * time.Millisecond // time for which a target is avoided after the first unanswered request
	maxAvoidShift    = 3                      // the longest avoidance is avoidBase << maxAvoidShift
	reportLifetime   = time.Second            // the weight of a load report falls linearly to 0 in this time
	maxRunTimeRoutes = 1 << 10                // routes with a stored expected run time
)

// Begin records that a request is sent to the target.
func (s *Stats) Begin(now time.Time) {
	s.inFlight.Add(1)
	s.firstUse.SetFirst(now)
}

// End records the end of a request, which counts as failed only if the target caused
// the failure. From ejectThreshold consecutive failures on, the target is ejected.
func (s *Stats) End(now time.Time, _ time.Duration, failed bool) {
	s.inFlight.Add(-1)
	if failed {
		s.recordFailure(now)
		return
	}
	s.consecutiveFailures.Store(0)
}

func (s *Stats) recordFailure(now time.Time) {
	n := s.consecutiveFailures.Add(1)
	if n < ejectThreshold {
		return
	}
	shift := min((n-ejectThreshold)/ejectThreshold, maxEjectShift)
	s.ejectUntil.Set(now.Add(ejectBase << shift))
}

// RecordUnresponsive records that the target's node did not respond to a request or
// could not connect to the backend server. The target is avoided for a time that
// doubles with each consecutive such request, up to avoidBase << maxAvoidShift.
func (s *Stats) RecordUnresponsive(now time.Time) {
	n := s.unanswered.Add(1)
	s.avoidUntil.Set(now.Add(avoidBase << min(n-1, maxAvoidShift)))
}

// RecordLoad records the load that the target reported with a response or a refusal on
// a route, and ends the avoidance of the target. A load without slots is unknown
// and not stored.
func (s *Stats) RecordLoad(route string, reported baobabtide.Load, now time.Time) {
	s.unanswered.Store(0)
	s.avoidUntil.Clear()
	if reported.Slots <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.ownAtReport = reported, now, s.inFlight.Load()
	if reported.Work <= 0 {
		return
	}
	if s.runTimes == nil {
		s.runTimes = make(map[string]time.Duration)
	}
	if _, ok := s.runTimes[route]; ok || len(s.runTimes) < maxRunTimeRoutes {
		s.runTimes[route] = reported.Work
	}
	s.lastRunTime = reported.Work
}

// estimate is the estimated state of a target at one time.
type estimate struct {
	backlog float64 // running and waiting requests
	slots   float64
	runTime time.Duration // expected run time
	failing float64       // share of runs that fail, 0 to 1
}

func (t *Target) estimate(route string, now time.Time) estimate {
	s := t.Stats
	own := float64(s.inFlight.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := estimate{backlog: own, slots: float64(t.Slots), runTime: defaultRunTime}
	if s.lastRunTime > 0 {
		e.runTime = s.lastRunTime
	}
	if reported, ok := s.runTimes[route]; ok {
		e.runTime = reported
	}
	if s.load.Slots == 0 {
		return e
	}
	weight := 1 - float64(now.Sub(s.loadAt))/float64(reportLifetime)
	others := float64(int64(s.load.InFlight+s.load.Queued) - s.ownAtReport)
	e.backlog += max(0, others) * max(0, weight)
	e.slots = float64(s.load.Slots)
	e.failing = float64(s.load.Failing) / 1000
	return e
}
