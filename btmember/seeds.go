package btmember

import (
	"slices"
	"time"
)

const (
	joinPhase      = 10 * time.Second       // time after the start in which seeds may still be starting too
	joinInterval   = 500 * time.Millisecond // between contacts during the join phase
	isolatedBatch  = 4                      // seeds contacted at once by an isolated node; some may be gone for good
	steadyInterval = 10 * time.Second       // between contacts after the join phase
)

// Seeds selects the seeds to contact. A seed that is not a live member is
// contacted repeatedly, because it may belong to a partition of the membership
// that has never been connected to this one.
type Seeds struct {
	Addresses []string
	Started   time.Time

	next        int           // index of the next seed to contact, modulo the number of seeds
	lastContact time.Time     // zero before the first contact
	jitter      time.Duration // added to each interval, below joinInterval
}

// NewSeeds returns the seeds of a node that started at the given time. The jitter,
// at least 0 and below 1, spreads the contacts of different nodes over seeds and
// time.
func NewSeeds(addresses []string, started time.Time, jitter float64) *Seeds {
	return &Seeds{
		Addresses: addresses,
		Started:   started,
		next:      int(jitter * float64(len(addresses))),
		jitter:    time.Duration(jitter * float64(joinInterval)),
	}
}

// Due returns the addresses of the seeds to contact now: up to isolatedBatch for a
// node that knows no other live member, at most one otherwise, and none before the
// interval has elapsed. The function known reports whether an address is the
// node's own or that of a live member.
func (s *Seeds) Due(now time.Time, isolated bool, known func(address string) bool) []string {
	interval, limit := steadyInterval, 1
	if now.Sub(s.Started) < joinPhase {
		interval = joinInterval
	}
	if isolated {
		limit = isolatedBatch
	}
	if !s.lastContact.IsZero() && now.Sub(s.lastContact) < interval+s.jitter {
		return nil
	}
	var due []string
	for range s.Addresses {
		address := s.Addresses[s.next%len(s.Addresses)]
		s.next++
		if !known(address) {
			s.lastContact = now
			if due = append(due, address); len(due) == limit {
				break
			}
		}
	}
	return due
}

// Add adds addresses that are not yet among the seeds. If there were none, the
// first of the new addresses is the next to be contacted.
func (s *Seeds) Add(addresses []string) {
	if len(s.Addresses) == 0 {
		s.next = 0
	}
	for _, address := range addresses {
		if !slices.Contains(s.Addresses, address) {
			s.Addresses = append(s.Addresses, address)
		}
	}
}
