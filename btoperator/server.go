package btoperator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btpanic"
)

const (
	callTimeout = 15 * time.Second // of one call on the node
	readTimeout = 20 * time.Second // to receive a request, and of the wait for the first on a connection
	idleTimeout = time.Minute      // of a connection without a call
)

// Server serves the operator API of a node.
type Server struct {
	OnPanic btpanic.Report // called for each panic in a call, set before Serve

	http *fasthttp.Server
}

// NewServer returns a server for a node and a function that stops it.
func NewServer(node Node) (*Server, func()) {
	routes := map[string]fasthttp.RequestHandler{
		"POST " + pathPublish:   handlePost(node.Publish),
		"POST " + pathDrain:     handlePost(node.Drain),
		"POST " + pathClear:     handlePost(node.Clear),
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
		NoDefaultServerHeader: true,
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
func handlePost[In, Out any](call func(context.Context, *In) (*Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		in, err := btcodec.DecodeJSON[In](ctx.PostBody())
		if err != nil {
			writeError(ctx, &Error{Code: CodeInvalid, Err: err})
			return
		}
		respond(ctx, func(callCtx context.Context) (*Out, error) { return call(callCtx, in) })
	}
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
