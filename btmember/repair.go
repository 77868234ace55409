package btmember

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

// Version says how much is known of a member without repeating it.
type Version struct {
	Name        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Status      baobabtide.Status `cbor:"4,keyasint,omitempty"`
}

// Difference is what two nodes lack of each other's knowledge.
type Difference struct {
	Send []baobabtide.Member // records that the other node lacks
	Want []string            // names of records that this node lacks
}

// bucketSet marks the buckets of a list that exist.
func bucketSet(buckets []int) [Buckets]bool {
	var set [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
			set[b] = true
		}
	}
	return set
}

// Versions returns how much is known of the members of some buckets.
func (t *Table) Versions(buckets []int) []Version {
	wanted := bucketSet(buckets)
	var versions []Version
	for name, e := range t.entries {
		if wanted[bucketOf(name)] {
			m := &e.member
			versions = append(versions, Version{Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence, Status: m.Status})
		}
	}
	return versions
}

// Compare tells what this node and one that knows the given versions of some
// buckets lack of each other's knowledge.
func (t *Table) Compare(buckets []int, versions []Version) Difference {
	var d Difference
	known := make(map[string]bool, len(versions))
	for _, v := range versions {
		known[v.Name] = true
		e, ok := t.entries[v.Name]
		if !ok {
			d.Want = append(d.Want, v.Name)
			continue
		}
		if v.newerThan(&e.member) {
			d.Want = append(d.Want, v.Name)
		}
		if newerThan(&e.member, v) {
			d.Send = append(d.Send, e.member)
		}
	}
	wanted := bucketSet(buckets)
	for name, e := range t.entries {
		if wanted[bucketOf(name)] && !known[name] && e.member.Status < baobabtide.Failed {
			d.Send = append(d.Send, e.member)
		}
	}
	return d
}

// newerThan tells whether v stands for knowledge that m lacks.
func (v Version) newerThan(m *baobabtide.Member) bool {
	if v.Incarnation != m.Incarnation {
		return v.Incarnation > m.Incarnation
	}
	return v.Sequence > m.Sequence || v.Status > m.Status
}

// newerThan tells whether m holds knowledge that v does not stand for.
func newerThan(m *baobabtide.Member, v Version) bool {
	if v.Incarnation != m.Incarnation {
		return m.Incarnation > v.Incarnation
	}
	return m.Sequence > v.Sequence || m.Status > v.Status
}

// Lookup returns the records of some members.
func (t *Table) Lookup(names []string) []baobabtide.Member {
	members := make([]baobabtide.Member, 0, len(names))
	for _, name := range slices.Compact(names) {
		if e, ok := t.entries[name]; ok {
			members = append(members, e.member)
		}
	}
	return members
}
