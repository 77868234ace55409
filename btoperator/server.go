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
)

const (
	callTimeout = 15 * time.Second
	idleTimeout = time.Minute
)

// Server answers operators.
type Server struct {
	http *fasthttp.Server
}

// NewServer returns a server and a function that stops it.
func NewServer(node Node) (*Server, func()) {
	routes := map[string]fasthttp.RequestHandler{
		"POST " + pathPublish:  handle(node.Publish),
		"POST " + pathDrain:    handle(node.Drain),
		"GET " + pathStatus:    question(node.Status),
		"GET " + pathContracts: question(node.Contracts),
		"GET " + pathVersions:  question(node.Versions),
		"GET " + pathAudit:     question(node.Audit),
	}
	s := &Server{http: &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler, ok := routes[string(ctx.Method())+" "+string(ctx.Path())]
			if !ok {
				writeError(ctx, &Error{Code: CodeNotFound, Err: errors.New("no such call")})
				return
			}
			handler(ctx)
		},
		MaxRequestBodySize:    baobabtide.MaxRecordSize,
		NoDefaultServerHeader: true,
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

// Serve accepts connections until the server is stopped. A nil config means
// plaintext.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	if config != nil {
		l = tls.NewListener(l, config)
	}
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators on %s: %w", l.Addr(), err)
	}
	return nil
}

// handle decodes a request, calls and encodes the answer.
func handle[In, Out any](call func(context.Context, *In) (*Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		in, err := btcodec.DecodeJSON[In](ctx.PostBody())
		if err != nil {
			writeError(ctx, &Error{Code: CodeInvalid, Err: err})
			return
		}
		answer(ctx, func(work context.Context) (*Out, error) { return call(work, in) })
	}
}

// question is handle for calls without a request.
func question[Out any](call func(context.Context) (*Out, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { answer(ctx, call) }
}

func answer[Out any](ctx *fasthttp.RequestCtx, call func(context.Context) (*Out, error)) {
	work, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out, err := call(work)
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

func writeError(ctx *fasthttp.RequestCtx, err error) {
	body := ErrorBody{Code: CodeUnavailable, Message: err.Error()}
	var e *Error
	if errors.As(err, &e) {
		body = ErrorBody{Code: e.Code, Message: e.Err.Error()}
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
