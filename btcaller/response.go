package btcaller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
)

const statusClientClosed = 499 // non-standard status for a caller that disconnected and doesn't read the response

// ErrorBody is the JSON body of the response to a request that failed or was
// refused.
type ErrorBody struct {
	Verdict baobabtide.Verdict
	Reason  baobabtide.Reason
	Message string `json:",omitempty"`
}

// status returns the HTTP status for an error. 429 and 503 guarantee that the
// request has not run; after 502 or 504 it may have run.
func status(err *baobabtide.RequestError) int {
	switch err.Reason {
	case baobabtide.ReasonBadRequest, baobabtide.ReasonNoCustomer:
		return fasthttp.StatusBadRequest
	case baobabtide.ReasonManyFields:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case baobabtide.ReasonSlowClient:
		return fasthttp.StatusRequestTimeout
	case baobabtide.ReasonUnknownKey:
		return fasthttp.StatusUnauthorized
	case baobabtide.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case baobabtide.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case baobabtide.ReasonDuplicateKey:
		return fasthttp.StatusConflict
	case baobabtide.ReasonTooDeep:
		return fasthttp.StatusLoopDetected
	case baobabtide.ReasonCanceled:
		return statusClientClosed
	}
	switch {
	case err.Verdict == baobabtide.NotRun && (err.Reason == baobabtide.ReasonRateLimit || err.Reason == baobabtide.ReasonAccountLimit):
		return fasthttp.StatusTooManyRequests
	case err.Verdict == baobabtide.NotRun:
		return fasthttp.StatusServiceUnavailable
	case err.Reason == baobabtide.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// cancellation returns an error with its actual reason where it says that the request was
// canceled, but its caller still waits: the server's stop has ended, or the request was
// canceled elsewhere.
func (ex *exchange) cancellation(err *baobabtide.RequestError) *baobabtide.RequestError {
	cause := context.Cause(ex.conn.ctx)
	if err.Reason != baobabtide.ReasonCanceled || errors.Is(cause, btconn.ErrCallerClosed) {
		return err
	}
	replaced := *err
	replaced.Reason = baobabtide.ReasonLost
	if errors.Is(cause, errStopped) {
		replaced.Reason = baobabtide.ReasonDraining
		if err.Verdict == baobabtide.NotRun {
			replaced.RetryAfter = minRestartTime
		}
	}
	return &replaced
}

// refuse sets the exchange's response to one that reports an error.
func (ex *exchange) refuse(err *baobabtide.RequestError) {
	err = ex.cancellation(err)
	resp := newResponse()
	resp.SetStatusCode(status(err))
	resp.Header.Set(HeaderVerdict, err.Verdict.String())
	resp.Header.Set(HeaderReason, string(err.Reason))
	names := &ex.conn.server.Names
	if err.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, names.retryAfter(err.RetryAfter))
	}
	if names.RequestID != "" && ex.req != nil && ex.req.ID != "" {
		resp.Header.Set(names.RequestID, ex.req.ID)
	}
	body := ErrorBody{Verdict: err.Verdict, Reason: err.Reason}
	if err.Err != nil {
		body.Message = err.Err.Error()
	}
	if data, encodeErr := btcodec.EncodeJSON(body); encodeErr == nil {
		resp.Header.SetContentType("application/json")
		resp.SetBodyRaw(data)
	}
	resp.SkipBody = ex.headOnly
	ex.resp, ex.release = resp, func() {}
}

func newResponse() *fasthttp.Response {
	resp := fasthttp.AcquireResponse()
	resp.Header.SetNoDefaultContentType(true)
	return resp
}

