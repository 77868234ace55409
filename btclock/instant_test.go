package btclock

import (
	"testing"
	"time"
)

func TestInstant(t *testing.T) {
	now := time.Now()
	var i Instant
	if _, ok := i.Since(now); ok || i.After(now.Add(-time.Hour)) {
		t.Error("an unset instant has a time")
	}
	i.SetFirst(now)
	i.SetFirst(now.Add(time.Second))
	if d, ok := i.Since(now.Add(3 * time.Second)); !ok || d != 3*time.Second {
		t.Errorf("%s since the first time that was set, set %v", d, ok)
	}
	i.Set(now.Add(time.Second))
	if !i.After(now) || i.After(now.Add(time.Second)) {
		t.Error("the instant has a wrong time")
	}
	i.Clear()
	if i.After(now) {
		t.Error("a cleared instant has a time")
	}
}

func TestTrySet(t *testing.T) {
	now := time.Now()
	var i Instant
	steps := []struct {
		at   time.Duration
		want bool
	}{{0, true}, {time.Second / 2, false}, {time.Second, true}, {time.Second, false}, {3 * time.Second, true}}
	for _, s := range steps {
		if got := i.TrySet(now.Add(s.at), time.Second); got != s.want {
			t.Errorf("TrySet after %s: %v", s.at, got)
		}
	}
	i.Clear()
	if !i.TrySet(now.Add(3*time.Second), time.Second) {
		t.Error("TrySet failed on a cleared instant")
	}
}

// Setting the wall clock back, such as by an hour, must not affect an instant:
// differences are computed from the monotonic clock readings of the times, which
// Round(0) would strip.
func TestInstantUsesMonotonicClock(t *testing.T) {
	before := time.Now()
	var i Instant
	i.Set(before)
	if d, _ := i.Since(time.Now()); d < 0 || d > time.Since(before) {
		t.Errorf("%s by the instant, %s by the monotonic clock", d, time.Since(before))
	}
}
