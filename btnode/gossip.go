package btnode

import (
	"errors"
	"time"

	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	repairDelay      = 2 * time.Second // a difference caused by changes in flight usually ends within this time
	repairPeriod     = time.Second     // minimum time between digest exchanges that this node starts
	minJoinedMembers = 2               // number of members, including this node, from which a node counts as joined
)

// handleGossip processes all parts of one message that an edge received.
func (n *Node) handleGossip(e *edge, m *btpeer.Gossip) {
	now := time.Now()
	e.received(now)
	e.dropPending(m)
	if m.Hello != nil {
		n.catchUp.recordLive(m.Hello.Live)
		n.sendFormer(e, m.Members)
	}
	n.restore(m.Former, m.FormerDeparted, now)
	n.mergeMembers(e, btmember.Delta{Members: m.Members, Statuses: m.Statuses}, now)
	if m.Digests != nil {
		n.handleDigests(e, m.Digests)
	}
	if m.Repair != nil {
		n.handleRepair(e, m.Repair)
	}
	if len(m.Wanted) > 0 {
		n.handleWanted(e, m.Wanted)
	}
	if m.Pull != nil {
		n.handlePull(e, m.Pull)
	}
	if m.State != nil {
		n.handleState(e, m.State)
	}
	if m.Links != nil {
		n.handleLinks(e, m.Links)
	}
	if m.Heartbeat != nil {
		n.handleHeartbeat(e, m.Heartbeat, now)
		if !e.outgoing && m.Hello == nil {
			n.sendHeartbeat(e)
		}
	}
	if len(m.Outcomes) > 0 {
		n.addOutcomes(e, m.Outcomes)
	}
	if len(m.Quarantine) > 0 {
		n.handleQuarantine(e, m.Quarantine)
	}
	if len(m.Reports) > 0 || len(m.Trips) > 0 {
		n.handleReports(e, m)
	}
}

// mergeMembers merges a change of the membership that an edge received, and
// forwards the part that is new to this node.
func (n *Node) mergeMembers(e *edge, d btmember.Delta, now time.Time) {
	n.members.mu.Lock()
	n.members.table.RecordMessage(e.name, now)
	fresh := n.members.table.Merge(d, now)
	n.members.mu.Unlock()
	if n.mayAffectReaders(fresh.Members) {
		n.updateReadDuty(now)
	}
	n.disseminate(fresh, e)
}

// disseminate sends a change of the membership on all edges except the one that it
// came from, and requests a rebuild of the route table. It ignores an empty change.
func (n *Node) disseminate(d btmember.Delta, from *edge) {
	if d.Empty() {
		return
	}
	n.sendToAll(&btpeer.Gossip{Members: d.Members, Statuses: d.Statuses}, from)
	n.markDirty()
}

// handleHeartbeat compares the position of the sender's configuration and its membership digest
// with this node's. It pulls a later configuration, and starts an exchange of
// bucket digests if the memberships have differed for long enough.
func (n *Node) handleHeartbeat(e *edge, h *btpeer.Heartbeat, now time.Time) {
	position := btconfig.Position{Offset: h.Offset, Revision: h.Revision}
	n.catchUp.record(e.name, position)
	e.recordPosition(position)
	if n.routes.Load() == nil {
		n.markDirty()
	}
	if own := n.config.State().Position(); !own.Covers(position) {
		n.pullFrom(e, own, now)
	}
	n.members.mu.Lock()
	same := n.members.table.Digest() == h.Digest
	joined := n.members.table.Live() >= minJoinedMembers
	var digests []uint64
	if !same {
		digests = n.members.table.BucketDigests()
	}
	n.members.mu.Unlock()
	if e.differs(same, joined, now) && n.beginRepair(joined, now) {
		e.send(&btpeer.Gossip{Digests: digests})
	}
}

// sendHeartbeat sends a heartbeat to the node that opened an edge.
func (n *Node) sendHeartbeat(e *edge) {
	e.send(&btpeer.Gossip{Heartbeat: n.heartbeat()})
}

// heartbeat returns a heartbeat with the present position and digest.
func (n *Node) heartbeat() *btpeer.Heartbeat {
	n.members.mu.Lock()
	digest := n.members.table.Digest()
	n.members.mu.Unlock()
	return heartbeat(n.config.State(), digest)
}

// heartbeat returns a heartbeat with the position of a configuration and the digest of a membership.
func heartbeat(state *btconfig.State, digest uint64) *btpeer.Heartbeat {
	position := state.Position()
	return &btpeer.Heartbeat{Offset: position.Offset, Revision: position.Revision, Digest: digest}
}

// differs reports whether the memberships of the two ends have differed for at least
// repairDelay. The delay does not apply to the first difference that is found on an
// edge, nor while this node has not joined.
func (e *edge) differs(same, joined bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if same {
		e.mismatchSince = time.Time{}
		return false
	}
	if e.mismatchSince.IsZero() {
		e.mismatchSince = now
	}
	first := !e.mismatchSeen
	e.mismatchSeen = true
	return !joined || first || now.Sub(e.mismatchSince) >= repairDelay
}