// retryAfter formats a positive duration for the Retry-After header: in whole
// seconds, rounded up, or, if FractionalRetry is set, in seconds with three
// decimals, at least 0.001.
func (n *HeaderNames) retryAfter(d time.Duration) string {
	if n.FractionalRetry {
		return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// respond sets the exchange's response from that of the service. It buffers a body of
// at most maxBufferedResponse bytes, so that a truncated one is answered with 502. A
// longer body is streamed; if it is truncated, the caller's connection is closed before
// the end of the body. cancel is called when the body is no longer read.
func (ex *exchange) respond(in *baobabtide.Response, cancel func()) {
	if in.Length > maxBufferedResponse {
		ex.resp, ex.release = ex.streamedResponse(in, cancel)
		return
	}
	reserving := &reservingReader{ex: ex, body: in.Body, left: maxBufferedResponse + 1}
	data, err := io.ReadAll(reserving)
	if err == nil && (reserving.refused || len(data) > maxBufferedResponse) {
		in.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(data), in.Body), Closer: in.Body}
		ex.resp, ex.release = ex.streamedResponse(in, cancel)
		return
	}
	_ = in.Body.Close()
	cancel()
	if err == nil && !ex.headOnly && in.Length >= 0 && int64(len(data)) != in.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		ex.refuse(truncatedError(err))
		return
	}
	resp := ex.responseHeader(in)
	if ex.headOnly {
		resp.SkipBody = true
		resp.Header.SetContentLength(int(max(0, in.Length)))
	} else {
		resp.SetBodyRaw(data)
	}
	ex.resp, ex.release = resp, func() {}
}

// reservingReader reads the body of a response that is buffered, up to left bytes. It reserves
// the bytes of each read before, and ends early if they are not available.
type reservingReader struct {
	ex       *exchange
	body     io.Reader
	left     int64 // bytes
	reserved int64 // bytes
	held     int64 // bytes read
	refused  bool  // the budget has no room for more
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	if r.left <= 0 || r.refused {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.left)]
	if missing := r.held + int64(len(p)) - r.reserved; missing > 0 {
		class := btbudget.Ordinary
		if r.held+int64(len(p)) > smallResponse {
			class = btbudget.General
		}
		if !r.ex.reserve(btbudget.Response, class, missing) {
			r.refused = true
			return 0, io.EOF
		}
		r.reserved += missing
	}
	n, err := r.body.Read(p)
	r.held += int64(n)
	r.left -= int64(n)
	return n, err
}

// streamedResponse returns a response whose body is read while it is written to the
// caller, and a function that releases the body.
func (ex *exchange) streamedResponse(in *baobabtide.Response, cancel func()) (*fasthttp.Response, func()) {
	resp := ex.responseHeader(in)
	body := newTimedBody(in.Body, ex.req.Deadline, cancel)
	resp.SetBodyStream(body, int(in.Length))
	return resp, func() { _ = body.Close() }
}

// timedBody is a response body that is closed as soon as it has been read to its end or
// its deadline has passed, even if a caller that does not read delays the next Read.
type timedBody struct {
	timer *time.Timer

	mu      sync.Mutex
	body    io.ReadCloser
	onClose func()
	err     error // of each Read once the body is closed, nil before
}

func newTimedBody(body io.ReadCloser, deadline time.Time, onClose func()) *timedBody {
	b := &timedBody{body: body, onClose: onClose}
	b.timer = time.AfterFunc(time.Until(deadline), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.close(os.ErrDeadlineExceeded)
	})
	return b
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.close(io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It may be called more than once.
func (b *timedBody) Close() error {
	b.timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.close(io.ErrClosedPipe)
	return nil
}

// close closes the body, if it is open, and makes each further Read return err. The caller
// holds b.mu.
func (b *timedBody) close(err error) {
	if b.err != nil {
		return
	}
	b.err = err
	_ = b.body.Close()
	b.onClose()
}

// truncatedError returns the error of a response whose body could not be read
// completely.
func truncatedError(err error) *baobabtide.RequestError {
	var re *baobabtide.RequestError
	if errors.As(err, &re) {
		return re
	}
	return &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated, Err: err}
}

// responseHeader returns a response to the caller with the status and header of the
// service's response, without its body.
func (ex *exchange) responseHeader(in *baobabtide.Response) *fasthttp.Response {
	resp := newResponse()
	resp.SetStatusCode(in.Status)
	for _, f := range in.Header {
		resp.Header.Add(f.Name, f.Value)
	}
	resp.Header.Set(HeaderVerdict, baobabtide.Ran.String())
	if in.Version != "" {
		resp.Header.Set(HeaderVersion, in.Version)
	}
	if in.Node != "" {
		resp.Header.Set(HeaderNode, in.Node)
	}
	return resp
}

// joinedBody is a body that reads from Reader and closes Closer.
type joinedBody struct {
	io.Reader
	io.Closer
}
