// Package btmember maintains a node's view of the cluster membership: the known
// nodes, what each of them announces, and whether it is alive, suspect, failed or
// left. It does no I/O and takes the current time as an argument.
package btmember

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

const maxAccusers = 8 // accusers kept of one suspect member

// StatusUpdate is a change of a member's status without the rest of its record.
type StatusUpdate struct {
	Name        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Status      baobabtide.Status `cbor:"3,keyasint"`
	Accusers    []string          `cbor:"4,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
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

// Delta is a set of membership changes.
type Delta struct {
	Members  []baobabtide.Member
	Statuses []StatusUpdate
}

// Empty reports whether the delta holds no changes.
func (d *Delta) Empty() bool { return len(d.Members) == 0 && len(d.Statuses) == 0 }

// Append adds the changes of o to d.
func (d *Delta) Append(o Delta) {
	d.Members = append(d.Members, o.Members...)
	d.Statuses = append(d.Statuses, o.Statuses...)
}

// Join returns the least upper bound of two records of the same member. It is
// commutative, associative and idempotent. The record with the higher incarnation
// wins. Within one incarnation, the announced data comes from the record with the
// higher sequence, and the higher status wins.
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
	if a.Sequence == b.Sequence {
		joined.LogDown = a.LogDown || b.LogDown // a node of an earlier version passes the record on without it
	}
	joined.Status, joined.Accusers = joinStatus(a.Status, a.Accusers, b.Status, b.Accusers)
	return joined
}

// Covers reports whether a record holds all data of another one of the same member.
func Covers(m, other *baobabtide.Member) bool {
	joined := Join(*m, *other)
	return sameRecord(&joined, m)
}

// Covers reports whether an update has the effect of another one.
func (u *StatusUpdate) Covers(other *StatusUpdate) bool {
	return u.Name == other.Name && u.Incarnation == other.Incarnation && u.Status == other.Status && slices.Equal(u.Accusers, other.Accusers)
}

// joinStatus returns the higher status and, for a suspect member, the union of the
// accusers, sorted and cut to maxAccusers.
func joinStatus(aStatus baobabtide.Status, aAccusers []string, bStatus baobabtide.Status, bAccusers []string) (baobabtide.Status, []string) {
	status := max(aStatus, bStatus)
	if status != baobabtide.Suspect {
		return status, nil
	}
	accusers := slices.Concat(aAccusers, bAccusers)
	slices.Sort(accusers)
	accusers = slices.Compact(accusers)
	return status, accusers[:min(len(accusers), maxAccusers)]
}

// joinUpdate applies a status update to a record of the same member. An update of
// another incarnation has no effect.
func joinUpdate(m baobabtide.Member, u StatusUpdate) baobabtide.Member {
	if u.Incarnation != m.Incarnation {
		return m
	}
	m.Status, m.Accusers = joinStatus(m.Status, m.Accusers, u.Status, u.Accusers)
	return m
}

// sameRecord reports whether two records of the same member are equal. Incarnation
// and sequence identify the announced data, but for LogDown.
func sameRecord(a, b *baobabtide.Member) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence && a.LogDown == b.LogDown &&
		a.Status == b.Status && slices.Equal(a.Accusers, b.Accusers)
}
