package btnode

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfollow"
)

const (
	minReadBackoff = 100 * time.Millisecond // upper limit of the random pause after the first failed read; doubles with each further one
	maxReadBackoff = 2 * time.Second        // limit of the doubling
	maxStallPause  = 500 * time.Millisecond // the same after reads that the log answers without the records that it holds
	logBehindPause = 500 * time.Millisecond // between reads while the log ends before the configuration in force
	downHold       = 2 * time.Second        // for which the log must answer a node before others cease to read in its place
)

// readHealth decides from the results of a node's reads whether the log answers it. The zero
// value is ready to use.
type readHealth struct {
	down       bool      // the log does not answer, and others read in this node's place
	failures   int       // reads in a row that were not answered
	setbacks   int       // reads in a row that failed or advanced nothing although they should have
	answeredAt time.Time // of the first answered read since the last one that was not, zero if there is none
}

// record records the result of a read. timedOut says that it took as long as it may. One quick
// failure may be the end of a connection that the log has closed.
func (h *readHealth) record(err error, timedOut bool, now time.Time) {
	if err == nil || errors.Is(err, btfollow.ErrBehind) {
		h.setbacks = 0
	} else {
		h.setbacks++
	}
	if errors.Is(err, baobabtide.ErrUnavailable) || errors.Is(err, baobabtide.ErrUncertain) {
		h.failures++
		h.answeredAt = time.Time{}
		h.down = h.down || timedOut || h.failures > 1
		return
	}
	h.failures = 0
	if h.answeredAt.IsZero() {
		h.answeredAt = now
	}
	h.down = h.down && now.Sub(h.answeredAt) < downHold
}

// pause returns the time until the next read after one with the result err.
func (h *readHealth) pause(err error) time.Duration {
	limit := maxReadBackoff
	switch {
	case err == nil:
		return 0
	case errors.Is(err, btfollow.ErrBehind):
		return logBehindPause
	case errors.Is(err, btfollow.ErrNoProgress):
		limit = maxStallPause
	}
	return rand.N(min(minReadBackoff<<min(h.setbacks-1, 8), limit))
}
