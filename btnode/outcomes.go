package btnode

import (
	"errors"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	outcomeCheckPeriod = 200 * time.Millisecond // how often outcomeLoop checks whether a rollout runs
	outcomeReadPeriod  = 5 * time.Second        // between reads while a rollout runs, before jitter; gossip delivers outcomes sooner
	outcomeRetryPause  = 500 * time.Millisecond // after a failed read, before jitter
	recordAttempts     = 4                      // attempts to record one start or outcome, including the first
	recordPause        = 100 * time.Millisecond // after a failed attempt; a conflict is retried at once
)

// outcomeLoop reads the outcome log, if the platform has one, while a rollout runs
// as far as this node knows.
func (n *Node) outcomeLoop() {
	if n.adapters.Outcomes == nil {
		n.outcomesRead.Store(true)
		return
	}
	var last time.Time
	for n.ctx.Err() == nil {
		now, running := time.Now(), n.config.State().Running()
		informed := !n.reader.Load() && n.edges.count() > 0 && !slices.ContainsFunc(running, func(r baobabtide.Rollout) bool { return overdue(&r, now) })
		if len(running) > 0 && outcomeReadDue(last, now, n.jitter(), informed) {
			if _, err := n.readOutcomes(); err != nil {
				n.sleep(outcomeRetryPause + n.jitter())
				continue
			}
			last = time.Now()
		}
		n.sleep(outcomeCheckPeriod)
	}
}

// outcomeReadDue reports whether a node reads the outcome log while a rollout runs. Each node
// reads it once, as it may have started during the rollout. After that, those that others inform
// don't, or the reads would grow with the fleet.
func outcomeReadDue(last, now time.Time, jitter time.Duration, informed bool) bool {
	if last.IsZero() {
		return true
	}
	return !informed && now.Sub(last) > outcomeReadPeriod+jitter
}

// overdue reports whether a rollout should have ended, so that its outcome is probably recorded.
func overdue(r *baobabtide.Rollout, now time.Time) bool {
	return now.Sub(r.Started) > r.Terms.CompleteWithin
}

// readOutcomes adds the starts and outcomes in the outcome log to the configuration
// and returns them. It fails if the log can't be read.
func (n *Node) readOutcomes() (baobabtide.Outcomes, error) {
	outcomes, err := n.adapters.Outcomes.Outcomes(n.ctx)
	if err != nil {
		n.log.Warn().Str("event", "outcomes.unread").Err(err).Send()
		return baobabtide.Outcomes{}, err
	}
	n.outcomesRead.Store(true)
	n.addOutcomes(nil, outcomes.Ended)
	for _, start := range outcomes.Begun {
		if start.Started.Before(n.started) || n.wasReplaced(&start) { // a later start was seen by this process, whose own time of it is more accurate than another node's
			n.config.AddRolloutStart(start)
		}
		n.rollouts.markStartRecorded(n.presentStart(start))
	}
	return outcomes, nil
}

// presentStart returns a start under the offset that the release has in the present epoch of the log, if
// the log has kept it.
func (n *Node) presentStart(start baobabtide.RolloutStart) baobabtide.RolloutStart {
	a := n.config.State().Assignments[btconfig.AssignmentKey(start.Customer, start.Service)]
	if a.Rollout != nil && a.Rollout.Offset.Number() == start.Rollout.Number() && a.Rollout.Is(start.Rollout, start.Version, start.Sum) {
		start.Rollout = a.Rollout.Offset
	}
	return start
}

// wasReplaced reports whether a later rollout of the service has replaced the one that starts.
func (n *Node) wasReplaced(start *baobabtide.RolloutStart) bool {
	a := n.config.State().Assignments[btconfig.AssignmentKey(start.Customer, start.Service)]
	return a.Rollout != nil && a.Rollout.Offset > start.Rollout && !a.Rollout.Is(start.Rollout, start.Version, start.Sum)
}

// addOutcomes adds outcomes to the configuration and sends those that are new on all
// edges except the one that they came from.
func (n *Node) addOutcomes(from *edge, outcomes []baobabtide.OutcomeRecord) {
	var fresh []baobabtide.OutcomeRecord
	for _, o := range outcomes {
		if n.config.AddOutcome(o) {
			fresh = append(fresh, o)
		}
	}
	if len(fresh) > 0 {
		n.rollouts.recordEnded(fresh, time.Now())
		n.rewriteMoved(fresh)
		n.broadcastOutcomes(from, fresh)
		n.markDirty()
	}
}

