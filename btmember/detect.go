package btmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

const (
	tickDelayDivisor         = 8                // a new sample has a weight of 1/8 in the moving average of the tick delay
	tickDelayFactor          = 20               // an average delay of 100 ms adds 2 s to the silence limit
	membersPerRejoinInterval = 32               // the pause between attempts to rejoin grows by RejoinInterval for every 32 live members
	rejoinLeftWindow         = 30 * time.Second // time after leaving in which a node may have restarted
	maxSilenceFactor         = 3                // largest extension of the silence limit, in multiples of SilenceLimit; the limit is at most 4 times SilenceLimit
)

// RecordMessage records a message from a watched member at time now. It ignores members
// that are not watched, so that a message that is handled after its connection
// was closed does not start a watch.
func (t *Table) RecordMessage(name string, now time.Time) {
	if _, watched := t.lastHeard[name]; watched {
		t.lastHeard[name] = now
	}
}

// Watch starts to expect messages from a member: Tick accuses it once it has been
// silent for longer than the silence limit. Watch has no effect on unknown, failed and
// left members and on a member that is already watched.
func (t *Table) Watch(name string, now time.Time) {
	e, ok := t.entries[name]
	if _, watched := t.lastHeard[name]; !watched && ok && e.member.Status < baobabtide.Failed {
		t.lastHeard[name] = now
	}
}

// Unwatch stops expecting messages from a member.
func (t *Table) Unwatch(name string) { delete(t.lastHeard, name) }

// UnwatchExcept unwatches every member for which keep returns false.
func (t *Table) UnwatchExcept(keep func(name string) bool) {
	for name := range t.lastHeard {
		if !keep(name) {
			delete(t.lastHeard, name)
		}
	}
}

// Accuse marks a member as suspect with this node as accuser and returns the
// change. The change is empty for this node itself, for unknown, failed and left
// members and if this node has already accused the member.
func (t *Table) Accuse(name string, now time.Time) Delta {
	e, ok := t.entries[name]
	if !ok || name == t.self || e.member.Status >= baobabtide.Failed {
		return Delta{}
	}
	accusation := StatusUpdate{
		Name:        name,
		Incarnation: e.member.Incarnation,
		Status:      baobabtide.Suspect,
		Accusers:    []string{t.self},
	}
	if !t.mergeStatus(accusation, now) {
		return Delta{}
	}
	return Delta{Statuses: []StatusUpdate{statusOf(&e.member)}}
}

// Tick accuses silent members, turns suspicions that have lasted long enough into
// failures and forgets members that failed or left more than ForgetAfter ago. It
// returns the changes. A very late tick means that this node was paused. Tick then only
// restarts the silence period of all watched members, because their messages may
// still be unread.
func (t *Table) Tick(now time.Time) Delta {
	paused := t.recordTick(now)
	if paused {
		for name := range t.lastHeard {
			t.lastHeard[name] = now
		}
		return Delta{}
	}
	var delta Delta
	for name, lastHeard := range t.lastHeard {
		if now.Sub(lastHeard) > t.silenceLimit() {
			delta.Append(t.Accuse(name, now))
		}
	}
	for name, e := range t.entries {
		switch {
		case name == t.self:
		case e.member.Status == baobabtide.Suspect && t.confirmationDue(e, now):
			delta.Append(t.confirmFailure(e, now))
		case e.member.Status >= baobabtide.Failed && now.Sub(e.changed) > t.timing.ForgetAfter:
			t.forget(name)
		}
	}
	return delta
}

// recordTick updates the average tick delay and reports whether this node was
// paused: whether the previous tick is more than half of SilenceLimit ago.
func (t *Table) recordTick(now time.Time) bool {
	first := t.lastTick.IsZero()
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if first {
		return false
	}
	delay := max(0, gap-t.timing.Tick)
	t.tickDelay += (delay - t.tickDelay) / tickDelayDivisor
	return gap > t.timing.SilenceLimit/2
}

// silenceLimit returns the silence after which a watched member is accused. It
// grows with this node's own tick delay, because a node that is short of
// processor time can't tell the silence of others from its own delay.
func (t *Table) silenceLimit() time.Duration {
	return t.timing.SilenceLimit + min(tickDelayFactor*t.tickDelay, maxSilenceFactor*t.timing.SilenceLimit)
}

// ReportUnreachable handles a failed attempt to connect to a member and returns the
// change. A refused connection accuses the member at once. After any other error,
// such as a timeout, the member is only watched, because this node itself may have
// caused the delay.
func (t *Table) ReportUnreachable(name string, refused bool, now time.Time) Delta {
	if refused {
		return t.Accuse(name, now)
	}
	t.Watch(name, now)
	return Delta{}
}

// confirmationDue reports whether a suspicion has lasted long enough to become a
// failure. Two or more accusers shorten the time.
func (t *Table) confirmationDue(e *entry, now time.Time) bool {
	age := now.Sub(e.changed)
	if len(e.member.Accusers) >= 2 {
		return age >= t.timing.ConfirmQuorum
	}
	return age >= t.timing.ConfirmSingle
}

