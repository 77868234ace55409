// Package btcaller takes requests from callers over HTTP/1.1 and gives them
// their answers.
package btcaller

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
)

// Headers between callers and a node.
const (
	// HeaderCustomer names the customer whose contract applies.
	HeaderCustomer = "Baobabtide-Customer"
	// HeaderTimeout is the time that the caller waits, in milliseconds.
	HeaderTimeout = "Baobabtide-Timeout"
	// HeaderDepth counts the calls above this one.
	HeaderDepth = "Baobabtide-Depth"
	// HeaderRetried marks a call that a layer above has already retried.
	HeaderRetried = "Baobabtide-Retried"
	// HeaderKey makes a non-idempotent request safe to repeat.
	HeaderKey = "Idempotency-Key"
	// HeaderVerdict says whether a request may have run.
	HeaderVerdict = "Baobabtide-Verdict"
	// HeaderReason says why a request was refused.
	HeaderReason = "Baobabtide-Reason"
	// HeaderVersion names the version of the service that answered.
	HeaderVersion = "Baobabtide-Version"
	// HeaderNode names the node beside the backend server that answered.
	HeaderNode = "Baobabtide-Node"
)

const (
	bufferedBody   = 64 << 10 // bytes of a body that is kept for retries
	bufferedAnswer = 64 << 10 // bytes of an answer that is read before it is sent on
	maxKeyLength   = 256
	maxTimeout     = 10 * time.Minute
	drainTimeout   = 30 * time.Second
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	Connections     int
	DefaultCustomer string // customer of requests without HeaderCustomer, empty for none
}

// Server takes requests from callers.
type Server struct {
	http    *fasthttp.Server
	handler baobabtide.Handler
	limits  Limits
	watcher *btconn.Watcher
	conns   connections
	leaving atomic.Bool // answers tell callers to close their connections
}

// NewServer returns a server and a function that stops it after the requests
// under way have ended.
func NewServer(handler baobabtide.Handler, limits Limits) (*Server, func()) {
	watcher, stopWatcher := btconn.NewWatcher()
	s := &Server{handler: handler, limits: limits, watcher: watcher}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 handleMalformed,
		ReadBufferSize:               limits.HeaderBytes,
		MaxRequestBodySize:           limits.BodyBytes,
		Concurrency:                  limits.Connections,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		IdleTimeout:                  time.Minute,
		Logger:                       btconn.QuietLogger{},
		ConnState:                    s.conns.track,
	}
	stop := func() {
		s.conns.closeIdle()
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		_ = s.http.ShutdownWithContext(ctx)
		stopWatcher()
	}
	return s, stop
}

// Leave tells callers with each answer from now on to close their connections,
// so that few are left when the server stops.
func (s *Server) Leave() { s.leaving.Store(true) }

// Serve accepts connections until the server is stopped. A nil config means
// plaintext.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	if config != nil {
		l = tls.NewListener(l, config)
	}
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve callers on %s: %w", l.Addr(), err)
	}
	return nil
}

// handleMalformed answers what can't be read as a request.
func handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	refusal := baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, err)
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		refusal.Reason = baobabtide.ReasonTooLarge
	}
	writeRefusal(ctx, refusal)
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.leaving.Load() {
		defer ctx.SetConnectionClose()
	}
	req, err := s.request(ctx)
	if err != nil {
		writeRefusal(ctx, err)
		return
	}
	work, end := s.watcher.Watch(context.Background(), ctx.Conn())
	resp, serveErr := s.handler.Serve(work, req)
	if body, ok := req.Body.(*streamBody); ok && !body.finish(ctx.Conn()) {
		ctx.SetConnectionClose()
	}
	if serveErr != nil {
		end()
		writeRefusal(ctx, baobabtide.AsRequestError(serveErr))
		return
	}
	writeResponse(ctx, resp, end)
}

// request reads what the caller asks for. Its errors touch no backend server.
func (s *Server) request(ctx *fasthttp.RequestCtx) (*baobabtide.Request, *baobabtide.RequestError) {
	req := &baobabtide.Request{
		Customer: string(ctx.Request.Header.Peek(HeaderCustomer)),
		Key:      string(ctx.Request.Header.Peek(HeaderKey)),
		Method:   string(ctx.Method()),
		Target:   string(ctx.RequestURI()),
		Retried:  len(ctx.Request.Header.Peek(HeaderRetried)) > 0,
	}
	if req.Customer == "" {
		req.Customer = s.limits.DefaultCustomer
	}
	if len(req.Key) > maxKeyLength {
		return nil, badRequest("%s exceeds %d bytes", HeaderKey, maxKeyLength)
	}
	if len(req.Target) == 0 || req.Target[0] != '/' {
		return nil, badRequest("request target %q does not start with /", req.Target)
	}
	var err *baobabtide.RequestError
	if req.Deadline, err = deadline(ctx); err != nil {
		return nil, err
	}
	if req.Depth, err = depth(ctx); err != nil {
		return nil, err
	}
	req.Header = forwardedHeader(ctx)
	return req, s.readBody(ctx, req)
}

func badRequest(format string, args ...any) *baobabtide.RequestError {
	return baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, fmt.Errorf(format, args...))
}

func deadline(ctx *fasthttp.RequestCtx) (time.Time, *baobabtide.RequestError) {
	text := ctx.Request.Header.Peek(HeaderTimeout)
	if len(text) == 0 {
		return ctx.Time().Add(maxTimeout), nil
	}
	millis, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return time.Time{}, badRequest("%s %q is not a number from 1 to %d", HeaderTimeout, text, maxTimeout.Milliseconds())
	}
	return ctx.Time().Add(time.Duration(millis) * time.Millisecond), nil
}

func depth(ctx *fasthttp.RequestCtx) (int, *baobabtide.RequestError) {
	text := ctx.Request.Header.Peek(HeaderDepth)
	if len(text) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 {
		return 0, badRequest("%s %q is not a number from 0", HeaderDepth, text)
	}
	return n, nil
}

// forwardedHeader copies the header lines that the backend server gets.
func forwardedHeader(ctx *fasthttp.RequestCtx) []baobabtide.HeaderField {
	fields := make([]baobabtide.HeaderField, 0, ctx.Request.Header.Len())
	for name, value := range ctx.Request.Header.All() {
		switch string(name) {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Content-Length", "Expect", HeaderTimeout, HeaderDepth, HeaderRetried:
		default:
			fields = append(fields, baobabtide.HeaderField{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// readBody keeps a short body in memory, so that it can be sent again, and
// streams a long one.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, req *baobabtide.Request) *baobabtide.RequestError {
	length := ctx.Request.Header.ContentLength()
	if length > s.limits.BodyBytes {
		ctx.SetConnectionClose()
		return baobabtide.Refuse(baobabtide.ReasonTooLarge, 0, fmt.Errorf("body of %d bytes exceeds %d", length, s.limits.BodyBytes))
	}
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		if data := ctx.Request.Body(); len(data) > 0 {
			req.Body = &baobabtide.BytesBody{Data: bytes.Clone(data)}
			req.BodyLength = int64(len(data))
		}
		return nil
	}
	body := &streamBody{reader: stream, length: int64(length), limit: int64(s.limits.BodyBytes)}
	req.BodyLength = int64(length)
	req.Body = body
	if length < 0 || length > bufferedBody {
		return nil
	}
	data := make([]byte, length)
	if err := readFull(body, data); err != nil {
		ctx.SetConnectionClose()
		return badRequest("body: %w", err)
	}
	req.Body = &baobabtide.BytesBody{Data: data}
	return nil
}
