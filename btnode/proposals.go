package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btrollout"
)

const (
	proposePeriod         = 3 * time.Second // between the proposals of one group of nodes and of the next
	proposeStagger        = time.Second     // between the first proposals of two nodes of a group
	proposeStaggerDivisor = 50              // the stagger is at most 1/50 of the rollout's CompleteWithin
	maxProposers          = 8               // nodes of a group, which has the next ranks after those of the one before
)

// proposeStart records the start of a rollout in the background if it is this node's
// turn. The nodes do so one after the other until a start is recorded.
func (n *Node) proposeStart(rollout baobabtide.Rollout, now time.Time) {
	if !n.proposalDue(&rollout, now, lastStartProposal) {
		return
	}
	n.wg.Go(func() { // not a worker: a slow log would keep the node from handling gossip
		if err := n.recordStart(&rollout); err != nil {
			n.log.Warn().Str("event", string(btlog.OutcomeAppend)).Uint64("rollout", uint64(rollout.Offset)).Err(err).Send()
		}
	})
}

// markStartRecorded records that the outcome log holds the start of a rollout.
func (r *rollouts) markStartRecorded(start baobabtide.RolloutStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressOf(btrollout.ID{Offset: start.Rollout, Customer: start.Customer, Service: start.Service}).startRecorded = true
}

// isStartRecorded reports whether the outcome log holds the start of a rollout, as
// far as this node knows.
func (r *rollouts) isStartRecorded(rollout *baobabtide.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progressOf(btrollout.IDOf(rollout)).startRecorded
}

// proposeOutcome records the outcome of a rollout in the background if it is this
// node's turn: in the outcome log, or in the configuration stream if the platform
// has none. The nodes do so one after the other until an outcome is known; only the
// first recorded one counts.
func (n *Node) proposeOutcome(rollout *baobabtide.Rollout, decision btrollout.Decision, now time.Time) {
	if !n.proposalDue(rollout, now, lastOutcomeProposal) {
		return
	}
	record := &baobabtide.Record{
		ID:    btrollout.OutcomeID(rollout, n.locality.Node, now),
		Actor: "node/" + n.locality.Node,
		Outcome: &baobabtide.OutcomeRecord{
			Rollout:  rollout.Offset,
			Customer: rollout.Customer,
			Service:  rollout.Service,
			Version:  rollout.To,
			Result:   decision.Result,
			Reason:   decision.Reason,
			Evidence: n.rollouts.evidence(rollout),
			Sum:      rollout.Sum,
		},
	}
	n.wg.Go(func() { // not a worker: a slow log would keep the node from handling gossip
		var err error
		if n.adapters.Outcomes != nil {
			err = n.recordOutcome(record.Outcome)
		} else {
			err = n.appendRecord(n.ctx, record)
		}
		if err != nil {
			n.log.Warn().Str("event", "outcome.append").Uint64("rollout", uint64(rollout.Offset)).Err(err).Send()
		}
	})
}

// evidence returns the evidence on a rollout from all nodes, per route.
func (r *rollouts) evidence(rollout *baobabtide.Rollout) []baobabtide.RouteEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportStore.Evidence(btrollout.IDOf(rollout))
}

// lastOutcomeProposal returns the time of this node's last proposal of an outcome,
// for proposalDue.
func lastOutcomeProposal(p *progress) *time.Time { return &p.outcomeProposedAt }

// lastStartProposal returns the time of this node's last proposal of the start, for
// proposalDue, nil if the start is recorded.
func lastStartProposal(p *progress) *time.Time {
	if p.startRecorded {
		return nil
	}
	return &p.startProposedAt
}

// proposalDue reports whether a proposal of this node is due now and, if so, updates
// the time that lastProposal points to. A nil pointer means that none is due. The groups
// propose by turns, proposePeriod apart, as the log may refuse all nodes of one.
func (n *Node) proposalDue(rollout *baobabtide.Rollout, now time.Time, lastProposal func(*progress) *time.Time) bool {
	n.members.mu.Lock()
	live := n.members.table.Live()
	n.members.mu.Unlock()
	rank := n.rank(rollout)
	groups := (max(live, rank+1) + maxProposers - 1) / maxProposers
	period := proposePeriod * time.Duration(groups)
	r := &n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	last := lastProposal(r.progressOf(btrollout.IDOf(rollout)))
	if last == nil {
		return false
	}
	if last.IsZero() {
		stagger := min(proposeStagger, rollout.Terms.CompleteWithin/proposeStaggerDivisor)
		delay := time.Duration(rank%maxProposers)*stagger + time.Duration(rank/maxProposers)*proposePeriod
		*last = now.Add(delay - period)
	}
	if now.Sub(*last) < period {
		return false
	}
	*last = now
	return true
}

// rank returns the position of this node in the order in which nodes propose for a rollout, from 0.
func (n *Node) rank(rollout *baobabtide.Rollout) int {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return n.members.table.Rank(btconfig.AssignmentKey(rollout.Customer, rollout.Service))
}
