// Package btmember keeps the membership of the nodes: who is there, what each
// announces, who is suspected and who has failed. It does no I/O and takes the
// time as an argument.
package btmember

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

const maxAccusers = 8

// StatusUpdate raises the status of a member without repeating what it
// announces.
type StatusUpdate struct {
	Name        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Status      baobabtide.Status `cbor:"3,keyasint"`
	Accusers    []string          `cbor:"4,keyasint,omitempty"`
}

// Check reports the first field that breaks a rule.
func (u *StatusUpdate) Check() error {
	if u.Name == "" {
		return baobabtide.Fieldf("Name", "empty")
	}
	if u.Status > baobabtide.Left {
		return baobabtide.Fieldf("Status", "%d is unknown", u.Status)
	}
	if len(u.Accusers) > maxAccusers {
		return baobabtide.Fieldf("Accusers", "%d exceed %d", len(u.Accusers), maxAccusers)
	}
	return nil
}

// Delta is a set of changes to the membership.
type Delta struct {
	Members  []baobabtide.Member
	Statuses []StatusUpdate
}

// Empty tells whether nothing changed.
func (d *Delta) Empty() bool { return len(d.Members) == 0 && len(d.Statuses) == 0 }

// Append adds the changes of o.
func (d *Delta) Append(o Delta) {
	d.Members = append(d.Members, o.Members...)
	d.Statuses = append(d.Statuses, o.Statuses...)
}

// Join returns the least upper bound of two records of one member. It is
// commutative, associative and idempotent: the higher incarnation wins, within
// one the higher sequence gives what is announced and the higher status wins.
func Join(a, b baobabtide.Member) baobabtide.Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	joined := a
	if b.Sequence > a.Sequence {
		joined = b
	}
	joined.Status, joined.Accusers = joinStatus(a.Status, a.Accusers, b.Status, b.Accusers)
	return joined
}

func joinStatus(as baobabtide.Status, aa []string, bs baobabtide.Status, ba []string) (baobabtide.Status, []string) {
	status := max(as, bs)
	if status != baobabtide.Suspect {
		return status, nil
	}
	accusers := slices.Concat(aa, ba)
	slices.Sort(accusers)
	accusers = slices.Compact(accusers)
	return status, accusers[:min(len(accusers), maxAccusers)]
}

// joinUpdate applies a status update to a record of the same member.
func joinUpdate(m baobabtide.Member, u StatusUpdate) baobabtide.Member {
	if u.Incarnation != m.Incarnation {
		return m
	}
	m.Status, m.Accusers = joinStatus(m.Status, m.Accusers, u.Status, u.Accusers)
	return m
}

// sameRecord tells whether two records of one member carry the same knowledge.
func sameRecord(a, b *baobabtide.Member) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence &&
		a.Status == b.Status && slices.Equal(a.Accusers, b.Accusers)
}
