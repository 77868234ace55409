package btcaller

import (
	"time"

	"github.com/baobabtide/baobabtide/btclock"
)

const (
	// paceRate is the rate in bytes a second at which a client is never late. A client that
	// sends one byte now and then becomes late as fast as one that sends nothing.
	paceRate = 16 << 10

	// paceCredit is the longest time without progress that doesn't make a client late. It allows
	// for the retransmission of a lost segment, 200 ms at the least.
	paceCredit = 250 * time.Millisecond

	// bodyCredit is the same for a streamed body, which is late only below minBodyRate. An upload
	// over a slow link is no fault, and gaps of a few hundred milliseconds are common there.
	bodyCredit = 500 * time.Millisecond
)

// pace measures how late a client is in sending or receiving. The zero value is of a client
// from which nothing is expected. One goroutine at a time changes it, any may call late.
type pace struct {
	due  btclock.Instant // from which the client is late, unset if nothing is expected
	body bool            // a streamed body is expected; used only by the goroutine that changes the pace
}

// allowance returns the rate in bytes a second at which the client is never late, and the
// longest time without progress that doesn't make it late.
func (p *pace) allowance() (int, time.Duration) {
	if p.body {
		return minBodyRate, bodyCredit
	}
	return paceRate, paceCredit
}

// expect begins to measure. The client is late after grace without progress.
func (p *pace) expect(now time.Time, grace time.Duration) { p.due.Set(now.Add(grace)) }

// progress records that n bytes were sent or received.
func (p *pace) progress(now time.Time, n int) {
	late, ok := p.due.Since(now)
	if !ok {
		return
	}
	rate, credit := p.allowance()
	late -= time.Duration(n) * time.Second / time.Duration(rate)
	p.due.Set(now.Add(-max(late, -credit)))
}

// pause ends to measure and returns a value with which resume continues.
func (p *pace) pause(now time.Time) time.Duration {
	late, ok := p.due.Since(now)
	p.due.Clear()
	if !ok {
		_, credit := p.allowance()
		return -credit
	}
	return late
}

// resume continues to measure after a pause, in which the client was not expected to make
// progress.
func (p *pace) resume(now time.Time, late time.Duration) { p.due.Set(now.Add(-late)) }

// late returns how late the client is, 0 if it is not.
func (p *pace) late(now time.Time) time.Duration {
	late, ok := p.due.Since(now)
	if !ok {
		return 0
	}
	return max(0, late)
}