// broadcastNewOutcomes sends the outcomes that the configuration holds and none of the given states does:
// those of rollouts that later ones have replaced, which a node that gets only the newest order of a service
// doesn't find, and those that a rollout had under a former offset.
func (n *Node) broadcastNewOutcomes(known []*btconfig.State) {
	var fresh []baobabtide.OutcomeRecord
	for _, o := range n.config.State().Outcomes {
		if !slices.ContainsFunc(known, func(s *btconfig.State) bool { return s.HasOutcome(&o) }) {
			fresh = append(fresh, o)
		}
	}
	if len(fresh) > 0 {
		n.broadcastOutcomes(nil, fresh)
	}
}

// broadcastOutcomes logs outcomes and sends them on all edges except one.
func (n *Node) broadcastOutcomes(except *edge, outcomes []baobabtide.OutcomeRecord) {
	for _, o := range outcomes {
		n.log.Info().Str("event", string(btlog.RolloutEnded)).Uint64("rollout", uint64(o.Rollout)).Str("service", o.Service).
			Str("version", o.Version).Str("result", string(o.Result)).Str("reason", o.Reason).Send()
	}
	n.sendToAll(&btpeer.Gossip{Outcomes: outcomes}, except)
}

// recordOutcome adds the outcome of a rollout to the outcome log and the
// configuration, unless the rollout has ended. It fails if all attempts fail.
func (n *Node) recordOutcome(outcome *baobabtide.OutcomeRecord) error {
	known := func(logged *baobabtide.Outcomes) bool {
		return n.hasEnded(outcome.Rollout) || logged.HasLater(outcome.Service, outcome.Rollout)
	}
	return n.recordUnlessKnown(known, func(next baobabtide.Offset) error {
		earlier := n.config.State().EarlierOutcomes(outcome.Customer, outcome.Service, outcome.Rollout)
		err := n.adapters.Outcomes.Record(n.ctx, next, outcome, earlier)
		if err == nil {
			n.addOutcomes(nil, []baobabtide.OutcomeRecord{*outcome})
		}
		return err
	})
}

// recordStart adds the start of a rollout to the outcome log, unless its start is
// recorded or it has ended. It fails if all attempts fail.
func (n *Node) recordStart(rollout *baobabtide.Rollout) error {
	start := baobabtide.RolloutStart{
		Rollout:  rollout.Offset,
		Customer: rollout.Customer,
		Service:  rollout.Service,
		Version:  rollout.To,
		Started:  rollout.Started,
		Sum:      rollout.Sum,
	}
	known := func(logged *baobabtide.Outcomes) bool {
		return n.hasEnded(rollout.Offset) || n.rollouts.isStartRecorded(rollout) || logged.HasLater(rollout.Service, rollout.Offset)
	}
	return n.recordUnlessKnown(known, func(next baobabtide.Offset) error {
		earlier := n.config.State().EarlierOutcomes(start.Customer, start.Service, start.Rollout)
		err := n.adapters.Outcomes.RecordStart(n.ctx, next, &start, earlier)
		if err == nil {
			n.rollouts.markStartRecorded(start)
		}
		return err
	})
}

// recordUnlessKnown reads the outcome log and then calls add with the position of
// the next record, unless known returns true. If either fails, it starts again, up
// to recordAttempts times in all. An add whose response was lost is thus found by
// the next read and not repeated. It returns the last error.
func (n *Node) recordUnlessKnown(known func(logged *baobabtide.Outcomes) bool, add func(next baobabtide.Offset) error) error {
	var err error
	for range recordAttempts {
		var logged baobabtide.Outcomes
		if logged, err = n.readOutcomes(); err == nil {
			if known(&logged) {
				return nil
			}
			if err = add(logged.Next); err == nil {
				return nil
			}
		}
		if !errors.Is(err, baobabtide.ErrConflict) {
			n.sleep(recordPause)
		}
	}
	return err
}

// hasEnded reports whether no rollout with the given offset runs, as far as this
// node knows.
func (n *Node) hasEnded(offset baobabtide.Offset) bool {
	for _, r := range n.config.State().Running() {
		if r.Offset == offset {
			return false
		}
	}
	return true
}
