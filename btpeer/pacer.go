package btpeer

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	pacedFraction = 0.85    // of the link's rate, the rest is for gossip, requests and headers
	maxUnpaced    = 8 << 10 // bytes of a frame that never waits, the size of a write buffer
	bitsPerByte   = 8
	bitsPerMega   = 1e6
)

// Pacer spreads the bodies that a node sends to other nodes over time, at a little less
// than the rate of its link. They wait in the node then, and small messages don't wait
// behind them in the queue of the link. A nil Pacer doesn't delay anything. It is safe for
// concurrent use.
type Pacer struct {
	limiter *rate.Limiter
}

// NewPacer returns a Pacer for a link with the given rate in Mbit/s, nil if the rate is 0.
func NewPacer(linkMegabits float64) *Pacer {
	if linkMegabits <= 0 {
		return nil
	}
	bytesPerSecond := linkMegabits * bitsPerMega / bitsPerByte * pacedFraction
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), maxBodyPart)}
}

// wait returns when a frame with n bytes of body, at most maxBodyPart, may be sent. Frames
// of at most maxUnpaced bytes are counted but don't wait. It fails if ctx ends first.
func (p *Pacer) wait(ctx context.Context, n int) error {
	if p == nil || n == 0 {
		return nil
	}
	reservation := p.limiter.ReserveN(time.Now(), n)
	delay := reservation.Delay()
	if n <= maxUnpaced || delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return context.Cause(ctx)
	}
}
