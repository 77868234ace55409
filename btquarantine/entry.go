package btquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	threshold     = 3               // crashes after which requests are quarantined
	maxCrashes    = 2 * threshold   // latest ones kept per entry; requests that run at the same time may crash more than threshold servers
	maxNameLength = 128             // bytes
	maxPathLength = 256             // bytes of the path that is shown to operators
	maxAge        = 100 * time.Hour // of an entry in a message, bounds its fields
)

// Crash is the end of one incarnation of a backend server while it ran a request.
type Crash struct {
	Server      string `cbor:"1,keyasint" json:"Server"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Incarnation"`
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}

// compareAges orders crashes by when the incarnations that ended began.
func compareAges(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Server, b.Server))
}

// Entry holds which servers crashed while they ran requests with one digest. Of two entries
// of a digest the one of the higher epoch holds, and those of the same epoch add up.
type Entry struct {
	Digest  baobabtide.Digest `cbor:"1,keyasint" json:"Digest"`
	Epoch   uint64            `cbor:"2,keyasint,omitempty" json:"Epoch,omitempty"` // increased whenever the requests are cleared
	Service string            `cbor:"3,keyasint" json:"Service"`
	Method  string            `cbor:"4,keyasint,omitempty" json:"Method"`
	Path    string            `cbor:"5,keyasint,omitempty" json:"Path"`    // without the query, maxPathLength bytes at most
	Crashes []Crash           `cbor:"6,keyasint,omitempty" json:"Crashes"` // sorted, without duplicates, maxCrashes at most
	Age     time.Duration     `cbor:"7,keyasint,omitempty" json:"Age"`     // since the latest change, at the time of sending
}

// Quarantined reports whether requests with the digest must not run.
func (e *Entry) Quarantined() bool { return len(e.Crashes) >= threshold }

// Check returns an error for the first field that is invalid.
func (e *Entry) Check() error {
	switch {
	case e.Digest == baobabtide.Digest{}:
		return baobabtide.Fieldf("Digest", "empty")
	case len(e.Service) > maxNameLength || len(e.Method) > maxNameLength:
		return baobabtide.Fieldf("Service, Method", "one exceeds %d bytes", maxNameLength)
	case len(e.Path) > maxPathLength:
		return baobabtide.Fieldf("Path", "%d bytes exceed %d", len(e.Path), maxPathLength)
	case len(e.Crashes) > maxCrashes:
		return baobabtide.Fieldf("Crashes", "%d exceed %d", len(e.Crashes), maxCrashes)
	case e.Age < 0 || e.Age > maxAge:
		return baobabtide.Fieldf("Age", "%s, 0 to %s are allowed", e.Age, maxAge)
	}
	for i := range e.Crashes {
		if name := e.Crashes[i].Server; name == "" || len(name) > maxNameLength {
			return baobabtide.WithinIndex("Crashes", i, baobabtide.Fieldf("Server", "%q, 1 to %d bytes are allowed", name, maxNameLength))
		}
		if i > 0 && compareCrashes(e.Crashes[i-1], e.Crashes[i]) >= 0 {
			return baobabtide.WithinIndex("Crashes", i, baobabtide.Fieldf("Server", "not sorted"))
		}
	}
	return nil
}

// merge adds what another entry of the digest holds and reports whether that changes e.
func (e *Entry) merge(other *Entry) bool {
	if other.Epoch < e.Epoch {
		return false
	}
	if other.Epoch > e.Epoch {
		*e = *other
		e.Crashes = slices.Clone(other.Crashes)
		return true
	}
	before := e.Crashes
	e.Crashes = slices.Concat(before, other.Crashes)
	slices.SortFunc(e.Crashes, compareAges)
	e.Crashes = slices.Compact(e.Crashes)
	e.Crashes = e.Crashes[max(0, len(e.Crashes)-maxCrashes):]
	slices.SortFunc(e.Crashes, compareCrashes)
	return !slices.Equal(before, e.Crashes)
}
