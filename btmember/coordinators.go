package btmember

import (
	"cmp"
	"slices"

	"github.com/baobabtide/baobabtide"
)

// coordinatorRing is the ring whose positions order the coordinators. It is not that of the readers
// of the log, so that one node rarely does both.
const coordinatorRing = 1

// Coordinators returns the members of each zone that coordinate the limits of accounts in the order
// in which one takes the place of another, perZone of them at most: the alive members with the lowest
// hash of their name.
func (t *Table) Coordinators(perZone int) map[string][]baobabtide.Member {
	zones := make(map[string][]*entry)
	for _, e := range t.entries {
		if e.member.Status == baobabtide.Alive {
			zones[e.member.Zone] = append(zones[e.member.Zone], e)
		}
	}
	coordinators := make(map[string][]baobabtide.Member, len(zones))
	for zone, candidates := range zones {
		slices.SortFunc(candidates, func(a, b *entry) int {
			return cmp.Compare(a.positions[coordinatorRing], b.positions[coordinatorRing])
		})
		for _, e := range candidates[:min(perZone, len(candidates))] {
			coordinators[zone] = append(coordinators[zone], e.member)
		}
	}
	return coordinators
}
