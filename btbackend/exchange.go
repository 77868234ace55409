package btbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	maxIdleNonIdempotent   = 500 * time.Millisecond // for non-idempotent requests; the backend server may have closed a connection that was idle for longer
	shedRetryAfter         = 200 * time.Millisecond // about one or two runs of most routes, after which a slot is likely to be free
	deadlineSlack          = 20 * time.Millisecond  // the dispatching node, possibly in another zone, also cancels at the deadline and may do so a moment early
	maxMismatchedResponses = 4                      // responses read in one exchange before it fails because all belong to other requests
	maxSkippedBody         = 16 << 20               // bytes of the body of a response to another request
	skipTimeout            = 500 * time.Millisecond // to receive the body of a response to another request
	maxInterimResponses    = 32                     // 1xx responses before the final one
	maxBlankBytes          = 4                      // bytes of line ends before a status line; some servers send a line end after a body
	statusLineStart        = "HTTP/"
)

var errUnknownSender = errors.New("read response: it may belong to an earlier request on the connection")

// Do implements baobabtide.Backend. If ctx is canceled or the deadline passes, the
// exchange fails and its connection is closed. An idle connection that is reset before a byte
// of the request was sent says nothing about the backend server, so the request is sent once
// more.
func (p *Pool) Do(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
	resp, reused, err := p.try(ctx, req)
	if reused && errors.Is(err, ErrReset) && baobabtide.AsRequestError(err).Verdict == baobabtide.NotRun && (req.Body == nil || req.Body.Rewind()) {
		resp, _, err = p.try(ctx, req)
	}
	return resp, err
}

// try sends a request once. It also reports whether the connection had been used before.
func (p *Pool) try(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, bool, error) {
	maxIdle := defaultIdleTimeout
	if !req.Idempotent {
		maxIdle = maxIdleNonIdempotent
	}
	c, err := p.acquire(ctx, req.ID, maxIdle)
	if err != nil {
		return nil, false, errorBeforeSend(ctx, req.Deadline, err)
	}
	reused := c.used
	if err := c.SetDeadline(req.Deadline); err != nil {
		p.discard(c)
		return nil, reused, baobabtide.Refuse(baobabtide.ReasonBackend, shedRetryAfter, err)
	}
	sentAt := time.Now()
	stopWatching := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := p.exchange(ctx, c, req)
	if err != nil {
		stopWatching()
		p.discard(c)
		if !c.sent && errors.Is(err, ErrReset) {
			return nil, reused, errorBeforeSend(ctx, req.Deadline, err)
		}
		return nil, reused, errorAfterSend(ctx, req.Deadline, err)
	}
	if p.OnNotice != nil {
		p.OnNotice(p.notice(resp), sentAt)
	}
	converted, err := p.response(c, req, resp, stopWatching)
	return converted, reused, err
}

// errorBeforeSend returns the error of a request of which nothing was sent. Its
// reason is ReasonUnreached only if neither the deadline nor a cancellation ended
// the request, because those prove nothing about the backend server. A server that resets
// the connection is up, so the reason is ReasonOverload then.
func errorBeforeSend(ctx context.Context, deadline time.Time, err error) *baobabtide.RequestError {
	switch {
	case deadlineReached(deadline):
		return baobabtide.Refuse(baobabtide.ReasonDeadline, 0, err)
	case ctx.Err() != nil:
		return baobabtide.Refuse(baobabtide.ReasonCanceled, 0, err)
	case isReset(err):
		return baobabtide.Refuse(baobabtide.ReasonOverload, shedRetryAfter, err)
	default:
		return baobabtide.Refuse(baobabtide.ReasonUnreached, shedRetryAfter, err)
	}
}

// deadlineReached reports whether a request that fails now counts as ended by its
// deadline: less than deadlineSlack is left.
func deadlineReached(deadline time.Time) bool { return time.Until(deadline) < deadlineSlack }

// errorAfterSend returns the error of a request that was sent at least in part and
// may have run.
func errorAfterSend(ctx context.Context, deadline time.Time, err error) *baobabtide.RequestError {
	re := &baobabtide.RequestError{Reason: baobabtide.ReasonBackend, Reached: true, Err: err}
	switch {
	case deadlineReached(deadline):
		re.Reason = baobabtide.ReasonDeadline
	case ctx.Err() != nil:
		re.Reason = baobabtide.ReasonCanceled
	}
	return re
}

// exchange writes a request and reads the header of its response. It skips responses
// to other requests.
func (p *Pool) exchange(ctx context.Context, c *backendConn, req *baobabtide.Request) (*fasthttp.Response, error) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	p.fillRequest(out, req)
	c.sent = false
	err := out.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return nil, markReset(fmt.Errorf("write request: %w", err))
	}
	for i := range maxMismatchedResponses {
		resp, err := p.readResponse(c, req)
		if err != nil && i == 0 && c.reader.Buffered() == 0 {
			return nil, markReset(err)
		}
		if err != nil {
			return nil, err
		}
		from := p.senderOf(c, req, resp)
		c.used = true
		switch from {
		case senderThis:
			return resp, nil
		case senderUnknown:
			fasthttp.ReleaseResponse(resp)
			return nil, errUnknownSender
		}
		err = discardBody(c, resp, maxSkippedBody, skipTimeout, req.Deadline)
		fasthttp.ReleaseResponse(resp)
		if err == nil {
			err = c.SetReadDeadline(req.Deadline)
		}
		if err == nil {
			err = ctx.Err() // a cancellation before the deadline was restored
		}
		if err != nil {
			return nil, fmt.Errorf("skip a response to another request: %w", err)
		}
	}
	return nil, errors.New("read response: received only responses to other requests")
}

