// Package btlogstandin implements a stand-in for the platform's append-only log
// service, with limited retention and configurable faults.
package btlogstandin

import (
	"cmp"
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
	Forget      bool          // deletes all configuration records, once; waiting reads of them get no response
	Silence     bool          // open connections never get another response, once; new ones do
	Restore     time.Duration `json:",omitzero"`  // age of the copy from which the log is restored, once: later records of all streams are lost, and waiting reads get no response
	Refusals    []Refusal     `json:",omitempty"` // the first one of a caller applies
}

// RefusalMode is the way in which the log refuses calls.
type RefusalMode string

// Modes of a refusal.
const (
	Unavailable     RefusalMode = "Unavailable"     // status 503
	TooManyRequests RefusalMode = "TooManyRequests" // status 429
	Reset           RefusalMode = "Reset"           // the connection is reset
	NoResponse      RefusalMode = "NoResponse"      // no response; the connection is closed once the refusal ends
)

// RefusalModes returns all modes of a refusal.
func RefusalModes() []RefusalMode {
	return []RefusalMode{Unavailable, TooManyRequests, Reset, NoResponse}
}

// Refusal refuses all calls of a caller, also its waiting reads. They have no effect.
type Refusal struct {
	Caller string // IP address of the log to which only this caller connects
	Mode   RefusalMode
}

// Check returns an error for the first field that is invalid.
func (f *Faults) Check() error {
	if f.Delay < 0 || f.Delay > time.Minute {
		return baobabtide.Fieldf("Delay", "%s, 0s to 1m are allowed", f.Delay)
	}
	if f.LoseAnswers < 0 || f.Truncate < 0 {
		return baobabtide.Fieldf("LoseAnswers, Truncate", "negative")
	}
	if f.Restore < 0 || f.Restore > time.Minute {
		return baobabtide.Fieldf("Restore", "%s, 0s to 1m are allowed", f.Restore)
	}
	for i, r := range f.Refusals {
		if !slices.Contains(RefusalModes(), r.Mode) {
			return baobabtide.Fieldf(fmt.Sprintf("Refusals[%d].Mode", i), "%q is unknown", r.Mode)
		}
	}
	return nil
}

// stream holds the records of one stream.
type stream struct {
	entries []baobabtide.Entry // the newest records, with contiguous offsets within an epoch
	dropped baobabtide.Offset  // of the newest record that is no longer stored, but for those that a restore has lost
	next    baobabtide.Offset  // offset of the next append
	changed chan struct{}      // closed and replaced with each append
	forgets int                // how often records were deleted for which reads may wait
}

// first returns the offset of the oldest record, that of the next append if there is none.
func (s *stream) first() baobabtide.Offset {
	if len(s.entries) == 0 {
		return s.next
	}
	return s.entries[0].Offset
}

// drop deletes the oldest records.
func (s *stream) drop(count int) {
	if count > 0 {
		s.dropped = s.entries[count-1].Offset
		s.entries = slices.Clone(s.entries[count:])
	}
}

// restore deletes the records that were added after a time. The offsets of later ones are those of the
// next epoch, so that none is given out twice.
func (s *stream) restore(to time.Time) {
	if i := slices.IndexFunc(s.entries, func(e baobabtide.Entry) bool { return e.Time.After(to) }); i >= 0 {
		s.entries = s.entries[:i:i]
	}
	s.next = s.next.NextEpoch() + 1
	s.forgets++
	s.wake()
}

// Log implements baobabtide.Log in memory. All methods are safe for concurrent
// use.
type Log struct {
	retention int
	limiter   *rate.Limiter

	mu            sync.Mutex
	streams       map[baobabtide.Stream]*stream
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	silencedAt    time.Time     // when the open connections fell silent
	acks          []Ack
}

// Ack describes an append to the configuration stream that the log has acknowledged.
type Ack struct {
	Offset baobabtide.Offset
	Time   time.Time
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

		faultsChanged: make(chan struct{}),
	}
}

