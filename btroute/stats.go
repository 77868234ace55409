package btroute

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
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
	downUntil           btclock.Instant
	leaving             atomic.Bool // the backend server has said that it is about to stop

	mu          sync.Mutex
	load        baobabtide.Load      // last reported load
	loadAt      time.Time            // time of that report
	ownAtReport int64                // inFlight at the time of the report, included in the reported load
	runTimes    map[string]*runTimes // by route
	other       runTimes             // of the routes beyond maxRunTimeRoutes
	latest      *runTimes            // of the last report with a run time, nil before the first
	latestRoute string               // route of that report
	slowness    float64              // that run time divided by the mean of its route, including it
}

// runTimes holds expected run times that a target has reported.
type runTimes struct {
	last time.Duration
	mean time.Duration // moving average
}

// add records a reported run time.
func (r *runTimes) add(reported time.Duration) {
	r.last = reported
	if r.mean == 0 {
		r.mean = reported
		return
	}
	r.mean += (reported - r.mean) / runTimeSmoothing
}

const (
	ejectThreshold   = 5                      // consecutive failures
	ejectBase        = 2 * time.Second        // duration of the first ejection
	maxEjectShift    = 4                      // ejections double per ejectThreshold further failures, up to ejectBase << maxEjectShift
	avoidBase        = 200 * time.Millisecond // time for which a target is avoided after the first unanswered request
	maxAvoidShift    = 3                      // the longest avoidance is avoidBase << maxAvoidShift
	downTime         = 10 * time.Second       // a crashed server comes back as a new incarnation within this time, or its announcement ends
	limitLifetime    = 10 * time.Second       // the weight of a rate limit that is not reported again falls linearly to 0 in this time
	runTimeSmoothing = 8                      // the newest reported run time contributes 1/8 to the moving average
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

// RecordDown records that the backend server has crashed. The target is avoided for downTime,
// in which this incarnation is not back, unless it responds after all.
func (s *Stats) RecordDown(now time.Time) { s.downUntil.Set(now.Add(downTime)) }

// RecordUp records that the backend server responds.
func (s *Stats) RecordUp() { s.downUntil.Clear() }

// RecordLoad records the load that the target reported with a response or a refusal on
// a route, and ends the avoidance of the target. A load without slots is unknown
// and not stored.
func (s *Stats) RecordLoad(route string, reported baobabtide.Load, now time.Time) {
	s.unanswered.Store(0)
	s.avoidUntil.Clear()
	if reported.Leaving {
		s.leaving.Store(true)
	}
	if reported.Slots <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.ownAtReport = reported, now, s.inFlight.Load()
	if reported.Work <= 0 {
		return
	}
	r := s.runTimes[route]
	if r == nil {
		r = s.newRunTimes(route)
	}
	r.add(reported.Work)
	s.latest, s.latestRoute = r, route
	s.slowness = float64(r.last) / float64(r.mean)
}

// newRunTimes returns the run times of a route that has none. The caller holds s.mu.
func (s *Stats) newRunTimes(route string) *runTimes {
	if len(s.runTimes) >= maxRunTimeRoutes {
		return &s.other
	}
	if s.runTimes == nil {
		s.runTimes = make(map[string]*runTimes)
	}
	r := &runTimes{}
	s.runTimes[route] = r
	return r
}

// RateLimit returns the requests per second that the target accepts according to its last
// report, 0 for no limit.
func (s *Stats) RateLimit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load.RateLimit
}

// TurnDelay returns by how much a request of a route would miss its objective, which is the
// given time away, for want of a turn under the target's rate limit: at least this much
// according to the last report, 0 if it may be in time. The admitting node refuses such a
// request.
func (t *Target) TurnDelay(route string, left time.Duration, now time.Time) time.Duration {
	s := t.Stats
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := s.load.Turn - now.Sub(s.loadAt)
	if s.load.RateLimit <= 0 || turn <= 0 {
		return 0
	}
	return max(0, turn+time.Duration(btadmit.OnTimeMargin*float64(s.runTime(route).last))-left)
}

// runTime returns the reported expected run times of a route, or of the route of the last report
// if there are none, 0 before the first report. The caller holds s.mu.
func (s *Stats) runTime(route string) runTimes {
	if s.latest == nil {
		return runTimes{}
	}
	if route != s.latestRoute { // most targets serve few routes, so the map is often not needed
		if r, ok := s.runTimes[route]; ok {
			return *r
		}
	}
	return *s.latest
}

// expectedRunTime returns the expected run time of a route in seconds under a policy, 0 before the
// first report. The caller holds s.mu.
func (s *Stats) expectedRunTime(route string, policy *Policy, age time.Duration) float64 {
	r := s.runTime(route)
	if policy.SlownessLifetime == 0 {
		return r.last.Seconds()
	}
	if age >= policy.SlownessLifetime {
		return r.mean.Seconds()
	}
	weight := 1 - float64(age)/float64(policy.SlownessLifetime)
	return r.mean.Seconds() * (1 + (s.slowness-1)*weight)
}

// turnWait estimates the wait of a request for its turn under the target's rate limit: what
// remains of the reported wait, the turns of this node's requests since the report, and
// half a turn for those of other nodes. The last part fades, so that a target that has
// withdrawn its limit gets requests again. The caller holds s.mu.
func (s *Stats) turnWait(own float64, now time.Time) time.Duration {
	if s.load.RateLimit <= 0 {
		return 0
	}
	age := now.Sub(s.loadAt)
	turns := max(0, own-float64(s.ownAtReport)) + 0.5*max(0, 1-float64(age)/float64(limitLifetime))
	return max(0, s.load.Turn-age) + time.Duration(turns/s.load.RateLimit*float64(time.Second))
}

// estimate is the estimated state of a target at one time.
type estimate struct {
	own      float64 // running and waiting requests of this node
	others   float64 // those of other nodes according to the last report
	weight   float64 // of that report, 0 to 1
	slots    float64
	run      float64       // expected run time in seconds, 0 if none was reported
	limit    float64       // requests per second that the backend server accepts, 0 for no limit
	turn     time.Duration // expected wait for a turn under the rate limit of the backend server, 0 without a limit
	failing  float64       // share of runs that fail, 0 to 1
	outdated float64       // weight of the mean run time of the compared targets in place of run, 0 to 1
}

// backlog returns the running and waiting requests.
func (e *estimate) backlog() float64 { return e.own + e.others }

// slotWait returns the expected wait for a slot in seconds.
func (e *estimate) slotWait() float64 {
	return e.run * max(0, (e.backlog()+1-e.slots)/e.slots)
}

func (t *Target) estimate(route string, policy *Policy, now time.Time) estimate {
	s := t.Stats
	own := float64(s.inFlight.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.Slots == 0 {
		return estimate{own: own, slots: float64(t.Slots)}
	}
	age := now.Sub(s.loadAt)
	e := estimate{
		own:     own,
		others:  max(0, float64(int64(s.load.InFlight+s.load.Queued)-s.ownAtReport)),
		weight:  max(0, 1-float64(age)/float64(policy.ReportLifetime)),
		slots:   float64(s.load.Slots),
		run:     s.expectedRunTime(route, policy, age),
		limit:   s.load.RateLimit,
		turn:    s.turnWait(own, now),
		failing: float64(s.load.Failing) / 1000,
	}
	if policy.HistoryLifetime > 0 {
		e.outdated = min(1, float64(age)/float64(policy.HistoryLifetime))
		e.failing *= 1 - e.outdated
	}
	return e
}