// markReset adds ErrReset to the error of a connection that was reset.
func markReset(err error) error {
	if isReset(err) {
		return fmt.Errorf("%w: %w", ErrReset, err)
	}
	return err
}

// readResponse reads the header of a response and skips interim responses before it. The
// response's body can be read as a stream.
func (p *Pool) readResponse(c *backendConn, req *baobabtide.Request) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.Header.SetNoDefaultContentType(true)
	resp.SkipBody = req.Method == fasthttp.MethodHead
	if err := readFinalHeader(c.reader, &resp.Header); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, fmt.Errorf("read response: %w", err)
	}
	if resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return resp, nil
	}
	if err := resp.ReadBody(c.reader, 0); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, fmt.Errorf("read response: %w", err)
	}
	return resp, nil
}

// readFinalHeader reads the header of a response and skips those of interim responses. It
// fails at the first byte that can't belong to a response. Status 101 is invalid, because
// no request asks for another protocol.
func readFinalHeader(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := checkStatusLineStart(r); err != nil {
			return err
		}
		if _, err := btconn.ReadHead(r); err != nil {
			return err
		}
		if err := header.Read(r); err != nil {
			return err
		}
		switch status := header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return fmt.Errorf("status %d is no response", status)
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return fmt.Errorf("over %d interim responses", maxInterimResponses)
}

// checkStatusLineStart waits for the start of a status line, after at most maxBlankBytes
// of line ends, and fails at the first byte that differs from it. fasthttp checks nothing
// before the end of the line.
func checkStatusLineStart(r *bufio.Reader) error {
	for range maxBlankBytes {
		b, err := r.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		_, _ = r.Discard(1) // buffered
	}
	for i := range len(statusLineStart) {
		b, err := r.Peek(i + 1)
		if err != nil {
			return err
		}
		if b[i] != statusLineStart[i] {
			return fmt.Errorf("%q does not start a status line", b)
		}
	}
	return nil
}

// sender states to which request a response belongs.
type sender uint8

const (
	senderUnknown sender = iota
	senderThis           // the request that waits for it
	senderOther          // another one, such as a second response to the previous request
)

// senderOf returns to which request a response on c belongs. A response must repeat the
// request's ID. One with a status of 400 or more may omit it if it is the first on its
// connection: no earlier request can have caused it. Without IDs, a response may repeat the
// attempt.
func (p *Pool) senderOf(c *backendConn, req *baobabtide.Request, resp *fasthttp.Response) sender {
	name, want := p.identity(req)
	id := resp.Header.Peek(name)
	required := p.Names.RequestID != "" && req.ID != ""
	switch {
	case want == "" && c.used && len(id) > 0 && p.notRun(resp):
		return senderUnknown
	case want == "", string(id) == want:
		return senderThis
	case len(id) > 0, required && resp.StatusCode() < fasthttp.StatusBadRequest:
		return senderOther
	case required && c.used:
		return senderUnknown
	default:
		return senderThis
	}
}

// identity returns the name and the value of the header by which a response names its request.
func (p *Pool) identity(req *baobabtide.Request) (string, string) {
	if p.Names.RequestID != "" {
		return p.Names.RequestID, req.ID
	}
	return p.Names.Attempt, req.Attempt
}

// discardBody reads and discards the body of a response, so that the next response on the
// connection can be read. It fails if the body exceeds limit bytes, has not arrived within
// the timeout or before the deadline, or ends only with the connection. It changes the
// connection's read deadline.
func discardBody(c *backendConn, resp *fasthttp.Response, limit int64, timeout time.Duration, deadline time.Time) error {
	stream := resp.BodyStream()
	if stream == nil {
		return nil
	}
	if resp.Header.ContentLength() == lengthUntilClose {
		return errors.New("the body ends only with the connection")
	}
	if until := time.Now().Add(timeout); until.Before(deadline) {
		deadline = until
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(stream, limit+1))
	if err == nil && n > limit {
		err = fmt.Errorf("the body exceeds %d bytes", limit)
	}
	return err
}

// fillRequest sets the method, target, headers and body of an HTTP request.
func (p *Pool) fillRequest(out *fasthttp.Request, req *baobabtide.Request) {
	out.Header.SetMethod(req.Method)
	out.Header.SetRequestURI(req.Target)
	out.Header.SetHost(p.address)
	out.Header.SetNoDefaultContentType(true)
	out.UseHostHeader = true
	if req.Host != "" {
		out.Header.SetHost(req.Host)
	}
	n := &p.Names
	for _, f := range req.Header {
		switch f.Name {
		case fasthttp.HeaderHost:
			out.Header.SetHost(f.Value)
		case n.Account: // a node without support for accounts forwards what its caller sent
		default:
			out.Header.Add(f.Name, f.Value)
		}
	}
	remaining := max(1, time.Until(req.Deadline).Milliseconds())
	setHeader(out, n.Timeout, strconv.FormatInt(remaining, 10))
	setHeader(out, n.Depth, strconv.Itoa(req.Depth+1))
	setHeader(out, n.Attempt, req.Attempt)
	setHeader(out, n.Expected, p.Name)
	setHeader(out, n.Origin, req.Origin)
	setHeader(out, n.Account, req.Account)
	if req.Retried {
		setHeader(out, n.Retried, "1")
	}
	if req.Body != nil {
		out.SetBodyStream(req.Body, int(req.BodyLength))
	}
}

// setHeader sets a header unless its name or its value is empty.
func setHeader(out *fasthttp.Request, name, value string) {
	if name != "" && value != "" {
		out.Header.Set(name, value)
	}
}
