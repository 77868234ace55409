package btnode

import (
	"errors"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	outcomeCheck  = 200 * time.Millisecond // how often the loop looks whether a rollout runs
	outcomePeriod = 5 * time.Second        // between reads while a rollout runs; gossip tells of outcomes sooner
	outcomeRetry  = 500 * time.Millisecond // after a read that failed
	recordTries   = 4
	recordPause   = 100 * time.Millisecond
)

// outcomeLoop reads the outcomes that are kept apart from the log while a
// rollout seems to run.
func (n *Node) outcomeLoop() {
	if n.adapters.Outcomes == nil {
		n.outcomesRead.Store(true)
		return
	}
	var last time.Time
	for n.ctx.Err() == nil {
		due := last.IsZero() || time.Since(last) > outcomePeriod+n.jitter()
		if due && len(n.config.State().Running()) > 0 {
			if _, err := n.readOutcomes(); err != nil {
				n.sleep(outcomeRetry + n.jitter())
				continue
			}
			last = time.Now()
		}
		n.sleep(outcomeCheck)
	}
}

// readOutcomes takes in what is recorded and returns the position for the next
// record.
func (n *Node) readOutcomes() (baobabtide.Offset, error) {
	outcomes, err := n.adapters.Outcomes.Outcomes(n.ctx)
	if err != nil {
		n.log.Warn().Str("event", "outcomes.unread").Err(err).Send()
		return 0, err
	}
	n.outcomesRead.Store(true)
	for _, start := range outcomes.Begun {
		if start.Started.Before(n.started) { // this process can't have seen it; otherwise its own clock is nearer than another's
			n.config.AddRolloutStart(start)
		}
		n.rollouts.noteBegun(start)
	}
	n.takeOutcomes(nil, outcomes.Ended)
	return outcomes.Next, nil
}

// takeOutcomes takes in outcomes and passes on those that are news.
func (n *Node) takeOutcomes(from *edge, outcomes []baobabtide.OutcomeRecord) {
	var fresh []baobabtide.OutcomeRecord
	for _, o := range outcomes {
		if n.config.AddOutcome(o) {
			fresh = append(fresh, o)
			n.log.Info().Str("event", "rollout.ended").Uint64("rollout", uint64(o.Rollout)).Str("service", o.Service).
				Str("version", o.Version).Str("result", string(o.Result)).Str("reason", o.Reason).Send()
		}
	}
	if len(fresh) > 0 {
		n.sendToAll(&btpeer.Gossip{Outcomes: fresh}, from)
		n.markDirty()
	}
}

// recordOutcome records the outcome of a rollout unless one is recorded.
func (n *Node) recordOutcome(outcome *baobabtide.OutcomeRecord) error {
	known := func() bool { return n.hasEnded(outcome.Rollout) }
	return n.record(known, func(next baobabtide.Offset) error {
		err := n.adapters.Outcomes.Record(n.ctx, next, outcome)
		if err == nil {
			n.takeOutcomes(nil, []baobabtide.OutcomeRecord{*outcome})
		}
		return err
	})
}

// recordStart records when a rollout began unless that or its outcome is
// recorded.
func (n *Node) recordStart(rollout *baobabtide.Rollout) error {
	start := baobabtide.RolloutStart{
		Rollout:  rollout.Offset,
		Customer: rollout.Customer,
		Service:  rollout.Service,
		Version:  rollout.To,
		Started:  rollout.Started,
	}
	known := func() bool { return n.hasEnded(rollout.Offset) || n.rollouts.hasBegun(rollout) }
	return n.record(known, func(next baobabtide.Offset) error {
		err := n.adapters.Outcomes.RecordStart(n.ctx, next, &start)
		if err == nil {
			n.rollouts.noteBegun(start)
		}
		return err
	})
}

// record adds to what is kept apart from the log unless it is known once that
// was read. Where an answer was lost, what was recorded is read back.
func (n *Node) record(known func() bool, add func(next baobabtide.Offset) error) error {
	var err error
	for range recordTries {
		var next baobabtide.Offset
		if next, err = n.readOutcomes(); err == nil {
			if known() {
				return nil
			}
			if err = add(next); err == nil {
				return nil
			}
		}
		if !errors.Is(err, baobabtide.ErrConflict) {
			n.sleep(recordPause)
		}
	}
	return err
}

// hasEnded tells whether the outcome of a rollout is known.
func (n *Node) hasEnded(rollout baobabtide.Offset) bool {
	for _, r := range n.config.State().Running() {
		if r.Offset == rollout {
			return false
		}
	}
	return true
}
