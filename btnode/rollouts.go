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
	reportPeriod = 500 * time.Millisecond // minimum time between reports of one rollout
	urgentPeriod = 50 * time.Millisecond  // minimum time if the new version has failed since the last report

	// reportsPerSecond is the number of reports that all nodes together send a second on narrow
	// links, and as many more if the new version fails everywhere. Each report crosses each edge.
	reportsPerSecond = 100
)

// rollouts holds the node's data on running rollouts: the reports of all nodes, the
// counts of this node and the progress of each rollout, with their lock.
type rollouts struct {
	node    *Node
	failing chan struct{} // signals tickLoop that the new version of a rollout has failed a request here

	mu          sync.Mutex
	reportStore btrollout.ReportStore
	counters    btrollout.Counters
	progress    map[btrollout.ID]*progress
	ended       map[string]time.Time  // assignments of which this node has learned an outcome lately, and when
	unwritten   map[string]*time.Time // assignments whose outcomes this node may have to record again, with the time when it last proposed to
}

// progress holds the state of one rollout on this node.
type progress struct {
	logTime           time.Time          // Started of the rollout in the latest call of startedAt
	started           time.Time          // start of the rollout by this node's monotonic clock
	cleared           time.Time          // when the evidence first cleared the version on this node, zero if it has not
	decision          btrollout.Decision // latest decision, as of the last call of decide
	loggedPhase       btrollout.Phase    // phase in the latest log line
	reportedAt        time.Time          // when a report was last due
	startRecorded     bool               // the outcome log holds the start
	startProposedAt   time.Time          // when this node last proposed the start, see proposalDue
	urgent            bool               // the new version has failed a request here since the latest report
	outcomeProposedAt time.Time          // when this node last proposed an outcome, see proposalDue
}

// Observe implements btdispatch.Observer. It counts a request if its rollout runs. A
// failure of the new version triggers a decision at once.
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
		r.progressOf(id).urgent = true
	}
	r.mu.Unlock()
	if isNew && failed {
		r.signalFailure()
	}
}

// signalFailure makes tickLoop decide on the rollouts without waiting for the next
// tick.
func (r *rollouts) signalFailure() {
	select {
	case r.failing <- struct{}{}:
	default:
	}
}

