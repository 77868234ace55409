package btlogstandin

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btplatform"
)

// ControlPath is the path of the control interface. It receives Faults as the
// body, which replace the log's faults.
const ControlPath = "/control"

// ExpectedParam is the query parameter with the expected offset of an append.
const ExpectedParam = "expected"

const stopTimeout = 500 * time.Millisecond

// NewServer returns an HTTP server that serves a log and its control interface,
// and a function that stops it.
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
	name, ok := strings.CutPrefix(path, btplatform.StreamsPath)
	name, hasSuffix := strings.CutSuffix(name, btplatform.RecordsSuffix)
	if !ok || !hasSuffix || name == "" {
		c.Error("no such page", fasthttp.StatusNotFound)
		return
	}
	if c.IsPost() {
		expected, err := expectedOffset(c)
		if err != nil {
			c.Error("expected: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
		entry, err := l.AppendAt(ctx, baobabtide.Stream(name), c.PostBody(), expected)
		writeResponse(c, entry, err)
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
	page, err := l.Read(ctx, baobabtide.Stream(name), baobabtide.Offset(from), wait)
	writeResponse(c, page, err)
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

// handleControl replaces the faults of the log.
func handleControl(c *fasthttp.RequestCtx, l *Log) {
	faults, err := btcodec.DecodeJSON[Faults](c.PostBody())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.SetFaults(*faults)
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// writeResponse responds to a call. It closes the connection without a response if the
// result of an append is uncertain.
func writeResponse(c *fasthttp.RequestCtx, v any, err error) {
	switch {
	case errors.Is(err, baobabtide.ErrUncertain):
		c.HijackSetNoResponse(true)
		_ = c.Conn().Close()
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
