package btpeer

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	pacedFraction = 0.85                  // of the link's rate, the rest is for gossip, requests and headers
	maxUnpaced    = 8 << 10               // bytes of a frame that never waits, the size of a write buffer
	maxDebt       = 50 * time.Millisecond // that small frames can add to the wait of the next body
	bitsPerByte   = 8
	bitsPerMega   = 1e6
)

// Pacer spreads the bodies that a node sends to other nodes over time, at a little less
// than the rate of its link. They wait in the node then, and small messages don't wait
// behind them in the queue of the link. A nil Pacer doesn't delay anything. It is safe for
// concurrent use.
type Pacer struct {
	limiter *rate.Limiter
	turn    *semaphore.Weighted // held by the frame that waits for the limiter; others queue for it in order and can leave
}

// NewPacer returns a Pacer for a link with the given rate in Mbit/s, nil if the rate is 0.
func NewPacer(linkMegabits float64) *Pacer {
	if linkMegabits <= 0 {
		return nil
	}
	bytesPerSecond := linkMegabits * bitsPerMega / bitsPerByte * pacedFraction
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), maxBodyPart), turn: semaphore.NewWeighted(1)}
}

// wait returns when a frame with n bytes of body, at most maxBodyPart, may be sent. Frames
// of at most maxUnpaced bytes are counted but don't wait. It fails if ctx ends first.
func (p *Pacer) wait(ctx context.Context, n int) error {
	switch {
	case p == nil, n == 0:
		return nil
	case n <= maxUnpaced:
		if reservation := p.limiter.ReserveN(time.Now(), n); reservation.Delay() > maxDebt {
			reservation.Cancel()
		}
		return nil
	}
	if err := p.turn.Acquire(ctx, 1); err != nil {
		return context.Cause(ctx)
	}
	defer p.turn.Release(1)
	reservation := p.limiter.ReserveN(time.Now(), n)
	timer := time.NewTimer(reservation.Delay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return context.Cause(ctx)
	}
}
