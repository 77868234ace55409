package btmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
)

// maxSubstitutes is the number of members of a zone that read the log if it does not answer one of
// the readers. It bounds the changes of the membership when the log answers nobody.
const maxSubstitutes = 8

// SetLogDown announces whether the log does not answer this node's reads, and returns the change,
// which is empty if that is announced already or this node has left.
func (t *Table) SetLogDown(down bool, now time.Time) Delta {
	self := t.Self()
	if self.Status == baobabtide.Left || self.LogDown == down {
		return Delta{}
	}
	self.LogDown = down
	self.Sequence++
	t.put(self, now)
	return Delta{Members: []baobabtide.Member{self}}
}

// LogReaders returns the names of the members that read the log, in the order in which they take
// turns. Each zone has perZone of them, the alive members with the lowest hash of their name. If the
// log does not answer one of them, the next maxSubstitutes members of its zone read at once: each of
// these may need as long to find out that the log does not answer it either.
func (t *Table) LogReaders(perZone int) []string {
	if t.readers.generation == t.generation && perZone == t.readerCount {
		return slices.Clone(t.readers.value)
	}
	zones := make(map[string][]*entry) // candidates, in the order of their hashes
	for _, e := range t.entries {
		if e.member.Status == baobabtide.Alive {
			zones[e.member.Zone] = addCandidate(zones[e.member.Zone], e, perZone+maxSubstitutes)
		}
	}
	type turn struct {
		rank   int // within the zone
		member *baobabtide.Member
	}
	var turns []turn
	for _, candidates := range zones {
		for rank, e := range zoneReaders(candidates, perZone) {
			turns = append(turns, turn{rank, &e.member})
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.member.Zone, b.member.Zone))
	})
	names := make([]string, 0, len(turns))
	for _, turn := range turns {
		names = append(names, turn.member.Name)
	}
	t.readers, t.readerCount = cached[[]string]{t.generation, names}, perZone
	return slices.Clone(names)
}

// addCandidate adds a member to the candidates of its zone, and returns those with the lowest
// hashes, most of them at most.
func addCandidate(candidates []*entry, e *entry, most int) []*entry {
	if len(candidates) == most && e.positions[0] >= candidates[most-1].positions[0] {
		return candidates
	}
	i, _ := slices.BinarySearchFunc(candidates, e, func(a, b *entry) int { return cmp.Compare(a.positions[0], b.positions[0]) })
	candidates = slices.Insert(candidates, i, e)
	return candidates[:min(len(candidates), most)]
}

// zoneReaders returns those of the candidates of a zone that read the log. If it answers none of
// them, the first ones keep reading.
func zoneReaders(candidates []*entry, perZone int) []*entry {
	answered := make([]*entry, 0, len(candidates))
	for _, e := range candidates {
		if !e.member.LogDown {
			answered = append(answered, e)
		}
	}
	if len(answered) > 0 && len(answered) < len(candidates) {
		return answered
	}
	return candidates[:min(perZone, len(candidates))]
}
