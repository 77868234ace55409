// Package btlogstandin implements a stand-in for the platform's append-only log
// service, with limited retention and configurable faults.
package btlogstandin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
)

const maxPageEntries = 1000 // entries returned by one read

// Faults configures the faults of the log.
type Faults struct {
	Outage      bool          // every call fails and has no effect
	Delay       time.Duration // added to every call
	LoseAnswers int           // number of the next appends that take effect and get no response
	Truncate    int           // number of the newest configuration records to delete, once
}

// Check returns an error for the first field that is invalid.
func (f *Faults) Check() error {
	if f.Delay < 0 || f.Delay > time.Minute {
		return baobabtide.Fieldf("Delay", "%s, 0s to 1m are allowed", f.Delay)
	}
	if f.LoseAnswers < 0 || f.Truncate < 0 {
		return baobabtide.Fieldf("LoseAnswers, Truncate", "negative")
	}
	return nil
}

// stream holds the records of one stream.
type stream struct {
	entries []baobabtide.Entry // the newest records, with contiguous offsets
	next    baobabtide.Offset  // offset of the next append
	changed chan struct{}      // closed and replaced with each append
}

// Log implements baobabtide.Log in memory. All methods are safe for concurrent
// use.
type Log struct {
	retention int
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[baobabtide.Stream]*stream
	faults  Faults
}

var _ baobabtide.Log = (*Log)(nil)

// New returns a log that keeps the newest retention records of each stream and
// accepts appendsPerSecond appends per second over all streams, with bursts of a
// tenth of that.
func New(retention, appendsPerSecond int) *Log {
	return &Log{
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), max(1, appendsPerSecond/10)),
		streams:   make(map[baobabtide.Stream]*stream),
	}
}

// SetFaults replaces the faults. If f.Truncate is set, it deletes the newest records of
// the configuration stream at once.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Truncate > 0 {
		s := l.stream(baobabtide.ConfigStream)
		lost := min(f.Truncate, len(s.entries))
		s.entries = s.entries[:len(s.entries)-lost]
		s.next -= baobabtide.Offset(lost)
	}
	f.Truncate = 0
	l.faults = f
}

// stream returns a stream, which it creates if needed. The caller holds the lock.
func (l *Log) stream(name baobabtide.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{next: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// applyFaults delays a call by the current Faults.Delay. It fails with ErrUnavailable
// during an outage or if ctx ends first.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, ctx.Err())
		}
	}
	if faults.Outage {
		return fmt.Errorf("%w: outage", baobabtide.ErrUnavailable)
	}
	return nil
}

// ErrOffset is returned for an append whose expected offset is not the next offset
// of the stream.
var ErrOffset = errors.New("next offset is not the expected one")

// Append implements baobabtide.Log.
func (l *Log) Append(ctx context.Context, name baobabtide.Stream, data []byte) (baobabtide.Entry, error) {
	return l.AppendAt(ctx, name, data, 0)
}

// AppendAt appends a record that must get the expected offset, 0 for any. It fails with
// ErrOffset if the record would get another one, and otherwise as Append does.
func (l *Log) AppendAt(ctx context.Context, name baobabtide.Stream, data []byte, expected baobabtide.Offset) (baobabtide.Entry, error) {
	if err := l.applyFaults(ctx); err != nil {
		return baobabtide.Entry{}, err
	}
	if !l.limiter.Allow() {
		return baobabtide.Entry{}, fmt.Errorf("%w: too many appends", baobabtide.ErrUnavailable)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if expected != 0 && expected != s.next {
		return baobabtide.Entry{}, fmt.Errorf("%w: %d, not %d", ErrOffset, s.next, expected)
	}
	entry := baobabtide.Entry{Offset: s.next, Time: time.Now().UTC(), Data: slices.Clone(data)}
	s.next++
	s.entries = append(s.entries, entry)
	if len(s.entries) > l.retention {
		s.entries = slices.Clone(s.entries[len(s.entries)-l.retention:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return baobabtide.Entry{}, baobabtide.ErrUncertain
	}
	return entry, nil
}

// Read implements baobabtide.Log.
func (l *Log) Read(ctx context.Context, name baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return baobabtide.Page{}, err
	}
	timeout := time.After(wait)
	for {
		page, changed, err := l.page(name, from)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, ctx.Err())
		}
	}
}

// page returns up to maxPageEntries records of a stream from an offset on, 0 for
// the oldest, and a channel that is closed with the next append. It fails with
// ErrRetention if records from that offset are no longer stored.
func (l *Log) page(name baobabtide.Stream, from baobabtide.Offset) (baobabtide.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := baobabtide.Page{Next: s.next}
	if len(s.entries) == 0 {
		return page, s.changed, nil
	}
	page.First = s.entries[0].Offset
	if from == 0 {
		from = page.First
	}
	if from < page.First {
		return page, nil, baobabtide.ErrRetention
	}
	if from < s.next {
		entries := s.entries[from-page.First:]
		page.Entries = slices.Clone(entries[:min(len(entries), maxPageEntries)])
	}
	return page, s.changed, nil
}
