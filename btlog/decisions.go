package btlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
)

const (
	bufferedLines  = 1000 // lines that wait for the output; later ones push out the oldest
	linesPerSecond = 40   // lines about requests, on average; 100 bytes to 400 bytes each
	lineBurst      = 120
)

// NewWriter returns a writer that never blocks and a function that writes what
// is left. Lines that the output does not take in time are lost and counted.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{}
	w.diode = diode.NewWriter(out, bufferedLines, 0, func(missed int) { w.lost.Add(int64(missed)) })
	return w, func() { _ = w.diode.Close() }
}

// Writer buffers lines for an output that may be slow.
type Writer struct {
	diode diode.Writer
	lost  atomic.Int64
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.diode.Write(line) }

// Lost returns the lines that the output did not take, since the last call.
func (w *Writer) Lost() int64 { return w.lost.Swap(0) }

// Decisions writes lines about requests, up to a rate. A nil pointer writes
// nothing.
type Decisions struct {
	log     zerolog.Logger
	limit   *rate.Limiter
	dropped atomic.Int64
}

// NewDecisions returns a log of decisions.
func NewDecisions(log zerolog.Logger) *Decisions {
	return &Decisions{log: log, limit: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Request begins a line about a request. It returns nil, on which all methods
// do nothing, where the line is over the rate.
func (d *Decisions) Request(event Event, req *baobabtide.Request) *zerolog.Event {
	if d == nil {
		return nil
	}
	if !d.limit.Allow() {
		d.dropped.Add(1)
		return nil
	}
	return d.log.Info().Str("event", string(event)).Str("request", req.ID).Str("route", req.Route).
		Str("service", req.Service).Str("attempt", req.Attempt).Int64("left-ms", time.Until(req.Deadline).Milliseconds())
}

// Dropped returns the lines that were over the rate, since the last call.
func (d *Decisions) Dropped() int64 { return d.dropped.Swap(0) }
