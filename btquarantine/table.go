package btquarantine

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	maxEntries         = 4096                   // bounds the memory to about 2 MB
	suspectLifetime    = time.Hour              // of an entry that is not quarantined, after its latest change
	quarantineLifetime = 24 * time.Hour         // of one that is: a new version may run the request, and three crashes a day are bearable
	retryAfter         = time.Minute            // of a quarantined request, which an operator may clear at any time
	suspectRetryAfter  = 500 * time.Millisecond // a few runs
	recentCrash        = 10 * time.Second       // after which a server that crashed should be back
)

// trialPauses holds how long requests are refused after the third crash and after further ones.
var trialPauses = [...]time.Duration{10 * time.Minute, time.Hour, quarantineLifetime}

// Standing is what the crashes of servers allow requests with one digest.
type Standing uint8

// Standings, in the order of the crashes.
const (
	// Clear requests run without restrictions. At most one server crashed under them, as
	// under every request that happened to run there.
	Clear Standing = iota
	// Suspect requests run one at a time on a server, so that a further crash tells which of
	// them is to blame.
	Suspect
	// Quarantined requests are refused, but for a trial after some time.
	Quarantined
)

// Refuse returns the refusal of a request with a standing, nil if it may run.
func Refuse(standing Standing) *baobabtide.RequestError {
	if standing != Quarantined {
		return nil
	}
	return baobabtide.Refuse(baobabtide.ReasonQuarantined, retryAfter, errors.New("the request has crashed the backend servers that ran it"))
}

// Situation describes the server on which a request is about to run.
type Situation struct {
	SuspectRuns bool // a request with standing Suspect runs on the server
	Servers     int  // servers of the service that are up, including this one
}

// Admit returns why a request must not run now, nil if it may: it is quarantined, or it is
// suspect and another such request runs on the server, or it could take down the last server
// of a service while others, which have just crashed, are not back yet. It also returns the
// standing of the request.
func (t *Table) Admit(digest baobabtide.Digest, service string, situation Situation, now time.Time) (Standing, *baobabtide.RequestError) {
	standing := t.Standing(digest, now)
	switch {
	case standing != Suspect:
		return standing, Refuse(standing)
	case situation.SuspectRuns:
		return standing, baobabtide.Refuse(baobabtide.ReasonSuspect, suspectRetryAfter, errors.New("another request that may have crashed servers runs"))
	case situation.Servers <= 1 && t.crashedRecently(service, now):
		return standing, baobabtide.Refuse(baobabtide.ReasonSuspect, suspectRetryAfter, errors.New("it may crash the last backend server of the service"))
	default:
		return standing, nil
	}
}

// Table holds the entries of a node. The zero value is empty. All methods are safe for
// concurrent use.
type Table struct {
	size    atomic.Int64 // number of entries, to look up nothing while there are none
	mu      sync.RWMutex
	entries map[baobabtide.Digest]*record
	crashed map[string]time.Time // by service, when a server last crashed
}

// record is an entry with the time of its latest change.
type record struct {
	Entry
	changedAt time.Time
}

// lifetime returns how long the record is kept after its latest change.
func (r *record) lifetime() time.Duration {
	if r.Quarantined() {
		return quarantineLifetime
	}
	return suspectLifetime
}

// trialAfter returns how long quarantined requests are refused before one of them runs as a
// suspect: a crash under an innocent request at the same time as others may have put it here,
// and new versions of servers may run it. Each further crash makes the time longer.
func (r *record) trialAfter() time.Duration {
	i := min(len(r.Crashes)-threshold, len(trialPauses)-1)
	return trialPauses[i]
}

