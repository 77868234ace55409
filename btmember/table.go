package btmember

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

// Rings is the number of hash rings from which neighbors are chosen. Ring 0 holds
// the members of one zone, the others hold all members.
const Rings = 3

// minLocalRingMembers is the number of live members of a zone from which ring 1 may hold the
// members of the zone only. Smaller zones need the edges to other zones to stay connected.
const minLocalRingMembers = 8

// Buckets is the number of partitions of the membership by name hash. Each has its
// own digest, so that two nodes exchange only the partitions that differ.
const Buckets = 64

// Timing holds the periods of failure detection.
type Timing struct {
	Tick           time.Duration // period of calls to Table.Tick
	Heartbeat      time.Duration // period of heartbeats to each neighbor
	SilenceLimit   time.Duration // silence after which a watched member is accused
	ConfirmQuorum  time.Duration // suspicion by two or more accusers before it becomes a failure
	ConfirmSingle  time.Duration // suspicion by one accuser before it becomes a failure
	ForgetAfter    time.Duration // time until failed and left members are removed
	RejoinInterval time.Duration // minimum time between attempts to reach a failed or left member
}

// DefaultTiming returns the periods that New uses for a zero Timing.
func DefaultTiming() Timing {
	return Timing{
		Tick:           250 * time.Millisecond,
		Heartbeat:      time.Second,
		SilenceLimit:   4 * time.Second,
		ConfirmQuorum:  time.Second,
		ConfirmSingle:  3 * time.Second,
		ForgetAfter:    time.Hour,
		RejoinInterval: 500 * time.Millisecond,
	}
}

// entry is the state of one member in a table.
type entry struct {
	member    baobabtide.Member
	positions [Rings]uint64 // position on each ring
	hash      uint64        // contribution to the digests, 0 for failed and left members
	changed   time.Time     // last change of status or incarnation
}

// Table is one node's view of the membership. It is not safe for concurrent use.
type Table struct {
	timing      Timing
	self        string // name of this node, whose entry is always present
	entries     map[string]*entry
	live        int                  // entries that are alive or suspect
	preferZone  bool                 // see PreferZone
	digest      uint64               // XOR of the hashes of all entries
	buckets     [Buckets]uint64      // XOR of the hashes of each bucket's entries
	lastHeard   map[string]time.Time // last message of each watched member
	lastTick    time.Time
	tickDelay   time.Duration // moving average of the lateness of ticks; high if this node is short of processor time
	lastRejoin  time.Time
	generation  uint64 // incremented by each change
	neighbors   cached[[]baobabtide.Member]
	readers     cached[[]string]
	readerCount int // that readers was computed for
	rng         *rand.Rand
}

// cached is a value that was computed for a generation of the table.
type cached[T any] struct {
	generation uint64 // 0 for none
	value      T
}

// New returns a table that holds only the node itself. A zero timing means
// DefaultTiming.
func New(self baobabtide.Member, timing Timing, rng *rand.Rand) *Table {
	if timing == (Timing{}) {
		timing = DefaultTiming()
	}
	t := &Table{
		timing:    timing,
		self:      self.Name,
		entries:   make(map[string]*entry),
		lastHeard: make(map[string]time.Time),
		rng:       rng,
	}
	t.put(self, time.Time{})
	return t
}

// PreferZone makes this node choose the neighbor of ring 1 from its own zone too, if the zone has
// enough members. It must be called before the table is used.
func (t *Table) PreferZone() { t.preferZone = true }

// Self returns the node's own record.
func (t *Table) Self() baobabtide.Member { return t.entries[t.self].member }

// Generation returns a number that increases with each change of the table.
func (t *Table) Generation() uint64 { return t.generation }

// Get returns the record of a member and whether the member is known.
func (t *Table) Get(name string) (baobabtide.Member, bool) {
	e, ok := t.entries[name]
	if !ok {
		return baobabtide.Member{}, false
	}
	return e.member, true
}

