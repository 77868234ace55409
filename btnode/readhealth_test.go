package btnode

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfollow"
)

// The log counts as down for a node after a read that timed out or two failed ones, and until it has
// answered for a while: each change is told to all nodes.
func TestReadHealth(t *testing.T) {
	odd := errors.New("the response can't be decoded")
	type read struct {
		at       time.Duration
		err      error
		timedOut bool
		want     bool // down afterwards
	}
	tests := map[string][]read{
		"one failure":              {{0, baobabtide.ErrUnavailable, false, false}, {time.Second, nil, false, false}},
		"time-out":                 {{0, baobabtide.ErrUncertain, true, true}},
		"two failures":             {{0, baobabtide.ErrUnavailable, false, false}, {0, baobabtide.ErrUncertain, false, true}},
		"every other read fails":   {{0, baobabtide.ErrUnavailable, false, false}, {1, nil, false, false}, {2, baobabtide.ErrUnavailable, false, false}},
		"odd answers":              {{0, odd, false, false}, {1, odd, false, false}, {2, errNoSnapshot, false, false}, {3, btfollow.ErrNoProgress, false, false}, {4, btfollow.ErrBehind, false, false}},
		"answered again":           {{0, baobabtide.ErrUncertain, true, true}, {1, nil, false, true}, {downHold, nil, false, true}, {downHold + 1, nil, false, false}},
		"answered for a moment":    {{0, baobabtide.ErrUncertain, true, true}, {1, nil, false, true}, {2, baobabtide.ErrUncertain, false, true}, {downHold + 1, nil, false, true}},
		"answered without records": {{0, baobabtide.ErrUncertain, true, true}, {1, btfollow.ErrNoProgress, false, true}, {downHold + 1, btfollow.ErrNoProgress, false, false}},
	}
	for name, reads := range tests {
		t.Run(name, func(t *testing.T) {
			var h readHealth
			for i, read := range reads {
				h.record(read.err, read.timedOut, time.Unix(100, 0).Add(read.at))
				if diff := cmp.Diff(read.want, h.down); diff != "" {
					t.Errorf("down after read %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// A log that has records and does not return them must be asked again in time.
func TestPauseAfterRead(t *testing.T) {
	tests := map[string]struct {
		err   error
		limit time.Duration
	}{
		"success":     {nil, 0},
		"no progress": {btfollow.ErrNoProgress, maxStallPause},
		"no answer":   {baobabtide.ErrUnavailable, maxReadBackoff},
		"log behind":  {btfollow.ErrBehind, logBehindPause},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h readHealth
			for range 100 {
				h.record(tt.err, false, time.Unix(100, 0))
				if pause := h.pause(tt.err); pause > tt.limit {
					t.Fatalf("pause of %s, at most %s are allowed", pause, tt.limit)
				}
			}
		})
	}
}
