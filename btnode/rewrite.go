package btnode

import (
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btrollout"
)

// maxRewriters is the number of nodes that see to it that the outcome log holds the outcome of a rollout.
const maxRewriters = 4 * maxProposers

// rewrite makes this node see to it that the outcome log holds the start of a rollout that runs, or the
// outcome of one that has ended. key is that of its assignment.
func (r *rollouts) rewrite(key string, rollout *baobabtide.Rollout) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rollout.Result == "" {
		p := r.progressOf(btrollout.IDOf(rollout))
		p.startRecorded, p.startProposedAt = false, time.Time{}
		return
	}
	if r.unwritten == nil {
		r.unwritten = make(map[string]*time.Time)
	}
	r.unwritten[key] = new(time.Time)
}

// rewriteRecent makes this node see to it that the outcome log holds the outcomes that it has learned
// lately, after the log has been away: a log that does not tell its epoch may have lost them alone.
func (n *Node) rewriteRecent(now time.Time) {
	state := n.config.State()
	for _, key := range n.rollouts.endedSince(now.Add(-maxLost)) {
		if a := state.Assignments[key]; a.Rollout != nil && !a.Running() {
			n.rollouts.rewrite(key, a.Rollout)
		}
	}
}

// rewriteMoved makes this node see to it that the outcome log holds outcomes under the offsets that their
// releases have now. Nodes that start don't know the ones of earlier epochs.
func (n *Node) rewriteMoved(outcomes []baobabtide.OutcomeRecord) {
	state := n.config.State()
	for i := range outcomes {
		o := &outcomes[i]
		key := btconfig.AssignmentKey(o.Customer, o.Service)
		if r := state.Assignments[key].Rollout; r != nil && r.Result != "" && r.Offset != o.Rollout && r.Is(o.Rollout, o.Version, o.Sum) {
			n.rollouts.rewrite(key, r)
		}
	}
}

// endedSince returns the keys of the assignments of which this node has learned an outcome since a time,
// and forgets the others.
func (r *rollouts) endedSince(earliest time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, at := range r.ended {
		if at.Before(earliest) {
			delete(r.ended, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// recordEnded records that this node has learned outcomes.
func (r *rollouts) recordEnded(outcomes []baobabtide.OutcomeRecord, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		r.ended = make(map[string]time.Time)
	}
	for i := range outcomes {
		r.ended[btconfig.AssignmentKey(outcomes[i].Customer, outcomes[i].Service)] = now
	}
}

// written records that the outcome log holds the outcome of an assignment's latest rollout, or that this
// node does not have to see to it.
func (r *rollouts) written(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unwritten, key)
}

// rewriteOutcomes records the outcomes again that a restored log may lack, if it is this node's turn.
func (n *Node) rewriteOutcomes(state *btconfig.State, now time.Time) {
	if n.adapters.Outcomes == nil {
		return
	}
	for _, key := range n.rollouts.unwrittenKeys() {
		a := state.Assignments[key]
		if a.Rollout == nil || a.Running() || n.rank(a.Rollout) >= maxRewriters {
			n.rollouts.written(key)
			continue
		}
		if !n.proposalDue(a.Rollout, now, func(*progress) *time.Time { return n.rollouts.unwritten[key] }) {
			continue
		}
		n.wg.Go(func() { // not a worker: a slow log would keep the node from handling gossip
			if err := n.rewriteOutcome(a.Rollout); err != nil {
				n.log.Warn().Str("event", string(btlog.OutcomeAppend)).Uint64("rollout", uint64(a.Rollout.Offset)).Err(err).Send()
				return
			}
			n.rollouts.written(key)
		})
	}
}

// unwrittenKeys returns the keys of the assignments whose outcomes this node may have to record again.
func (r *rollouts) unwrittenKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.unwritten))
	for key := range r.unwritten {
		keys = append(keys, key)
	}
	return keys
}

// rewriteOutcome records the outcome of a rollout unless the outcome log holds it under the number that
// the release has in the log. It fails if all attempts fail.
func (n *Node) rewriteOutcome(rollout *baobabtide.Rollout) error {
	outcome := baobabtide.OutcomeRecord{
		Rollout: rollout.Offset, Customer: rollout.Customer, Service: rollout.Service, Version: rollout.To,
		Result: rollout.Result, Reason: rollout.Reason, Sum: rollout.Sum,
	}
	known := func(logged *baobabtide.Outcomes) bool {
		return slices.ContainsFunc(logged.Ended, func(o baobabtide.OutcomeRecord) bool {
			return o.Service == outcome.Service && o.Version == outcome.Version && o.Result == outcome.Result && o.Rollout.Number() == outcome.Rollout.Number()
		}) || n.isReplaced(&outcome)
	}
	return n.recordUnlessKnown(known, func(next baobabtide.Offset) error {
		earlier := n.config.State().EarlierOutcomes(outcome.Customer, outcome.Service, outcome.Rollout)
		return n.adapters.Outcomes.Record(n.ctx, next, &outcome, earlier)
	})
}

// isReplaced reports whether the rollout of an outcome is no longer the latest of its service, under the
// offset that the outcome names.
func (n *Node) isReplaced(o *baobabtide.OutcomeRecord) bool {
	a := n.config.State().Assignments[btconfig.AssignmentKey(o.Customer, o.Service)]
	return a.Rollout == nil || a.Rollout.Offset != o.Rollout
}
