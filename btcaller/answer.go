package btcaller

import (
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

// status returns the HTTP status of a refusal.
func status(reason baobabtide.Reason) int {
	switch reason {
	case baobabtide.ReasonBadRequest, baobabtide.ReasonNoCustomer:
		return fasthttp.StatusBadRequest
	case baobabtide.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case baobabtide.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case baobabtide.ReasonRateLimit:
		return fasthttp.StatusTooManyRequests
	case baobabtide.ReasonDuplicateKey:
		return fasthttp.StatusConflict
	case baobabtide.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case baobabtide.ReasonCanceled:
		return statusClientClosed
	case baobabtide.ReasonLost, baobabtide.ReasonBackend, baobabtide.ReasonTruncated:
		return fasthttp.StatusBadGateway
	case baobabtide.ReasonTooDeep:
		return fasthttp.StatusLoopDetected
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// writeRefusal answers a request that got no answer from its service.
func writeRefusal(ctx *fasthttp.RequestCtx, err *baobabtide.RequestError) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status(err.Reason))
	ctx.Response.Header.Set(HeaderVerdict, err.Verdict.String())
	ctx.Response.Header.Set(HeaderReason, string(err.Reason))
	if err.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(err.RetryAfter))
	}
	body := ErrorBody{Verdict: err.Verdict, Reason: err.Reason}
	if err.Err != nil {
		body.Message = err.Err.Error()
	}
	data, encodeErr := btcodec.EncodeJSON(body)
	if encodeErr != nil {
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// retryAfter returns whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// writeResponse sends an answer on. A short one is read first, so that one
// that breaks off is refused as such; a longer one that breaks off closes the
// caller's connection before its end.
func writeResponse(ctx *fasthttp.RequestCtx, resp *baobabtide.Response, end func()) {
	if resp.Length >= 0 && resp.Length <= bufferedAnswer {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		end()
		if err == nil && !ctx.IsHead() && int64(len(data)) != resp.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			writeRefusal(ctx, truncated(err))
			return
		}
		writeHead(ctx, resp)
		if ctx.IsHead() {
			ctx.Response.SkipBody = true
			ctx.Response.Header.SetContentLength(int(resp.Length))
			return
		}
		ctx.Response.SetBodyRaw(data)
		return
	}
	writeHead(ctx, resp)
	ctx.SetBodyStream(&answerBody{Response: resp, end: end}, int(resp.Length))
}

func truncated(err error) *baobabtide.RequestError {
	var re *baobabtide.RequestError
	if errors.As(err, &re) {
		return re
	}
	return &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated, Err: err}
}

func writeHead(ctx *fasthttp.RequestCtx, resp *baobabtide.Response) {
	ctx.SetStatusCode(resp.Status)
	for _, f := range resp.Header {
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	ctx.Response.Header.Set(HeaderVerdict, baobabtide.Ran.String())
	if resp.Version != "" {
		ctx.Response.Header.Set(HeaderVersion, resp.Version)
	}
	if resp.Node != "" {
		ctx.Response.Header.Set(HeaderNode, resp.Node)
	}
}

// answerBody streams an answer and ends its request when fasthttp closes it.
type answerBody struct {
	*baobabtide.Response
	end func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) { return b.Body.Read(p) }

// Close implements io.Closer.
func (b *answerBody) Close() error {
	defer b.end()
	return b.Body.Close()
}
