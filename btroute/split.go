package btroute

import (
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// goldenPart is the fractional part of the golden ratio in 64 bits. Its
// multiples fill an interval evenly, so that each part of a split route gets
// its share of every run of requests and not just on average.
const goldenPart = 0x9e3779b97f4a7c15

// split shares a route's requests between services by weight.
type split struct {
	parts []splitPart
	sum   uint64
	next  atomic.Uint64
}

type splitPart struct {
	line  *Line
	until uint64 // sum of the weights up to this part
}

func (t *Table) newSplit(customer string, shares []baobabtide.ServiceShare) *split {
	s := &split{}
	for _, share := range shares {
		s.sum += uint64(share.Weight)
		s.parts = append(s.parts, splitPart{line: t.Line(customer, share.Service), until: s.sum})
	}
	return s
}

// choose returns the line of the next request.
func (s *split) choose() *Line {
	point := (s.next.Add(1) * goldenPart) >> 32 // 0 to below 1<<32
	at := point * s.sum >> 32
	for _, part := range s.parts {
		if at < part.until {
			return part.line
		}
	}
	return s.parts[len(s.parts)-1].line
}
