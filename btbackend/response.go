package btbackend

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

const (
	idleMargin       = time.Second // a connection is closed this long before the backend server would close it
	lengthUntilClose = -2          // fasthttp's content length of a body that ends when the connection is closed

	maxRetryAfter = 10 * time.Minute

	maxShedBody = 64 << 10              // bytes of the body of a response that reports that the request has not run
	shedTimeout = 50 * time.Millisecond // to receive that body; the request could go to another target meanwhile
)

// response converts a response of the backend server, whose body is then streamed. It
// returns an error if the backend server did not run the request.
func (p *Pool) response(c *backendConn, req *baobabtide.Request, in *fasthttp.Response, stopWatching func() bool) (*baobabtide.Response, error) {
	resp := &baobabtide.Response{Status: in.StatusCode(), Length: int64(in.Header.ContentLength()), Version: req.Version}
	shed := resp.Status == fasthttp.StatusMisdirectedRequest
	for name, value := range in.Header.All() {
		switch string(name) {
		case p.Names.Shed:
			shed = true
		case "Keep-Alive":
			c.idleTimeout = keepAliveTimeout(string(value))
		case p.Names.Attempt, p.Names.Load: // of no use to callers
		default:
			if !hopByHop(string(name)) {
				resp.Header = append(resp.Header, baobabtide.HeaderField{Name: string(name), Value: string(value)})
			}
		}
	}
	body := &responseBody{pool: p, conn: c, in: in, stopWatching: stopWatching, reuse: !in.ConnectionClose()}
	resp.Body = body
	if in.BodyStream() == nil {
		body.atEOF = true
		resp.Length = max(0, resp.Length)
	}
	if resp.Length == lengthUntilClose {
		resp.Length = -1
		body.reuse = false
	}
	if shed {
		refusal := shedError(resp.Status, retryAfter(in)) // before Close, which releases in
		body.reuse = body.reuse && p.tellsRefusals(c, req, in)
		body.atEOF = body.reuse && discardBody(c, in, maxShedBody, shedTimeout, req.Deadline) == nil
		_ = body.Close()
		return nil, refusal
	}
	return resp, nil
}

// tellsRefusals reports whether a second copy of a refusal can be told from the response to
// a later request on the connection.
func (p *Pool) tellsRefusals(c *backendConn, req *baobabtide.Request, refusal *fasthttp.Response) bool {
	if p.Names.RequestID != "" {
		return c.recordRefusal(req.ID, req.Deadline)
	}
	return p.Names.Attempt != "" && len(refusal.Header.Peek(p.Names.Attempt)) > 0
}

// retryAfter returns the time after which the backend server wants a refused request back:
// that of its Retry-After header, in seconds with or without a fraction, at least
// shedRetryAfter and at most maxRetryAfter. A date is not understood.
func retryAfter(in *fasthttp.Response) time.Duration {
	seconds, ok := parseDecimal(strings.TrimSpace(string(in.Header.Peek(fasthttp.HeaderRetryAfter))))
	if !ok {
		return shedRetryAfter
	}
	return max(shedRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
}

// shedError returns the error of a request that the backend server did not run.
// Status 421 means that another backend server has the address.
func shedError(status int, retryAfter time.Duration) *baobabtide.RequestError {
	err := baobabtide.Refuse(baobabtide.ReasonOverload, retryAfter, fmt.Errorf("backend server did not run the request, status %d", status))
	if status == fasthttp.StatusMisdirectedRequest {
		err.Reason = baobabtide.ReasonMisdirected
		err.Err = errors.New("another backend server has the address")
	}
	err.Reached = true
	return err
}

// keepAliveTimeout returns how long a connection may stay idle according to the
// value of a Keep-Alive header: its timeout less idleMargin, at least idleMargin,
// or defaultIdleTimeout if it has none.
func keepAliveTimeout(value string) time.Duration {
	for item := range strings.SplitSeq(value, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return max(idleMargin, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// hopByHop reports whether a header is not passed on with a response: it applies to
// one connection only, or is the content length.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

// responseBody streams the body of a response. Close returns the connection to the
// pool if the body was read to its end.
type responseBody struct {
	pool         *Pool
	conn         *backendConn
	in           *fasthttp.Response
	stopWatching func() bool // stops the watch for cancellation, false if it has fired
	reuse        bool        // the backend server keeps the connection open
	atEOF        bool
	closed       bool
}

// Read implements io.Reader. If the response is truncated, the error is a
// RequestError with ReasonTruncated.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.atEOF {
		return 0, io.EOF
	}
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := b.in.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
		return n, io.EOF
	}
	if err != nil {
		err = &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated, Err: err}
	}
	return n, err
}

// Close returns the connection to the pool. It closes the connection instead if
// the body was not read to its end, the request was canceled or the backend
// server does not keep the connection open. It may be called more than once.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCanceled := b.stopWatching()
	if b.atEOF && b.reuse && notCanceled {
		b.pool.release(b.conn)
	} else {
		b.pool.discard(b.conn)
	}
	fasthttp.ReleaseResponse(b.in)
	return nil
}
