package btcaller

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

const statusClientClosed = 499 // the caller has gone, nobody reads the answer

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Verdict baobabtide.Verdict
	Reason  baobabtide.Reason
	Message string `json:",omitempty"`
}

// status returns the HTTP status of a refusal. 429 and 503 promise that the
// request has not run; 502 and 504 promise nothing.
func status(err *baobabtide.RequestError) int {
	switch err.Reason {
	case baobabtide.ReasonBadRequest, baobabtide.ReasonNoCustomer:
		return fasthttp.StatusBadRequest
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
	case err.Verdict == baobabtide.NotRun && err.Reason == baobabtide.ReasonRateLimit:
		return fasthttp.StatusTooManyRequests
	case err.Verdict == baobabtide.NotRun:
		return fasthttp.StatusServiceUnavailable
	case err.Reason == baobabtide.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// refuse leaves the answer of a request that got none from its service.
func (x *exchange) refuse(err *baobabtide.RequestError) {
	resp := newResponse()
	resp.SetStatusCode(status(err))
	resp.Header.Set(HeaderVerdict, err.Verdict.String())
	resp.Header.Set(HeaderReason, string(err.Reason))
	names := &x.conn.server.Names
	if err.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, names.retryAfter(err.RetryAfter))
	}
	if names.RequestID != "" && x.req != nil && x.req.ID != "" {
		resp.Header.Set(names.RequestID, x.req.ID)
	}
	body := ErrorBody{Verdict: err.Verdict, Reason: err.Reason}
	if err.Err != nil {
		body.Message = err.Err.Error()
	}
	if data, encodeErr := btcodec.EncodeJSON(body); encodeErr == nil {
		resp.Header.SetContentType("application/json")
		resp.SetBodyRaw(data)
	}
	resp.SkipBody = x.head
	x.resp, x.end = resp, func() {}
}

func newResponse() *fasthttp.Response {
	resp := fasthttp.AcquireResponse()
	resp.Header.SetNoDefaultContentType(true)
	return resp
}

// retryAfter returns a time as the callers read it: whole seconds, at least
// one, or a fraction in thousandths.
func (n *HeaderNames) retryAfter(d time.Duration) string {
	if n.FractionalRetry {
		return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// answer leaves an answer of the service. One that is not too long is read
// first, so that one that breaks off is refused as such; a longer one that
// breaks off closes the caller's connection before its end. The function is
// called once nothing more is read of the answer.
func (x *exchange) answer(in *baobabtide.Response, cancel func()) {
	if in.Length > bufferedAnswer {
		x.resp, x.end = x.streamed(in, cancel)
		return
	}
	data, err := io.ReadAll(io.LimitReader(in.Body, bufferedAnswer+1))
	if err == nil && len(data) > bufferedAnswer {
		in.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(data), in.Body), Closer: in.Body}
		x.resp, x.end = x.streamed(in, cancel)
		return
	}
	_ = in.Body.Close()
	cancel()
	if err == nil && !x.head && in.Length >= 0 && int64(len(data)) != in.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.refuse(truncated(err))
		return
	}
	resp := x.heading(in)
	if x.head {
		resp.SkipBody = true
		resp.Header.SetContentLength(int(max(0, in.Length)))
	} else {
		resp.SetBodyRaw(data)
	}
	x.resp, x.end = resp, func() {}
}

// streamed returns an answer whose body is read as it is written.
func (x *exchange) streamed(in *baobabtide.Response, cancel func()) (*fasthttp.Response, func()) {
	resp := x.heading(in)
	resp.SetBodyStream(in.Body, int(in.Length))
	return resp, func() {
		_ = in.Body.Close()
		cancel()
	}
}

func truncated(err error) *baobabtide.RequestError {
	var re *baobabtide.RequestError
	if errors.As(err, &re) {
		return re
	}
	return &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated, Err: err}
}

// heading returns an answer of the service without its body.
func (x *exchange) heading(in *baobabtide.Response) *fasthttp.Response {
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

// joinedBody reads from one place and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}
