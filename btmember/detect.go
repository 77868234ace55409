package btmember

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

const (
	latenessWeight   = 8                // smoothing of the delay of ticks
	latenessFactor   = 20               // a smoothed delay of 100 ms adds 2 s to the silence limit
	rejoinFleet      = 32               // live members for which the interval between attempts to rejoin stands
	rejoinLeft       = 30 * time.Second // in which a node that has left may start anew
	maxSilenceFactor = 3                // the limit grows to four times its value at most
)

// Heard notes that a neighbor gave a sign of life. A message that arrives after
// its connection was closed makes nobody a neighbor again.
func (t *Table) Heard(name string, now time.Time) {
	if _, watched := t.heard[name]; watched {
		t.heard[name] = now
	}
}

// Watch starts to expect heartbeats from a neighbor.
func (t *Table) Watch(name string, now time.Time) {
	e, ok := t.entries[name]
	if _, watched := t.heard[name]; !watched && ok && e.member.Status < baobabtide.Failed {
		t.heard[name] = now
	}
}

// Unwatch ends the expectation of heartbeats from a former neighbor.
func (t *Table) Unwatch(name string) { delete(t.heard, name) }

// Retain ends the expectation of heartbeats from all that keep does not name.
func (t *Table) Retain(keep func(name string) bool) {
	for name := range t.heard {
		if !keep(name) {
			delete(t.heard, name)
		}
	}
}

// Accuse marks a member as suspect because it could not be reached.
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

// Tick accuses silent neighbors, confirms old suspicions and forgets members
// that are long gone. A tick that comes late means that this node was paused:
// then its neighbors get a new chance before they are accused.
func (t *Table) Tick(now time.Time) Delta {
	paused := t.noteTick(now)
	if paused {
		for name := range t.heard {
			t.heard[name] = now
		}
		return Delta{}
	}
	var delta Delta
	for name, heard := range t.heard {
		if now.Sub(heard) > t.silenceLimit() {
			delta.Append(t.Accuse(name, now))
		}
	}
	for name, e := range t.entries {
		switch {
		case name == t.self:
		case e.member.Status == baobabtide.Suspect && t.confirmed(e, now):
			delta.Append(t.fail(e, now))
		case e.member.Status >= baobabtide.Failed && now.Sub(e.changed) > t.timing.ForgetAfter:
			t.forget(name)
		}
	}
	return delta
}

// noteTick measures how late a tick comes and tells whether the node was
// paused since the last one.
func (t *Table) noteTick(now time.Time) bool {
	first := t.lastTick.IsZero()
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if first {
		return false
	}
	late := max(0, gap-t.timing.Tick)
	t.lateness += (late - t.lateness) / latenessWeight
	return gap > t.timing.SilenceLimit/2
}

// silenceLimit grows on a node that is short of processor time itself, because
// there the silence of others proves little.
func (t *Table) silenceLimit() time.Duration {
	return t.timing.SilenceLimit + min(latenessFactor*t.lateness, maxSilenceFactor*t.timing.SilenceLimit)
}

// Unreachable notes that a connection to a member could not be opened. Where
// the other end refused it, the member is accused at once; otherwise only once
// it has been silent for long, because the delay may be this node's own.
func (t *Table) Unreachable(name string, refused bool, now time.Time) Delta {
	if refused {
		return t.Accuse(name, now)
	}
	t.Watch(name, now)
	return Delta{}
}

func (t *Table) confirmed(e *entry, now time.Time) bool {
	age := now.Sub(e.changed)
	if len(e.member.Accusers) >= 2 {
		return age >= t.timing.ConfirmQuorum
	}
	return age >= t.timing.ConfirmSingle
}

func (t *Table) fail(e *entry, now time.Time) Delta {
	m := e.member
	m.Status = baobabtide.Failed
	m.Accusers = nil
	t.put(m, now)
	return Delta{Statuses: []StatusUpdate{statusOf(&m)}}
}

// Neighbors returns the members that this node opens a gossip connection to:
// its successor on each ring, without repeats. The successors' union over all
// nodes is a random graph of degree 2*Rings, so that changes reach everyone in
// a logarithmic number of steps at a constant cost per node.
func (t *Table) Neighbors() []baobabtide.Member {
	var neighbors []baobabtide.Member
	for ring := range Rings {
		next := t.successor(ring)
		if next == nil || slices.ContainsFunc(neighbors, func(m baobabtide.Member) bool { return m.Name == next.Name }) {
			continue
		}
		neighbors = append(neighbors, *next)
	}
	return neighbors
}

// successor returns the live member that follows this node on a ring.
func (t *Table) successor(ring int) *baobabtide.Member {
	self := t.entries[t.self]
	var best *entry
	var bestDistance uint64
	for _, e := range t.entries {
		if e == self || e.member.Status >= baobabtide.Failed {
			continue
		}
		if ring == 0 && e.member.Zone != self.member.Zone {
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

// Rejoin returns a member to try again that has failed, or that has left a
// short time ago and may have started anew, at most once per interval. So a
// partition heals on its own and a node comes back where nothing tells it the
// addresses of the others. The interval grows with the fleet, all of which
// tries.
func (t *Table) Rejoin(now time.Time) (baobabtide.Member, bool) {
	interval := t.timing.RejoinInterval * time.Duration(1+t.Live()/rejoinFleet)
	if now.Sub(t.lastRejoin) < interval {
		return baobabtide.Member{}, false
	}
	t.lastRejoin = now
	var gone []baobabtide.Member
	for _, e := range t.entries {
		recent := now.Sub(e.changed) < rejoinLeft
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

// Readers returns the names of the members of the node's zone that read the
// log, chosen by rendezvous hashing over the live ones.
func (t *Table) Readers(count int) []string {
	zone := t.Self().Zone
	var candidates []*entry
	for _, e := range t.entries {
		if e.member.Zone == zone && e.member.Status == baobabtide.Alive {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		return cmp.Compare(a.positions[0], b.positions[0])
	})
	names := make([]string, 0, count)
	for _, e := range candidates[:min(count, len(candidates))] {
		names = append(names, e.member.Name)
	}
	return names
}

// SnapshotWriter returns the name of the member that writes snapshots: the
// first live one on the second ring.
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
func (t *Table) Live() int {
	live := 0
	for _, e := range t.entries {
		if e.member.Status < baobabtide.Failed {
			live++
		}
	}
	return live
}

// LiveAddresses returns the peer addresses of the live members, the node's own
// among them.
func (t *Table) LiveAddresses() map[string]bool {
	addresses := make(map[string]bool, len(t.entries))
	for _, e := range t.entries {
		if e.member.Status < baobabtide.Failed {
			addresses[e.member.PeerAddress] = true
		}
	}
	return addresses
}

// Rank returns how many live members come before this node in the rendezvous
// order for a key, so that one of them acts first and the next ones step in.
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
