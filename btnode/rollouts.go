package btnode

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btrollout"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	reportPeriod = 500 * time.Millisecond // between reports of one rollout
	urgentPeriod = 50 * time.Millisecond  // between reports of one rollout that hold failures of the new version
)

// rollouts is what the node knows of rollouts, with its lock.
type rollouts struct {
	node    *Node
	failing chan struct{} // gets a value when the new version of a rollout has failed here

	mu       sync.Mutex
	book     btrollout.ReportStore
	counters btrollout.Counters
	progress map[btrollout.ID]*progress
}

// progress is what this node does about one rollout.
type progress struct {
	logTime  time.Time // of the rollout's start, as last known
	started  time.Time // the same by this node's steady clock
	cleared  time.Time // when the evidence first cleared the version here
	decision btrollout.Decision
	logged   btrollout.Phase // last one that was logged
	reported time.Time
	begun    bool      // its start is recorded
	turn     time.Time // at which this node records the start, if no other has
	urgent   bool      // the new version has failed since the last report
	proposed time.Time
}

// Observe implements btdispatch.Observer.
func (r *rollouts) Observe(req *baobabtide.Request, took time.Duration, failed bool) {
	if req.Rollout == 0 {
		return
	}
	id := btrollout.ID{Offset: req.Rollout, Customer: req.Customer, Service: req.Service}
	a, ok := r.node.config.State().Assignments[btconfig.AssignmentKey(req.Customer, req.Service)]
	if !ok || !a.Running() || a.Rollout.Offset != req.Rollout {
		return
	}
	isNew := req.Version == a.Rollout.To
	r.mu.Lock()
	failed = r.counters.Observe(id, &a.Rollout.Terms, req.Route, isNew, took, failed)
	if isNew && failed {
		r.current(id).urgent = true
	}
	r.mu.Unlock()
	if isNew && failed {
		r.wake()
	}
}

// wake has the rollouts decided on at once.
func (r *rollouts) wake() {
	select {
	case r.failing <- struct{}{}:
	default:
	}
}

// current returns the progress of a rollout. The caller holds the lock.
func (r *rollouts) current(id btrollout.ID) *progress {
	if r.progress == nil {
		r.progress = make(map[btrollout.ID]*progress)
	}
	p := r.progress[id]
	if p == nil {
		p = &progress{}
		r.progress[id] = p
	}
	return p
}

// startedAt returns when a rollout began, by the steady clock: the log's time
// counts when it is first seen, and what it says later only where it changes. So
// a jump of the time of day neither ends a rollout nor holds it up.
func (p *progress) startedAt(rollout *baobabtide.Rollout, now time.Time) time.Time {
	switch {
	case p.started.IsZero():
		age := min(max(0, now.Sub(rollout.Started)), rollout.Terms.CompleteWithin)
		p.started = now.Add(-age)
	case !p.logTime.Equal(rollout.Started):
		p.started = p.started.Add(rollout.Started.Sub(p.logTime))
	}
	p.logTime = rollout.Started
	return p.started
}

// decide brings the decision on a rollout up to date and returns it with a
// trip that this node raises, if any.
func (r *rollouts) decide(rollout *baobabtide.Rollout, now time.Time) (btrollout.Decision, *btrollout.Trip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := btrollout.IDOf(rollout)
	p := r.current(id)
	evidence := r.book.Evidence(id)
	trip, tripped := r.book.Trip(id)
	var raised *btrollout.Trip
	if !tripped {
		judgment, reason := btrollout.Evaluate(&rollout.Terms, evidence)
		switch {
		case judgment == btrollout.Bad:
			trip = btrollout.Trip{Rollout: id, Node: r.node.place.Node, Reason: reason, Evidence: evidence}
			r.book.AddTrip(trip)
			tripped, raised = true, &trip
		case judgment == btrollout.Good && p.cleared.IsZero():
			p.cleared = now
		}
	}
	steady := *rollout
	steady.Started = p.startedAt(rollout, now)
	p.decision = btrollout.Decide(&steady, evidence, tripped, p.cleared, now)
	if !r.node.outcomesRead.Load() {
		p.decision = btrollout.Decision{Phase: btrollout.PhaseProbe, Reason: "the outcome may be recorded already"}
	}
	if tripped {
		p.decision.Reason = trip.Reason
	}
	if p.decision.Phase != p.logged {
		p.logged = p.decision.Phase
		r.node.log.Info().Str("event", string(btlog.RolloutShare)).Uint64("rollout", uint64(rollout.Offset)).Str("service", rollout.Service).
			Str("version", rollout.To).Str("phase", string(p.logged)).Float64("share", p.decision.Share).Str("reason", p.decision.Reason).Send()
	}
	return p.decision, raised
}