// confirmFailure marks a suspect member as failed and returns the change.
func (t *Table) confirmFailure(e *entry, now time.Time) Delta {
	m := e.member
	m.Status = baobabtide.Failed
	m.Accusers = nil
	t.put(m, now)
	return Delta{Statuses: []StatusUpdate{statusOf(&m)}}
}

// Neighbors returns the members that this node opens a gossip connection to:
// its successor on each ring, without duplicates. Over all nodes these connections
// form a random graph of degree 2*Rings, so that a change reaches all nodes in a
// logarithmic number of hops at a constant cost per node.
func (t *Table) Neighbors() []baobabtide.Member {
	if t.neighbors.generation == t.generation {
		return slices.Clone(t.neighbors.value)
	}
	var neighbors []baobabtide.Member
	for ring := range Rings {
		next := t.successor(ring)
		if next == nil || slices.ContainsFunc(neighbors, func(m baobabtide.Member) bool { return m.Name == next.Name }) {
			continue
		}
		neighbors = append(neighbors, *next)
	}
	t.neighbors = cached[[]baobabtide.Member]{t.generation, neighbors}
	return slices.Clone(neighbors)
}

// isLocal reports whether a ring holds only the members of this node's zone.
func (t *Table) isLocal(ring int) bool {
	if ring != 1 || !t.preferZone {
		return ring == 0
	}
	zone, members := t.entries[t.self].member.Zone, 0
	for _, e := range t.entries {
		if e.member.Status < baobabtide.Failed && e.member.Zone == zone {
			members++
		}
	}
	return members >= minLocalRingMembers
}

// successor returns the live member that follows this node on a ring, nil if
// there is none.
func (t *Table) successor(ring int) *baobabtide.Member {
	self := t.entries[t.self]
	local := t.isLocal(ring)
	var best *entry
	var bestDistance uint64
	for _, e := range t.entries {
		if e == self || e.member.Status >= baobabtide.Failed {
			continue
		}
		if local && e.member.Zone != self.member.Zone {
			continue
		}
		distance := e.positions[ring] - self.positions[ring] // wraps around the ring
		if best == nil || distance < bestDistance {
			best, bestDistance = e, distance
		}
	}
	if best == nil {
		return nil
	}
	return &best.member
}

// RejoinCandidate returns a random member to reconnect to: one that has failed, or
// one that left less than rejoinLeftWindow ago and may have restarted. It returns
// false if there is none or if the previous attempt is less than an interval ago.
// These attempts heal partitions and bring back a restarted node that has no
// addresses of other nodes. The interval grows with the number of live members,
// because all of them try.
func (t *Table) RejoinCandidate(now time.Time) (baobabtide.Member, bool) {
	interval := t.timing.RejoinInterval * time.Duration(1+t.Live()/membersPerRejoinInterval)
	if now.Sub(t.lastRejoin) < interval {
		return baobabtide.Member{}, false
	}
	t.lastRejoin = now
	var gone []baobabtide.Member
	for _, e := range t.entries {
		recent := now.Sub(e.changed) < rejoinLeftWindow
		if e.member.Status == baobabtide.Failed || e.member.Status == baobabtide.Left && recent && e.member.Name != t.self {
			gone = append(gone, e.member)
		}
	}
	if len(gone) == 0 {
		return baobabtide.Member{}, false
	}
	slices.SortFunc(gone, func(a, b baobabtide.Member) int { return strings.Compare(a.Name, b.Name) })
	return gone[t.rng.IntN(len(gone))], true
}

// SnapshotWriter returns the name of the member that writes snapshots: the alive
// member with the lowest position on ring 1. It returns "" if none is alive.
func (t *Table) SnapshotWriter() string {
	var best *entry
	for _, e := range t.entries {
		if e.member.Status != baobabtide.Alive {
			continue
		}
		if best == nil || e.positions[1] < best.positions[1] {
			best = e
		}
	}
	if best == nil {
		return ""
	}
	return best.member.Name
}

// Live returns the number of members that are alive or suspect.
func (t *Table) Live() int { return t.live }

// LiveAddresses returns the set of peer addresses of the members that are alive or
// suspect, including this node's own.
func (t *Table) LiveAddresses() map[string]bool {
	addresses := make(map[string]bool, len(t.entries))
	for _, e := range t.entries {
		if e.member.Status < baobabtide.Failed {
			addresses[e.member.PeerAddress] = true
		}
	}
	return addresses
}

// Rank returns the number of alive members that precede this node in the
// rendezvous order of a key. The member of rank 0 acts first and the next ones
// take over if it does not.
func (t *Table) Rank(key string) int {
	own := xxhash.Sum64String(key + "/" + t.self)
	rank := 0
	for name, e := range t.entries {
		if e.member.Status == baobabtide.Alive && xxhash.Sum64String(key+"/"+name) < own {
			rank++
		}
	}
	return rank
}