// Standing returns the standing of requests with a digest.
func (t *Table) Standing(digest baobabtide.Digest, now time.Time) Standing {
	if t.size.Load() == 0 {
		return Clear
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.entries[digest]
	switch {
	case r == nil || now.Sub(r.changedAt) > r.lifetime():
		return Clear
	case r.Quarantined() && now.Sub(r.changedAt) <= r.trialAfter():
		return Quarantined
	case len(r.Crashes) >= threshold-1:
		return Suspect
	default:
		return Clear
	}
}

// RecordCrash records that an incarnation of a server crashed while it ran a request. It
// returns the entry if that is new.
func (t *Table) RecordCrash(req *baobabtide.Request, crash Crash, now time.Time) (Entry, bool) {
	if req.Digest == (baobabtide.Digest{}) {
		return Entry{}, false
	}
	path, _, _ := strings.Cut(req.Target, "?")
	entry := Entry{
		Digest: req.Digest, Service: req.Service, Method: req.Method, Path: path[:min(len(path), maxPathLength)],
		Crashes: []Crash{crash},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.entries[req.Digest]; r != nil {
		entry.Epoch = r.Epoch
	}
	return t.merge(&entry, now)
}

// Merge adds an entry of another node and reports whether that changes the table.
func (t *Table) Merge(entry *Entry, now time.Time) bool {
	if r := (&record{Entry: *entry}); entry.Age > r.lifetime() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, changed := t.merge(entry, now.Add(-entry.Age))
	return changed
}

// Clear clears the requests with a digest, because a server has run one of them to its end
// or an operator wants it. It returns the entry if there were crashes to clear.
func (t *Table) Clear(digest baobabtide.Digest, now time.Time) (Entry, bool) {
	if !t.hasCrashes(digest) {
		return Entry{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.entries[digest]
	if r == nil || len(r.Crashes) == 0 {
		return Entry{}, false
	}
	r.Epoch++
	r.Crashes = nil
	r.changedAt = now
	return r.Entry, true
}

// hasCrashes reports whether servers crashed under requests with a digest.
func (t *Table) hasCrashes(digest baobabtide.Digest) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.entries[digest]
	return r != nil && len(r.Crashes) > 0
}

// merge adds an entry that last changed at changedAt. It returns the entry of the table and
// whether it has changed. The caller holds t.mu.
func (t *Table) merge(entry *Entry, changedAt time.Time) (Entry, bool) {
	r := t.entries[entry.Digest]
	if r != nil {
		if !r.merge(entry) {
			return Entry{}, false
		}
		if changedAt.After(r.changedAt) {
			r.changedAt = changedAt
		}
	} else {
		if t.entries == nil {
			t.entries = make(map[baobabtide.Digest]*record)
			t.crashed = make(map[string]time.Time)
		}
		t.expire(changedAt)
		r = &record{Entry: *entry, changedAt: changedAt}
		r.Crashes = slices.Clone(entry.Crashes)
		t.entries[entry.Digest] = r
		t.size.Store(int64(len(t.entries)))
	}
	if len(entry.Crashes) > 0 && changedAt.After(t.crashed[entry.Service]) {
		t.crashed[entry.Service] = changedAt
	}
	snapshot := r.Entry
	snapshot.Crashes = slices.Clone(r.Crashes)
	return snapshot, true
}

// expire removes what has outlived its lifetime if the table is full, and the least important
// tenth of the entries if that removes too few: those with the fewest crashes, oldest first.
func (t *Table) expire(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	records := make([]*record, 0, len(t.entries))
	for digest, r := range t.entries {
		if now.Sub(r.changedAt) > r.lifetime() {
			delete(t.entries, digest)
			continue
		}
		records = append(records, r)
	}
	excess := len(t.entries) - maxEntries*9/10
	if excess <= 0 {
		return
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changedAt.Compare(b.changedAt))
	})
	for _, r := range records[:excess] {
		delete(t.entries, r.Digest)
	}
}

// crashedRecently reports whether a server of the service has crashed so shortly ago that it
// may not be back yet.
func (t *Table) crashedRecently(service string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	at, ok := t.crashed[service]
	return ok && now.Sub(at) < recentCrash
}

// Entries returns all entries, also those that were cleared, with their ages, in the order
// of their digests.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entries := make([]Entry, 0, len(t.entries))
	for _, r := range t.entries {
		age := now.Sub(r.changedAt)
		if age > r.lifetime() {
			continue
		}
		entry := r.Entry
		entry.Crashes = slices.Clone(r.Crashes)
		entry.Age = max(0, age)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return entries
}