// progressOf returns the progress of a rollout and creates it if necessary. The
// caller holds r.mu.
func (r *rollouts) progressOf(id btrollout.ID) *progress {
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

// startedAt returns the start of a rollout by this node's monotonic clock, so that a
// jump of the wall clock neither ends a rollout nor prolongs it. The first call takes
// the age from the wall clock, limited to the range from 0 to CompleteWithin. Later
// calls only add the change of the rollout's start time since the previous call.
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

// decide updates the decision on a rollout and returns it. If no trip is known and the
// evidence shows that the version is bad, it also stores and returns a trip, otherwise
// nil. Until the outcome log has been read once, the decision is PhaseProbe with a
// share of 0. dest is the destination of the rollout, nil if it is not known.
func (r *rollouts) decide(rollout *baobabtide.Rollout, dest *btroute.Destination, now time.Time) (btrollout.Decision, *btrollout.Trip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := btrollout.IDOf(rollout)
	p := r.progressOf(id)
	evidence := r.reportStore.Evidence(id)
	trip, tripped := r.reportStore.Trip(id)
	var newTrip *btrollout.Trip
	if !tripped {
		evaluation, reason := btrollout.Evaluate(&rollout.Terms, evidence)
		switch {
		case evaluation == btrollout.Bad:
			trip = btrollout.Trip{Rollout: id, Node: r.node.locality.Node, Reason: reason, Evidence: evidence}
			r.reportStore.AddTrip(trip)
			tripped, newTrip = true, &trip
		case evaluation == btrollout.Good && p.cleared.IsZero():
			p.cleared = now
		}
	}
	adjusted := *rollout
	adjusted.Started = p.startedAt(rollout, now)
	p.decision = btrollout.Decide(&adjusted, evidence, tripped, p.cleared, now)
	if r.node.knowsEvidence(now) {
		p.decision = p.decision.ForQuietService(&adjusted, evidence, r.node.settings.Terms.ProbeRequests, now)
	}
	if dest != nil {
		p.decision = p.decision.ForTargets(&adjusted, dest.Next.Pool.Size() > 0, dest.IsOnly, now)
	}
	if !r.node.outcomesRead.Load() {
		p.decision = btrollout.Decision{Phase: btrollout.PhaseProbe, Reason: "the outcome may be recorded already"}
	}
	if tripped {
		p.decision.Reason = trip.Reason
	}
	if p.decision.Phase != p.loggedPhase {
		p.loggedPhase = p.decision.Phase
		r.node.log.Info().Str("event", string(btlog.RolloutShare)).Uint64("rollout", uint64(rollout.Offset)).Str("service", rollout.Service).
			Str("version", rollout.To).Str("phase", string(p.loggedPhase)).Float64("share", p.decision.Share).Str("reason", p.decision.Reason).Send()
	}
	return p.decision, newTrip
}

// knowsEvidence reports whether the other nodes' counts reach this one, so that few requests in the
// evidence mean few requests.
func (n *Node) knowsEvidence(now time.Time) bool {
	return !n.cutOff.Load() && now.Sub(n.started) > joinGrace
}

// setShares decides on each running rollout and sets the traffic shares in a route
// table, which may be nil. It returns the decisions in the order of running, and
// the new trips of this node.
func (r *rollouts) setShares(running []baobabtide.Rollout, table *btroute.Table, now time.Time) ([]btrollout.Decision, []btrollout.Trip) {
	decisions := make([]btrollout.Decision, len(running))
	var newTrips []btrollout.Trip
	for i := range running {
		var dest *btroute.Destination
		if table != nil {
			dest = table.Destination(running[i].Customer, running[i].Service)
		}
		decision, trip := r.decide(&running[i], dest, now)
		decisions[i] = decision
		if trip != nil {
			newTrips = append(newTrips, *trip)
		}
		if dest != nil {
			dest.SetShare(decision.Share)
		}
	}
	return decisions, newTrips
}

// tickRollouts deletes the data of ended rollouts. For the running ones it sends
// the reports that are due, updates decisions and shares, and proposes starts and
// outcomes.
func (n *Node) tickRollouts(now time.Time) {
	state := n.config.State()
	running := state.Running()
	n.rollouts.forget(state, running)
	n.rewriteOutcomes(state, now)
	for i := range running {
		n.report(&running[i], now)
	}
	decisions, newTrips := n.rollouts.setShares(running, n.routes.Load(), now)
	n.sendTrips(newTrips)
	for i := range running {
		if decisions[i].Result != "" {
			n.proposeOutcome(&running[i], decisions[i], now)
		} else if n.adapters.Outcomes != nil {
			n.proposeStart(running[i], now)
		}
	}
}

// openRollouts returns a function that reports whether a rollout has not ended: it runs
// or, as its offset is higher than the state's, is not known to this node yet.
func openRollouts(state *btconfig.State, running []baobabtide.Rollout) func(btrollout.ID) bool {
	isRunning := make(map[btrollout.ID]bool, len(running))
	for i := range running {
		isRunning[btrollout.IDOf(&running[i])] = true
	}
	return func(id btrollout.ID) bool { return isRunning[id] || id.Offset > state.Offset }
}

// forget deletes the reports, counts and progress of rollouts that have ended.
func (r *rollouts) forget(state *btconfig.State, running []baobabtide.Rollout) {
	isOpen := openRollouts(state, running)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportStore.Forget(isOpen)
	r.counters.Forget(isOpen)
	for id := range r.progress {
		if !isOpen(id) {
			delete(r.progress, id)
		}
	}
}

// report sends this node's counts of a rollout on all edges if a report is due and
// the counts have grown since the previous one.
func (n *Node) report(rollout *baobabtide.Rollout, now time.Time) {
	id := btrollout.IDOf(rollout)
	if n.rollouts.reportDue(id, now) {
		n.sendCounts(id)
	}
}

// leastReportPeriod returns the least time between two reports of this node.
func (n *Node) leastReportPeriod() time.Duration {
	if !n.settings.Peer.HasNarrowLink() {
		return 0
	}
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return time.Second * time.Duration(n.members.table.Live()) / reportsPerSecond
}

// reportDue reports whether a report of a rollout is due now and, if so, records that it
// is sent.
func (r *rollouts) reportDue(id btrollout.ID, now time.Time) bool {
	least := r.node.leastReportPeriod()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progressOf(id)
	period := reportPeriod
	if p.urgent {
		period = urgentPeriod
		least /= 2
	}
	period = max(period, least)
	if now.Sub(p.reportedAt) < period {
		return false
	}
	p.reportedAt = now
	p.urgent = false
	return true
}

// sendCounts sends this node's counts of a rollout on all edges if they have grown since
// the previous report.
func (n *Node) sendCounts(id btrollout.ID) {
	r := &n.rollouts
	r.mu.Lock()
	report := btrollout.Report{Rollout: id, Node: n.locality.Node, Incarnation: n.incarnation, Routes: r.counters.Routes(id)}
	fresh := len(report.Routes) > 0 && r.reportStore.Merge(report)
	r.mu.Unlock()
	if fresh {
		n.sendToAll(&btpeer.Gossip{Reports: []btrollout.Report{report}}, nil)
	}
}

// sendTrips logs new trips of this node and sends them on all edges.
func (n *Node) sendTrips(trips []btrollout.Trip) {
	if len(trips) == 0 {
		return
	}
	for _, t := range trips {
		n.log.Warn().Str("event", "rollout.tripped").Uint64("rollout", uint64(t.Rollout.Offset)).
			Str("customer", t.Rollout.Customer).Str("service", t.Rollout.Service).Str("reason", t.Reason).Send()
	}
	n.sendToAll(&btpeer.Gossip{Trips: trips}, nil)
}

// handleReports stores the reports and trips that an edge received and forwards the
// new ones on all other edges. It ignores those of ended rollouts: their data is
// deleted, so each message would count as new and circulate forever.
func (n *Node) handleReports(e *edge, m *btpeer.Gossip) {
	r := &n.rollouts
	state := n.config.State()
	isOpen := openRollouts(state, state.Running())
	var fresh btpeer.Gossip
	r.mu.Lock()
	for _, report := range m.Reports {
		if isOpen(report.Rollout) && r.reportStore.Merge(report) {
			fresh.Reports = append(fresh.Reports, report)
		}
	}
	for _, t := range m.Trips {
		if isOpen(t.Rollout) && r.reportStore.AddTrip(t) {
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

// sendReports sends all stored reports and trips on a new edge.
func (n *Node) sendReports(e *edge) {
	r := &n.rollouts
	r.mu.Lock()
	reports, trips := r.reportStore.Reports(func(btrollout.ID) bool { return true })
	r.mu.Unlock()
	if len(reports) > 0 || len(trips) > 0 {
		e.send(&btpeer.Gossip{Reports: reports, Trips: trips})
	}
}

// decision returns the latest decision on a rollout, the zero value if there is
// none.
func (r *rollouts) decision(rollout *baobabtide.Rollout) btrollout.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progressOf(btrollout.IDOf(rollout)).decision
}
