package btroute

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

// A node compares only some targets of a version, so that neither its connections nor the time
// since it last heard of a target grow with the fleet. The targets of its own zone and those of
// other zones form a ring each. The nodes of a zone are spread evenly over both rings, and each
// compares the targets that follow its position. Neighbors on a ring share most of their
// targets, so load that one of them moves away spreads further.
const (
	localArc  = 8 // targets of the node's own zone that are compared
	remoteArc = 4 // targets of other zones that are compared; more if the own zone has fewer than localArc
)

// ring holds targets in the order of the hashes of their nodes, which mixes zones.
type ring struct {
	targets []*Target
	start   int // first target that the node compares
}

// at returns the target that follows the node's position by i, which is less than the number of
// targets.
func (r *ring) at(i int) *Target { return r.targets[(r.start+i)%len(r.targets)] }

// newRing returns the ring of targets for a node at a position.
func newRing(targets []*Target, position float64) ring {
	return ring{targets: targets, start: int(position * float64(len(targets)))}
}

// ringPosition returns the position of the node on all rings, 0 to 1: its rank among the live
// nodes of its zone by the hashes of their names, divided by their number.
func ringPosition(members []baobabtide.Member, locality Locality) float64 {
	own := xxhash.Sum64String(locality.Node)
	rank, count := 0, 0
	for i := range members {
		m := &members[i]
		if m.Status >= baobabtide.Failed || m.Zone != locality.Zone || m.Name == locality.Node {
			continue
		}
		count++
		if xxhash.Sum64String(m.Name) < own {
			rank++
		}
	}
	return float64(rank) / float64(count+1)
}

// compareOnRings compares targets by their order on a ring.
func compareOnRings(a, b *Target) int {
	switch {
	case a.nodeHash < b.nodeHash:
		return -1
	case a.nodeHash > b.nodeHash:
		return 1
	}
	return strings.Compare(a.Ref.Name, b.Ref.Name)
}

// arrange orders the targets of the pool, those of the node's own zone first, and lays out its
// rings for a node at a position.
func (p *Pool) arrange(position float64) {
	slices.SortFunc(p.targets, func(a, b *Target) int {
		if aLocal, bLocal := a.Distance <= SameZone, b.Distance <= SameZone; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return compareOnRings(a, b)
	})
	locals := 0
	for _, t := range p.targets {
		if t.Distance <= SameZone {
			locals++
		}
	}
	p.local, p.remote = newRing(p.targets[:locals], position), newRing(p.targets[locals:], position)
}
