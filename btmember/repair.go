package btmember

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

// Version identifies the revision of a member's record without its contents.
type Version struct {
	Name        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Status      baobabtide.Status `cbor:"4,keyasint,omitempty"`
}

// Difference holds the records that two nodes must exchange to agree.
type Difference struct {
	Send []baobabtide.Member // records that are missing or older on the other node
	Want []string            // names of members whose records are missing or older here
}

// bucketSet returns the set of the listed buckets. Numbers out of range are
// ignored.
func bucketSet(buckets []int) [Buckets]bool {
	var set [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
			set[b] = true
		}
	}
	return set
}

// Versions returns the versions of all records in the given buckets.
func (t *Table) Versions(buckets []int) []Version {
	selected := bucketSet(buckets)
	var versions []Version
	for name, e := range t.entries {
		if selected[bucketOf(name)] {
			m := &e.member
			versions = append(versions, Version{Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence, Status: m.Status})
		}
	}
	return versions
}

// Compare compares this node's records in the given buckets with the versions that
// another node holds in them. Failed and left members that the other node does
// not know are not sent.
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
	selected := bucketSet(buckets)
	for name, e := range t.entries {
		if selected[bucketOf(name)] && !known[name] && e.member.Status < baobabtide.Failed {
			d.Send = append(d.Send, e.member)
		}
	}
	return d
}

// newerThan reports whether v identifies a record with data that m lacks.
func (v Version) newerThan(m *baobabtide.Member) bool {
	if v.Incarnation != m.Incarnation {
		return v.Incarnation > m.Incarnation
	}
	return v.Sequence > m.Sequence || v.Status > m.Status
}

// newerThan reports whether m holds data that the record identified by v lacks.
func newerThan(m *baobabtide.Member, v Version) bool {
	if v.Incarnation != m.Incarnation {
		return m.Incarnation > v.Incarnation
	}
	return m.Sequence > v.Sequence || m.Status > v.Status
}

// Lookup returns the records of the named members. Unknown names are skipped. It
// removes adjacent duplicates from names in place.
func (t *Table) Lookup(names []string) []baobabtide.Member {
	members := make([]baobabtide.Member, 0, len(names))
	for _, name := range slices.Compact(names) {
		if e, ok := t.entries[name]; ok {
			members = append(members, e.member)
		}
	}
	return members
}