// SetFaults replaces the faults. Those that apply once take effect before it returns.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Truncate > 0 {
		s := l.stream(baobabtide.ConfigStream)
		lost := min(f.Truncate, len(s.entries))
		s.entries = s.entries[:len(s.entries)-lost]
		s.next -= baobabtide.Offset(lost)
	}
	if f.Forget {
		s := l.stream(baobabtide.ConfigStream)
		s.drop(len(s.entries))
		s.forgets++
		s.wake()
	}
	if f.Restore > 0 {
		copied := time.Now().Add(-f.Restore)
		for _, s := range l.streams {
			s.restore(copied)
		}
		l.acks = slices.DeleteFunc(l.acks, func(a Ack) bool { return a.Time.After(copied) })
	}
	if f.Silence {
		l.silencedAt = time.Now()
	}
	f.Truncate, f.Forget, f.Silence, f.Restore = 0, false, false, 0
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// wake ends the waits for a change of the stream. The caller holds the log's lock.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// silent reports whether a connection that was opened at a time gets no response.
func (l *Log) silent(opened time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !opened.After(l.silencedAt)
}

// refusal returns how the calls of a caller are refused, empty if they are not, and a
// channel that is closed when the faults change.
func (l *Log) refusal(caller string) (RefusalMode, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.faults.Refusals {
		if r.Caller == caller {
			return r.Mode, l.faultsChanged
		}
	}
	return "", l.faultsChanged
}

// refusedError is returned for a call of a caller that the log refuses.
type refusedError struct {
	mode RefusalMode
}

// Error implements error.
func (e *refusedError) Error() string { return "refused: " + string(e.mode) }

// acknowledge records that an append to a stream was answered.
func (l *Log) acknowledge(name baobabtide.Stream, entry baobabtide.Entry) {
	if name != baobabtide.ConfigStream {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks = append(l.acks, Ack{Offset: entry.Offset, Time: entry.Time})
}

// Acks returns the acknowledged appends to the configuration stream, in their order, but for those of records
// that a restore has lost.
func (l *Log) Acks() []Ack {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.acks)
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
	s.drop(len(s.entries) - l.retention)
	s.wake()
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return baobabtide.Entry{}, baobabtide.ErrUncertain
	}
	return entry, nil
}

// errForgotten is returned for a read that waited while the records of its stream were
// deleted.
var errForgotten = errors.New("records were deleted")

// Read implements baobabtide.Log.
func (l *Log) Read(ctx context.Context, name baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	return l.readAs(ctx, "", name, from, wait)
}

// readAs reads for a caller. It fails with a refusedError as soon as the caller is refused.
func (l *Log) readAs(ctx context.Context, caller string, name baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return baobabtide.Page{}, err
	}
	timeout := time.After(wait)
	forgets := l.forgets(name)
	for {
		mode, faultsChanged := l.refusal(caller)
		if mode != "" {
			return baobabtide.Page{}, &refusedError{mode: mode}
		}
		page, changed, err := l.page(name, from)
		if l.forgets(name) != forgets {
			return baobabtide.Page{}, fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, errForgotten)
		}
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, ctx.Err())
		}
	}
}

// forgets returns how often the records of a stream were deleted.
func (l *Log) forgets(name baobabtide.Stream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).forgets
}

// page returns up to maxPageEntries records of a stream from an offset on, 0 for
// the oldest, and a channel that is closed when the stream changes. It fails with
// ErrRetention if records from that offset are no longer stored.
func (l *Log) page(name baobabtide.Stream, from baobabtide.Offset) (baobabtide.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := baobabtide.Page{Next: s.next}
	if len(s.entries) > 0 {
		page.First = s.first()
	}
	if from > 0 && from <= s.dropped {
		return page, nil, baobabtide.ErrRetention
	}
	i, _ := slices.BinarySearchFunc(s.entries, from, func(e baobabtide.Entry, offset baobabtide.Offset) int { return cmp.Compare(e.Offset, offset) })
	entries := s.entries[i:]
	page.Entries = slices.Clone(entries[:min(len(entries), maxPageEntries)])
	if len(entries) <= maxPageEntries {
		page.Through = s.next - 1
	}
	return page, s.changed, nil
}
