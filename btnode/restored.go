package btnode

import (
	"math"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btrollout"
)

// maxLost is the age up to which records of this node may be missing in a copy from which the log is
// restored.
const maxLost = time.Minute

// followRestore keeps what this node knows of rollouts under the offsets that their releases have since
// an earlier state. If the log has been restored since, it also writes again what the copy may lack.
func (n *Node) followRestore(before *btconfig.State) {
	state := n.config.State()
	isRestored := n.entersEpoch(state.Offset.Epoch()) && before.Offset > 0
	n.followRollouts(before, state, isRestored)
	if !isRestored {
		return
	}
	n.restores.Add(1)
	n.log.Warn().Str("event", string(btlog.LogRestored)).Uint32("epoch", state.Offset.Epoch()).Uint64("offset", uint64(state.Offset)).
		Uint64("former", uint64(before.Offset)).Uint64("revision", state.Revision()).Send()
	if known := countingOutcomes(state); len(known) > 0 {
		n.sendToAll(&btpeer.Gossip{Outcomes: known}, nil)
	}
	n.unstored.storeAgain(n.quarantine.Entries(time.Now()), time.Now())
	n.restored.signal()
}

// entersEpoch reports whether an epoch of the log is a later one than this node had known, once for each.
func (n *Node) entersEpoch(epoch uint32) bool {
	for {
		known := n.epoch.Load()
		if epoch <= known {
			return false
		}
		if n.epoch.CompareAndSwap(known, epoch) {
			return true
		}
	}
}

// followRollouts moves what this node knows of rollouts whose releases have come under other offsets, and makes
// it see to it that the outcome log holds them: all of them after a restore.
func (n *Node) followRollouts(before, state *btconfig.State, isRestored bool) {
	var trips []btrollout.Trip
	for key, a := range state.Assignments {
		if a.Rollout == nil || a.Current != baobabtide.AnyVersion {
			continue
		}
		old := before.Assignments[key].Rollout
		isOther := old == nil || old.Offset != a.Rollout.Offset
		isMoved := old != nil && slices.Contains(a.Rollout.Former, old.Offset)
		if isMoved {
			if trip, ok := n.rollouts.move(btrollout.IDOf(old), btrollout.IDOf(a.Rollout)); ok && a.Running() {
				trips = append(trips, trip)
			}
		}
		if isMoved || isRestored || isOther && endedBefore(state, a.Rollout) {
			n.rollouts.rewrite(key, a.Rollout)
		}
	}
	if len(trips) > 0 {
		n.sendToAll(&btpeer.Gossip{Trips: trips}, nil)
	}
}

// endedBefore reports whether a rollout has ended in an earlier epoch of the log.
func endedBefore(state *btconfig.State, r *baobabtide.Rollout) bool {
	return r.Result != "" && slices.ContainsFunc(state.Outcomes, func(o baobabtide.OutcomeRecord) bool {
		return o.Customer == r.Customer && o.Service == r.Service && o.Rollout.Epoch() < r.Offset.Epoch() && r.Is(o.Rollout, o.Version, o.Sum)
	})
}

// countingOutcomes returns the outcomes of unversioned services that still count. The outcome log may have
// lost those that only some nodes know.
func countingOutcomes(state *btconfig.State) []baobabtide.OutcomeRecord {
	var outcomes []baobabtide.OutcomeRecord
	seen := make(map[string]bool)
	for i := range state.Outcomes {
		o := &state.Outcomes[i]
		if key := btconfig.AssignmentKey(o.Customer, o.Service); !seen[key] {
			seen[key] = true
			outcomes = append(outcomes, state.EarlierOutcomes(o.Customer, o.Service, math.MaxUint64)...)
		}
	}
	return outcomes
}

// move keeps what is known of a rollout under another ID of it, and returns its trip and whether there is
// one. Its start is recorded anew.
func (r *rollouts) move(from, to btrollout.ID) (btrollout.Trip, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Move(from, to)
	if p, ok := r.progress[from]; ok {
		delete(r.progress, from)
		p.startRecorded, p.startProposedAt = false, time.Time{}
		r.progress[to] = p
	}
	return r.reportStore.Move(from, to)
}