// Members returns all records, sorted by name.
func (t *Table) Members() []baobabtide.Member {
	members := make([]baobabtide.Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b baobabtide.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Announce replaces the targets that this node announces, and the backend servers that have
// departed from it, and returns the change, which is empty if they are the same or this node has
// left.
func (t *Table) Announce(targets []baobabtide.Target, departed []baobabtide.Departure, now time.Time) Delta {
	self := t.Self()
	if self.Status == baobabtide.Left || (slices.Equal(self.Targets, targets) && slices.Equal(self.Departed, departed)) {
		return Delta{}
	}
	self.Targets, self.Departed = slices.Clone(targets), slices.Clone(departed)
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// Leave marks this node as left and returns the change. The given targets are kept
// by the other nodes for the next process of this node (see Former).
func (t *Table) Leave(targets []baobabtide.Target, now time.Time) Delta {
	self := t.Self()
	self.Status = baobabtide.Left
	self.Targets = targets
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// Former returns what the previous process of m's node announced: its targets and the backend
// servers that had departed. It returns nothing unless m comes from a later process than the
// known record.
func (t *Table) Former(m *baobabtide.Member) ([]baobabtide.Target, []baobabtide.Departure) {
	e, ok := t.entries[m.Name]
	if !ok || e.member.Process == m.Process || e.member.Incarnation >= m.Incarnation {
		return nil, nil
	}
	return e.member.Targets, e.member.Departed
}

// Merge applies changes received from another node and returns those that had an
// effect. It refutes an accusation of this node itself by raising its incarnation; the
// refutation is part of the result.
func (t *Table) Merge(d Delta, now time.Time) Delta {
	var applied Delta
	for _, m := range d.Members {
		if m.Name == t.self {
			applied.Append(t.refute(Version{Incarnation: m.Incarnation, Sequence: m.Sequence, Status: m.Status}, now))
			continue
		}
		if t.mergeMember(m, now) {
			applied.Members = append(applied.Members, t.entries[m.Name].member)
		}
	}
	for _, u := range d.Statuses {
		if u.Name == t.self {
			applied.Append(t.refute(Version{Incarnation: u.Incarnation, Status: u.Status}, now))
			continue
		}
		if t.mergeStatus(u, now) {
			applied.Statuses = append(applied.Statuses, statusOf(&t.entries[u.Name].member))
		}
	}
	return applied
}

// statusOf returns the status of a record as an update.
func statusOf(m *baobabtide.Member) StatusUpdate {
	return StatusUpdate{Name: m.Name, Incarnation: m.Incarnation, Status: m.Status, Accusers: m.Accusers}
}

// mergeMember joins a record into the table and reports whether the table changed.
func (t *Table) mergeMember(m baobabtide.Member, now time.Time) bool {
	e, ok := t.entries[m.Name]
	if !ok {
		if m.Status >= baobabtide.Failed {
			return false // a forgotten member must not be added again as failed or left
		}
		t.put(m, now)
		return true
	}
	joined := Join(e.member, m)
	if sameRecord(&e.member, &joined) {
		return false
	}
	t.put(joined, now)
	return true
}

// mergeStatus applies a status update and reports whether the table changed.
func (t *Table) mergeStatus(u StatusUpdate, now time.Time) bool {
	e, ok := t.entries[u.Name]
	if !ok {
		return false
	}
	joined := joinUpdate(e.member, u)
	if sameRecord(&e.member, &joined) {
		return false
	}
	t.put(joined, now)
	return true
}

// refute raises this node's incarnation if another node holds a version of its record with a
// higher incarnation or, in the same incarnation, with a status other than alive or with a
// higher sequence, which comes from an earlier process. It returns the change, which is empty
// if this node has left.
func (t *Table) refute(held Version, now time.Time) Delta {
	self := t.Self()
	if self.Status == baobabtide.Left || !held.newerThan(&self) {
		return Delta{}
	}
	self.Incarnation = held.Incarnation + 1
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// put stores a record and updates the digests.
func (t *Table) put(m baobabtide.Member, now time.Time) {
	e, ok := t.entries[m.Name]
	if !ok {
		e = &entry{positions: ringPositions(m.Name), changed: now}
		t.entries[m.Name] = e
	}
	if e.member.Status != m.Status || e.member.Incarnation != m.Incarnation {
		e.changed = now
	}
	if m.Status >= baobabtide.Failed {
		delete(t.lastHeard, m.Name)
	}
	t.updateDigests(e, recordHash(&m), bucketOf(m.Name))
	if ok && e.member.Status < baobabtide.Failed {
		t.live--
	}
	if m.Status < baobabtide.Failed {
		t.live++
	}
	e.member = m
	t.generation++
}

// updateDigests replaces the entry's hash in the digests of the table and of the
// bucket.
func (t *Table) updateDigests(e *entry, hash uint64, bucket int) {
	t.digest ^= e.hash ^ hash
	t.buckets[bucket] ^= e.hash ^ hash
	e.hash = hash
}

// forget removes a member.
func (t *Table) forget(name string) {
	e := t.entries[name]
	t.updateDigests(e, 0, bucketOf(name))
	if e.member.Status < baobabtide.Failed {
		t.live--
	}
	delete(t.entries, name)
	delete(t.lastHeard, name)
	t.generation++
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % Buckets) }

func ringPositions(name string) [Rings]uint64 {
	var positions [Rings]uint64
	for ring := range positions {
		positions[ring] = xxhash.Sum64String(string(rune('a'+ring)) + name)
	}
	return positions
}

// recordHash returns a hash of a member's name, incarnation and sequence, which
// identify what it announces. It is 0 for failed and left members, so that nodes
// that have forgotten them agree with those that have not. Suspicion is not
// included: it is confirmed or refuted before a repair is due.
func recordHash(m *baobabtide.Member) uint64 {
	if m.Status >= baobabtide.Failed {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(m.Name)
	var fields [16]byte
	binary.LittleEndian.PutUint64(fields[0:], m.Incarnation)
	binary.LittleEndian.PutUint64(fields[8:], m.Sequence)
	_, _ = d.Write(fields[:])
	return d.Sum64()
}

// Digest returns a hash of the records of all live members.
func (t *Table) Digest() uint64 { return t.digest }

// BucketDigests returns, for each bucket, a hash of the records of its live members.
func (t *Table) BucketDigests() []uint64 { return slices.Clone(t.buckets[:]) }

// DifferingBuckets returns the buckets whose digest differs from the peer's.
func (t *Table) DifferingBuckets(peer []uint64) []int {
	var differing []int
	for i := range min(len(peer), Buckets) {
		if peer[i] != t.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}
