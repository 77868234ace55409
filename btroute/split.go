package btroute

import (
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// goldenRatioFraction is the fractional part of the golden ratio, scaled to 64
// bits. Its multiples modulo 1<<64 are evenly distributed, so that each service of
// a split route gets its share of any sequence of requests, not just on average.
const goldenRatioFraction = 0x9e3779b97f4a7c15

// split distributes a route's requests between services by weight.
type split struct {
	parts       []splitPart
	totalWeight uint64
	sequence    atomic.Uint64
}

type splitPart struct {
	destination      *Destination
	cumulativeWeight uint64 // sum of the weights up to and including this part
}

func (t *Table) newSplit(customer string, shares []baobabtide.ServiceShare) *split {
	s := &split{}
	for _, share := range shares {
		s.totalWeight += uint64(share.Weight)
		s.parts = append(s.parts, splitPart{destination: t.Destination(customer, share.Service), cumulativeWeight: s.totalWeight})
	}
	return s
}

// choose returns the destination of the next request.
func (s *split) choose() *Destination {
	point := (s.sequence.Add(1) * goldenRatioFraction) >> 32 // in [0, 1<<32)
	position := point * s.totalWeight >> 32
	for _, part := range s.parts {
		if position < part.cumulativeWeight {
			return part.destination
		}
	}
	return s.parts[len(s.parts)-1].destination
}
