package btoperator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btpanic"
)

const (
	callTimeout  = 15 * time.Second // of one call on the node
	readTimeout  = 20 * time.Second // to receive a request, and of the wait for the first on a connection
	writeTimeout = time.Minute      // to send a response
	idleTimeout  = time.Minute      // of a connection without a call
)

// maxBodies is the number of bytes that the bodies of all calls may hold together: two of the
// largest, with the space by which a buffer grows.
const maxBodies = 3 * baobabtide.MaxRecordSize

// Server serves the operator API of a node.
type Server struct {
	OnPanic btpanic.Report // called for each panic in a call, set before Serve

	http *fasthttp.Server
}

// NewServer returns a server for a node and a function that stops it.
func NewServer(node Node) (*Server, func()) {
	bodies := btbudget.New(maxBodies)
	routes := map[string]fasthttp.RequestHandler{
		"POST " + pathPublish:   handlePost(bodies, node.Publish),
		"POST " + pathDrain:     handlePost(bodies, node.Drain),
		"POST " + pathClear:     handlePost(bodies, node.Clear),
		"GET " + pathQuarantine: handleGet(node.Quarantine),
		"GET " + pathStatus:     handleGet(node.Status),
		"GET " + pathContracts:  handleGet(node.Contracts),
		"GET " + pathAccounts:   handleGet(node.Accounts),
		"GET " + pathVersions:   handleGet(node.Versions),
		"GET " + pathAudit:      handleGet(node.Audit),
	}
	s := &Server{http: &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler, ok := routes[string(ctx.Method())+" "+string(ctx.Path())]
			if !ok {
				writeError(ctx, &Error{Code: CodeNotFound, Err: errors.New("unknown method or path")})
				return
			}
			handler(ctx)
		},
		MaxRequestBodySize:    baobabtide.MaxRecordSize,
		StreamRequestBody:     true, // a body is read within the budget, and only for a known path
		ReduceMemoryUsage:     true, // idle connections hold no buffers
		NoDefaultServerHeader: true,
		WriteTimeout:          writeTimeout,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		Logger:                btconn.QuietLogger{},
	}}
	return s, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.http.ShutdownWithContext(ctx)
	}
}

// Serve accepts connections until the server is stopped, and then returns nil. A
// nil config means plaintext.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	if config != nil {
		l = tls.NewListener(l, config)
	}
	s.http.Handler = btpanic.Handler("operator's call", s.OnPanic, s.http.Handler)
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators on %s: %w", l.Addr(), err)
	}
	return nil
}

// handlePost returns a handler that decodes the request, runs the call and encodes
// the result.
func handlePost[In, Out any](bodies *btbudget.Budget, call func(context.Context, *In) (*Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		body := &bodyReader{bodies: bodies, body: ctx.RequestBodyStream()}
		defer body.release()
		data, err := io.ReadAll(body)
		if err != nil {
			ctx.SetConnectionClose() // the rest of the body is not read
			writeError(ctx, &Error{Code: body.code(), Err: err})
			return
		}
		in, err := btcodec.DecodeJSON[In](data)
		if err != nil {
			writeError(ctx, &Error{Code: CodeInvalid, Err: err})
			return
		}
		respond(ctx, func(callCtx context.Context) (*Out, error) { return call(callCtx, in) })
	}
}

var errManyBodies = errors.New("too many calls at the same time")

// bodyReader reads the body of a call. It reserves the bytes of each read before, and fails if
// they are not available or the body is too large.
type bodyReader struct {
	bodies   *btbudget.Budget
	body     io.Reader // nil for no body
	read     int64
	reserved int64
	refused  bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.body == nil {
		return 0, io.EOF
	}
	if missing := r.read + int64(len(p)) - r.reserved; missing > 0 {
		if !r.bodies.Reserve(btbudget.Body, btbudget.Ordinary, missing) {
			r.refused = true
			return 0, errManyBodies
		}
		r.reserved += missing
	}
	n, err := r.body.Read(p)
	r.read += int64(n)
	if r.read > baobabtide.MaxRecordSize {
		return n, fasthttp.ErrBodyTooLarge
	}
	return n, err
}

func (r *bodyReader) release() { r.bodies.Release(btbudget.Body, r.reserved) }

// code returns the code of the error with which Read failed.
func (r *bodyReader) code() ErrorCode {
	if r.refused {
		return CodeUnavailable
	}
	return CodeInvalid
}

// handleGet returns a handler for a call without a request body.
func handleGet[Out any](call func(context.Context) (*Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { respond(ctx, call) }
}

// respond runs a call with callTimeout and encodes its result or error.
func respond[Out any](ctx *fasthttp.RequestCtx, call func(context.Context) (*Out, error)) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out, err := call(callCtx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	data, err := btcodec.EncodeJSON(out)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeError responds with an error: status 400 for CodeInvalid, 404 for CodeNotFound
// and 503 for the others. An error that is not an *Error is reported
// with CodeUnavailable.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	body := ErrorBody{Code: CodeUnavailable, Message: err.Error()}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		body = ErrorBody{Code: apiErr.Code, Message: apiErr.Err.Error()}
	}
	switch body.Code {
	case CodeInvalid:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	case CodeNotFound:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	data, encodeErr := btcodec.EncodeJSON(body)
	if encodeErr != nil {
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