// beginRepair reports whether this node may start a digest exchange now, and
// records that it does. It allows one per repairPeriod over all edges, without
// the limit while the node has not joined.
func (n *Node) beginRepair(joined bool, now time.Time) bool {
	pause := repairPeriod
	if !joined {
		pause = 0
	}
	return n.lastRepair.TrySet(now, pause)
}

// handleDigests sends the versions of the members in the buckets whose digests
// differ from the given ones.
func (n *Node) handleDigests(e *edge, digests []uint64) {
	n.members.mu.Lock()
	buckets := n.members.table.DifferingBuckets(digests)
	versions := n.members.table.Versions(buckets)
	n.members.mu.Unlock()
	if len(buckets) > 0 {
		e.send(&btpeer.Gossip{Repair: &btpeer.Repair{Buckets: buckets, Versions: versions}})
	}
}

// handleRepair sends the member records that the other end lacks and requests
// those that this node lacks.
func (n *Node) handleRepair(e *edge, r *btpeer.Repair) {
	n.members.mu.Lock()
	d := n.members.table.Compare(r.Buckets, r.Versions)
	n.members.mu.Unlock()
	if len(d.Send) > 0 || len(d.Want) > 0 {
		e.send(&btpeer.Gossip{Members: d.Send, Wanted: d.Want})
	}
}

// handleWanted sends the records of the named members.
func (n *Node) handleWanted(e *edge, names []string) {
	n.members.mu.Lock()
	members := n.members.table.Lookup(names)
	n.members.mu.Unlock()
	if len(members) > 0 {
		e.send(&btpeer.Gossip{Members: members})
	}
}

// handlePull sends the entries after an offset, or the whole state if it is asked for or the store
// no longer holds them.
func (n *Node) handlePull(e *edge, pull *btpeer.Pull) {
	links, ok, err := n.config.EncodedSince(pull.After)
	if err != nil {
		n.log.Error().Str("event", "links.encode").Err(err).Send()
		return
	}
	if ok && !pull.Whole {
		if links != nil {
			e.send(&btpeer.Gossip{Links: links})
		}
		return
	}
	data, err := btconfig.EncodeState(n.config.State())
	if err != nil {
		n.log.Error().Str("event", "state.encode").Err(err).Send()
		return
	}
	e.send(&btpeer.Gossip{State: data})
}

// handleState joins the configuration with the state that a neighbor sent if that holds something later.
func (n *Node) handleState(e *edge, data []byte) {
	state, err := btconfig.DecodeState(data)
	if err != nil {
		n.log.Warn().Str("event", "state.damaged").Str("member", e.name).Err(err).Send()
		return
	}
	before := n.config.State()
	adopted := n.config.Adopt(state)
	own := n.config.State().Position()
	n.pulls.answered(own)
	if adopted {
		from := e
		if own != state.Position() {
			from = nil // the neighbor lacks something, too
		}
		n.configApplied(before, from, state)
	}
}

// handleLinks decodes and applies the entries that a neighbor sent.
func (n *Node) handleLinks(e *edge, data []byte) {
	links, err := btconfig.DecodeLinks(data)
	if err != nil {
		n.log.Warn().Str("event", "links.damaged").Str("member", e.name).Err(err).Send()
		return
	}
	if n.applyLinks(e, links) == len(links) { // otherwise others sent some of them, perhaps in another form
		n.config.KeepEncoded(links, data)
	}
}

// applyLinks applies entries that a neighbor sent and returns the number of those that were
// new. If entries before them are missing because this node's configuration has changed since
// it asked, it pulls those after the present one.
func (n *Node) applyLinks(e *edge, links []btconfig.Link) int {
	fresh, gap := 0, false
	before := n.config.State()
	for _, link := range links {
		applied, err := n.config.Apply(link)
		if applied {
			fresh++
			n.recordRejection(link.Entry.Offset)
		}
		if errors.Is(err, btconfig.ErrGap) {
			gap = true
			break
		}
	}
	own := n.config.State().Position()
	n.pulls.answered(own)
	if gap {
		n.pull(e, own, time.Now())
	}
	if fresh > 0 {
		n.configApplied(before, e)
	}
	return fresh
}

// configApplied tells the neighbors of a change of the configuration since an earlier state, except the
// one that it came from, and requests a rebuild of the route table. Outcomes that the states named in
// known hold are not sent.
func (n *Node) configApplied(before *btconfig.State, from *edge, known ...*btconfig.State) {
	n.followRestore(before)
	n.broadcastNewOutcomes(append(known, before))
	n.sendToAll(&btpeer.Gossip{Heartbeat: n.heartbeat()}, from)
	n.markDirty()
}