// setShares gives a table the shares that are in force and returns the
// decisions and the trips that this node raises.
func (r *rollouts) setShares(running []baobabtide.Rollout, table *btroute.Table, now time.Time) ([]btrollout.Decision, []btrollout.Trip) {
	decisions := make([]btrollout.Decision, len(running))
	var raised []btrollout.Trip
	for i := range running {
		decision, trip := r.decide(&running[i], now)
		decisions[i] = decision
		if trip != nil {
			raised = append(raised, *trip)
		}
		if table == nil {
			continue
		}
		if line := table.Destination(running[i].Customer, running[i].Service); line != nil {
			line.SetShare(decision.Share)
		}
	}
	return decisions, raised
}

// tickRollouts reports what this node has counted, decides on the shares and
// proposes outcomes.
func (n *Node) tickRollouts(now time.Time) {
	state := n.config.State()
	running := state.Running()
	n.rollouts.forget(state, running)
	for i := range running {
		n.report(&running[i], now)
	}
	decisions, raised := n.rollouts.setShares(running, n.routes.Load(), now)
	n.raise(raised)
	for i := range running {
		if decisions[i].Result != "" {
			n.propose(&running[i], decisions[i], now)
		} else if n.adapters.Outcomes != nil {
			n.begin(running[i], now)
		}
	}
}

// openRollouts returns a function that tells whether a rollout runs or is one that this
// node has yet to hear of. All others have ended.
func openRollouts(state *btconfig.State, running []baobabtide.Rollout) func(btrollout.ID) bool {
	runs := make(map[btrollout.ID]bool, len(running))
	for i := range running {
		runs[btrollout.IDOf(&running[i])] = true
	}
	return func(id btrollout.ID) bool { return runs[id] || id.Offset > state.Offset }
}

// forget drops what is known of rollouts that have ended.
func (r *rollouts) forget(state *btconfig.State, running []baobabtide.Rollout) {
	kept := openRollouts(state, running)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Forget(kept)
	r.counters.Forget(kept)
	for id := range r.progress {
		if !kept(id) {
			delete(r.progress, id)
		}
	}
}

// report spreads what this node has counted of a rollout since the last time.
func (n *Node) report(rollout *baobabtide.Rollout, now time.Time) {
	id := btrollout.IDOf(rollout)
	r := &n.rollouts
	r.mu.Lock()
	p := r.current(id)
	period := reportPeriod
	if p.urgent {
		period = urgentPeriod
	}
	if now.Sub(p.reported) < period {
		r.mu.Unlock()
		return
	}
	p.reported = now
	p.urgent = false
	report := btrollout.Report{Rollout: id, Node: n.place.Node, Incarnation: n.incarnation, Routes: r.counters.Routes(id)}
	fresh := len(report.Routes) > 0 && r.book.Merge(report)
	r.mu.Unlock()
	if fresh {
		n.sendToAll(&btpeer.Gossip{Reports: []btrollout.Report{report}}, nil)
	}
}

// raise spreads trips.
func (n *Node) raise(trips []btrollout.Trip) {
	if len(trips) == 0 {
		return
	}
	for _, t := range trips {
		n.log.Warn().Str("event", "rollout.tripped").Uint64("rollout", uint64(t.Rollout.Offset)).
			Str("customer", t.Rollout.Customer).Str("service", t.Rollout.Service).Str("reason", t.Reason).Send()
	}
	n.sendToAll(&btpeer.Gossip{Trips: trips}, nil)
}

// takeReports takes in what other nodes counted and raised, and passes on what
// is new. Of a rollout that has ended nothing is: it was forgotten, so it would
// be new each time and go from node to node forever.
func (n *Node) takeReports(e *edge, m *btpeer.Gossip) {
	r := &n.rollouts
	state := n.config.State()
	isOpen := openRollouts(state, state.Running())
	var fresh btpeer.Gossip
	r.mu.Lock()
	for _, report := range m.Reports {
		if isOpen(report.Rollout) && r.book.Merge(report) {
			fresh.Reports = append(fresh.Reports, report)
		}
	}
	for _, t := range m.Trips {
		if isOpen(t.Rollout) && r.book.AddTrip(t) {
			fresh.Trips = append(fresh.Trips, t)
		}
	}
	r.mu.Unlock()
	if len(fresh.Reports) > 0 || len(fresh.Trips) > 0 {
		n.sendToAll(&fresh, e)
	}
	if len(fresh.Trips) > 0 {
		n.tickRollouts(time.Now())
	}
}

// sendReports tells a new neighbor what is known of the running rollouts.
func (n *Node) sendReports(e *edge) {
	r := &n.rollouts
	r.mu.Lock()
	reports, trips := r.book.Reports(func(btrollout.ID) bool { return true })
	r.mu.Unlock()
	if len(reports) > 0 || len(trips) > 0 {
		e.send(&btpeer.Gossip{Reports: reports, Trips: trips})
	}
}

// decision returns the latest decision on a rollout.
func (r *rollouts) decision(rollout *baobabtide.Rollout) btrollout.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current(btrollout.IDOf(rollout)).decision
}
