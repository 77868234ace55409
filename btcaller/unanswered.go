package btcaller

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
)

// UnansweredReason is why a caller got no complete response to a request that was read.
type UnansweredReason string

// Reasons of requests without a complete response.
const (
	CallerClosed  UnansweredReason = "caller-closed"      // the caller closed its connection, or the connection broke
	StopDeadline  UnansweredReason = "stop-deadline"      // the server's stop ended before the response was ready or delivered
	WriteFailed   UnansweredReason = "write-failed"       // the caller did not accept the response
	BodyFailed    UnansweredReason = "truncated-response" // the body of a response that had begun could not be read to its end
	BehindClose   UnansweredReason = "behind-close"       // it was sent behind a request whose response closed the connection
	BehindFailure UnansweredReason = "behind-failure"     // it was sent behind a request whose response could not be written
)

// Unanswered describes a request that was read and whose caller got no complete response.
type Unanswered struct {
	Request  *baobabtide.Request
	Reason   UnansweredReason
	Cause    error         // of the failed write or read, may be nil
	Waited   time.Duration // since the request was read
	Draining bool          // the server was draining
}

// reportUnanswered reports a request without a complete response. Requests that were
// refused before they ran are not reported.
func (c *conn) reportUnanswered(ex *exchange, reason UnansweredReason, cause error) {
	if !ex.admitted || c.server.OnUnanswered == nil {
		return
	}
	switch ended := context.Cause(c.ctx); {
	case errors.Is(ended, errStopped):
		reason = StopDeadline
	case errors.Is(ended, btconn.ErrCallerClosed):
		reason = CallerClosed
	}
	c.server.OnUnanswered(Unanswered{
		Request:  ex.req,
		Reason:   reason,
		Cause:    cause,
		Waited:   time.Since(ex.readAt),
		Draining: c.server.draining.Load(),
	})
}

// failedWriteReason returns the reason for an error of exchange.Write: the body of the
// response is read while it is written.
func failedWriteReason(err error) UnansweredReason {
	var netErr net.Error
	if errors.As(err, &netErr) {
		return WriteFailed
	}
	return BodyFailed
}
