// Package btclock provides points in time that goroutines can share and that do not
// shift when the wall clock is changed.
package btclock

import (
	"sync/atomic"
	"time"
)

// epoch holds a monotonic clock reading, so that differences from it are monotonic.
var epoch = time.Now()

// Instant is a point in time on the monotonic clock. The zero value is unset. All
// methods are safe for concurrent use.
type Instant struct {
	nanos atomic.Int64 // since epoch, 0 for unset
}

// nanos returns the nanoseconds from epoch to t, or 1 instead of 0, which means unset.
func nanos(t time.Time) int64 {
	if n := int64(t.Sub(epoch)); n != 0 {
		return n
	}
	return 1
}

// Set stores t, which must have a monotonic clock reading: it comes from time.Now, or
// from such a time by Add.
func (i *Instant) Set(t time.Time) { i.nanos.Store(nanos(t)) }

// SetFirst stores t unless the instant is already set.
func (i *Instant) SetFirst(t time.Time) {
	if i.nanos.Load() == 0 {
		i.nanos.CompareAndSwap(0, nanos(t))
	}
}

// Clear unsets the instant.
func (i *Instant) Clear() { i.nanos.Store(0) }

// After reports whether the instant is set and later than t.
func (i *Instant) After(t time.Time) bool {
	n := i.nanos.Load()
	return n != 0 && n > nanos(t)
}

// Since returns the duration from the instant to t, negative if the instant is later
// than t. It returns false if the instant is unset.
func (i *Instant) Since(t time.Time) (time.Duration, bool) {
	n := i.nanos.Load()
	if n == 0 {
		return 0, false
	}
	return time.Duration(nanos(t) - n), true
}

// TrySet sets the instant to now and returns true. It returns false and changes nothing
// if the instant is less than pause before now or if another goroutine sets it at the
// same time.
func (i *Instant) TrySet(now time.Time, pause time.Duration) bool {
	n := i.nanos.Load()
	if n != 0 && nanos(now)-n < int64(pause) {
		return false
	}
	return i.nanos.CompareAndSwap(n, nanos(now))
}
