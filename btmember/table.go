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

// Rings is the number of rings over which neighbors are chosen: the first holds
// the members of one zone, the others hold all.
const Rings = 3

// Buckets is the number of parts of the membership that are compared on their
// own when two nodes differ.
const Buckets = 64

// Timing holds the periods of failure detection.
type Timing struct {
	Tick           time.Duration // period of Table.Tick
	Heartbeat      time.Duration // period of heartbeats to each neighbor
	SilenceLimit   time.Duration // silence after which a neighbor is accused
	ConfirmQuorum  time.Duration // suspicion by two or more accusers becomes failure
	ConfirmSingle  time.Duration // suspicion by one accuser becomes failure
	ForgetAfter    time.Duration // failed and left members are forgotten
	RejoinInterval time.Duration // pause between attempts to reach a failed member
}

// DefaultTiming returns the periods that Table uses for a zero Timing.
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

// entry is what a table holds of one member.
type entry struct {
	member    baobabtide.Member
	positions [Rings]uint64 // place on each ring
	hash      uint64        // part of the digest, 0 for failed and left members
	changed   time.Time     // last change of status
}

// Table is one node's view of the membership. Its owner serializes calls.
type Table struct {
	timing     Timing
	self       string // key of the node's own entry, always present
	entries    map[string]*entry
	digest     uint64          // xor of the hashes of all entries
	buckets    [Buckets]uint64 // xor of the hashes of the entries of a bucket
	heard      map[string]time.Time
	lastTick   time.Time
	lateness   time.Duration // smoothed delay of ticks, shows that this node is short of processor time
	lastRejoin time.Time
	generation uint64 // rises with each change
	rng        *rand.Rand
}

// New returns a table that holds only the node itself.
func New(self baobabtide.Member, timing Timing, rng *rand.Rand) *Table {
	if timing == (Timing{}) {
		timing = DefaultTiming()
	}
	t := &Table{
		timing:  timing,
		self:    self.Name,
		entries: make(map[string]*entry),
		heard:   make(map[string]time.Time),
		rng:     rng,
	}
	t.put(self, time.Time{})
	return t
}

// Self returns the node's own record.
func (t *Table) Self() baobabtide.Member { return t.entries[t.self].member }

// Generation rises with each change of the table.
func (t *Table) Generation() uint64 { return t.generation }

// Get returns the record of a member.
func (t *Table) Get(name string) (baobabtide.Member, bool) {
	e, ok := t.entries[name]
	if !ok {
		return baobabtide.Member{}, false
	}
	return e.member, true
}

// Members returns all records ordered by name.
func (t *Table) Members() []baobabtide.Member {
	members := make([]baobabtide.Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b baobabtide.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Announce replaces the targets of the node itself.
func (t *Table) Announce(targets []baobabtide.Target, now time.Time) Delta {
	self := t.Self()
	if slices.Equal(self.Targets, targets) {
		return Delta{}
	}
	self.Targets = slices.Clone(targets)
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// Leave marks the node itself as left. The others remember its targets for the
// process that may follow.
func (t *Table) Leave(targets []baobabtide.Target, now time.Time) Delta {
	self := t.Self()
	self.Status = baobabtide.Left
	self.Targets = targets
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// Former returns the targets that a member's former process announced, nil
// where the record is not of a later process than the known one.
func (t *Table) Former(m *baobabtide.Member) []baobabtide.Target {
	e, ok := t.entries[m.Name]
	if !ok || e.member.Process == m.Process || e.member.Incarnation >= m.Incarnation {
		return nil
	}
	return e.member.Targets
}

// Merge takes in what another node sent and returns the part that was new. An
// accusation of the node itself is refuted with a higher incarnation.
func (t *Table) Merge(d Delta, now time.Time) Delta {
	var fresh Delta
	for _, m := range d.Members {
		if m.Name == t.self {
			fresh.Append(t.refute(m.Incarnation, m.Status, now))
			continue
		}
		if t.mergeMember(m, now) {
			fresh.Members = append(fresh.Members, t.entries[m.Name].member)
		}
	}
	for _, u := range d.Statuses {
		if u.Name == t.self {
			fresh.Append(t.refute(u.Incarnation, u.Status, now))
			continue
		}
		if t.mergeStatus(u, now) {
			fresh.Statuses = append(fresh.Statuses, statusOf(&t.entries[u.Name].member))
		}
	}
	return fresh
}

func statusOf(m *baobabtide.Member) StatusUpdate {
	return StatusUpdate{Name: m.Name, Incarnation: m.Incarnation, Status: m.Status, Accusers: m.Accusers}
}

func (t *Table) mergeMember(m baobabtide.Member, now time.Time) bool {
	e, ok := t.entries[m.Name]
	if !ok {
		if m.Status >= baobabtide.Failed {
			return false // a forgotten member must not come back as failed
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

// refute answers a record of the node itself that is not its own.
func (t *Table) refute(incarnation uint64, status baobabtide.Status, now time.Time) Delta {
	self := t.Self()
	if self.Status == baobabtide.Left || incarnation < self.Incarnation {
		return Delta{}
	}
	if incarnation == self.Incarnation && status == baobabtide.Alive {
		return Delta{}
	}
	self.Incarnation = incarnation + 1
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// put stores a record and keeps the digests.
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
		delete(t.heard, m.Name)
	}
	t.replaceHash(e, recordHash(&m), bucketOf(m.Name))
	e.member = m
	t.generation++
}

func (t *Table) replaceHash(e *entry, hash uint64, bucket int) {
	t.digest ^= e.hash ^ hash
	t.buckets[bucket] ^= e.hash ^ hash
	e.hash = hash
}

func (t *Table) forget(name string) {
	e := t.entries[name]
	t.replaceHash(e, 0, bucketOf(name))
	delete(t.entries, name)
	delete(t.heard, name)
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

// recordHash covers what a member announces. Failed and left members count as
// absent, so that nodes that forgot them agree with those that have not. A
// suspicion does not count: it is confirmed or refuted before a repair is due.
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

// Digest returns a hash over the live members.
func (t *Table) Digest() uint64 { return t.digest }

// BucketDigests returns a hash over the live members of each bucket.
func (t *Table) BucketDigests() []uint64 { return slices.Clone(t.buckets[:]) }

// DifferingBuckets returns the buckets whose hash differs from the peer's.
func (t *Table) DifferingBuckets(peer []uint64) []int {
	var differing []int
	for i := range min(len(peer), Buckets) {
		if peer[i] != t.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}
