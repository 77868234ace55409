package btlogstandin

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btplatform"
)

// ControlPath is the path of the control interface. A POST sets Faults, which replace
// the log's faults, a GET returns a Report.
const ControlPath = "/control"

// Report describes what the log has done.
type Report struct {
	Acks []Ack
}

// ExpectedParam is the query parameter with the expected offset of an append.
const ExpectedParam = "expected"

const stopTimeout = 500 * time.Millisecond

// NewServer returns an HTTP server that serves a log and its control interface,
// and a function that stops it. Callers are told apart by the address to which they
// connect, so the server may serve several listeners.
func NewServer(l *Log) (*fasthttp.Server, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &fasthttp.Server{
		Handler:            func(c *fasthttp.RequestCtx) { handle(ctx, c, l) },
		MaxRequestBodySize: 2 * baobabtide.MaxRecordSize,
		Logger:             btconn.QuietLogger{},
		CloseOnShutdown:    true,
	}
	return s, func() {
		cancel()
		stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
		defer cancelStop()
		_ = s.ShutdownWithContext(stopCtx)
	}
}

// handle serves a control request, an append or a read.
func handle(ctx context.Context, c *fasthttp.RequestCtx, l *Log) {
	path := string(c.Path())
	if path == ControlPath {
		handleControl(c, l)
		return
	}
	if l.silent(c.ConnTime()) {
		<-ctx.Done()
		closeConn(c)
		return
	}
	name, ok := strings.CutPrefix(path, btplatform.StreamsPath)
	name, hasSuffix := strings.CutSuffix(name, btplatform.RecordsSuffix)
	if !ok || !hasSuffix || name == "" {
		c.Error("no such page", fasthttp.StatusNotFound)
		return
	}
	caller := c.LocalIP().String()
	if mode, _ := l.refusal(caller); mode != "" {
		refuse(ctx, c, l, caller, mode)
		return
	}
	if c.IsPost() {
		handleAppend(ctx, c, l, baobabtide.Stream(name))
		return
	}
	from, err := strconv.ParseUint(string(c.QueryArgs().Peek(btplatform.FromParam)), 10, 64)
	if err != nil {
		c.Error("from: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(c.QueryArgs().Peek(btplatform.WaitParam)))
	if err != nil {
		c.Error("wait: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	page, err := l.readAs(ctx, caller, baobabtide.Stream(name), baobabtide.Offset(from), wait)
	if l.silent(c.ConnTime()) {
		<-ctx.Done()
		closeConn(c)
		return
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		refuse(ctx, c, l, caller, refused.mode)
		return
	}
	writeResponse(c, page, err)
}

// handleAppend appends a record and responds with its entry.
func handleAppend(ctx context.Context, c *fasthttp.RequestCtx, l *Log, name baobabtide.Stream) {
	expected, err := expectedOffset(c)
	if err != nil {
		c.Error("expected: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	entry, err := l.AppendAt(ctx, name, c.PostBody(), expected)
	if l.silent(c.ConnTime()) {
		<-ctx.Done()
		closeConn(c)
		return
	}
	if err == nil {
		l.acknowledge(name, entry)
	}
	writeResponse(c, entry, err)
}

// refuse refuses a call of a caller. With NoResponse it returns once the refusal has ended
// or ctx is canceled.
func refuse(ctx context.Context, c *fasthttp.RequestCtx, l *Log, caller string, mode RefusalMode) {
	switch mode {
	case Unavailable:
		c.Error("refused", fasthttp.StatusServiceUnavailable)
	case TooManyRequests:
		c.Error("refused", fasthttp.StatusTooManyRequests)
	case Reset:
		if conn, ok := c.Conn().(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
		closeConn(c)
	case NoResponse:
		for mode == NoResponse && ctx.Err() == nil {
			var changed chan struct{}
			if mode, changed = l.refusal(caller); mode == NoResponse {
				select {
				case <-changed:
				case <-ctx.Done():
				}
			}
		}
		closeConn(c)
	}
}

// closeConn closes the connection without a response.
func closeConn(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	_ = c.Conn().Close()
}

// expectedOffset returns the expected offset of an append, 0 for any.
func expectedOffset(c *fasthttp.RequestCtx) (baobabtide.Offset, error) {
	text := c.QueryArgs().Peek(ExpectedParam)
	if len(text) == 0 {
		return 0, nil
	}
	offset, err := strconv.ParseUint(string(text), 10, 64)
	return baobabtide.Offset(offset), err
}

// handleControl returns a report or replaces the faults of the log.
func handleControl(c *fasthttp.RequestCtx, l *Log) {
	if c.IsGet() {
		writeResponse(c, &Report{Acks: l.Acks()}, nil)
		return
	}
	faults, err := btcodec.DecodeJSON[Faults](c.PostBody())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.SetFaults(*faults)
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// writeResponse responds to a call. It closes the connection without a response if the
// result of an append is uncertain or a read waited while its records were deleted.
func writeResponse(c *fasthttp.RequestCtx, v any, err error) {
	switch {
	case errors.Is(err, baobabtide.ErrUncertain), errors.Is(err, errForgotten):
		closeConn(c)
		return
	case errors.Is(err, ErrOffset):
		c.Error(err.Error(), fasthttp.StatusConflict)
		return
	case errors.Is(err, baobabtide.ErrRetention):
		c.Error(err.Error(), fasthttp.StatusGone)
		return
	case err != nil:
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	data, err := btcodec.EncodeJSON(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}
