package btlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
)

const (
	bufferedLines  = 1000 // lines buffered for the output; further ones overwrite the oldest
	linesPerSecond = 40   // average rate of lines about requests, of 250 to 450 bytes each
	lineBurst      = 120  // lines about requests in a burst
	serverLines    = 20   // average rate of lines about backend servers, per second
	serverBurst    = 100  // lines about backend servers in a burst
	maxErrorBytes  = 256  // bytes of an error's text in a line; errors of other nodes and of libraries have any length
)

// NewWriter returns a Writer for out and a function that writes the buffered lines
// and closes out, if it can be closed. Lines that are written later are dropped.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, bufferedLines), closing: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.copyLines(out)
	}()
	return w, sync.OnceFunc(func() {
		close(w.closing)
		<-done
		if closer, ok := out.(io.Closer); ok {
			_ = closer.Close()
		}
	})
}

// Writer buffers lines for an output that may be slow or stalled. Write never
// blocks; if the buffer is full, the oldest lines are lost and counted. All methods are
// safe for concurrent use.
type Writer struct {
	lines   chan []byte
	closing chan struct{} // closed to write the buffered lines and end
	lost    atomic.Int64
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	line = bytes.Clone(line)
	for {
		select {
		case w.lines <- line:
			return len(line), nil
		default:
		}
		select {
		case <-w.lines:
			w.lost.Add(1)
		default:
		}
	}
}

// copyLines writes the lines to out until the Writer is closed and none is left. Lines
// that out does not take are lost, as there is no other place to report them.
func (w *Writer) copyLines(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					_, _ = out.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Lost returns the number of lines lost since the last call.
func (w *Writer) Lost() int64 { return w.lost.Swap(0) }

// DecisionLog writes the log lines about requests and about backend servers, with a limit on
// the rate of each. Its methods are safe for concurrent use. Request and Server of a nil
// *DecisionLog write nothing.
type DecisionLog struct {
	log     zerolog.Logger
	limit   *rate.Limiter // of lines about requests
	servers *rate.Limiter // of lines about backend servers, which many refusals must not displace
	dropped atomic.Int64  // lines over the rates since the last call of Dropped
}

// NewDecisionLog returns a DecisionLog that writes to log.
func NewDecisionLog(log zerolog.Logger) *DecisionLog {
	return &DecisionLog{log: log, limit: rate.NewLimiter(linesPerSecond, lineBurst), servers: rate.NewLimiter(serverLines, serverBurst)}
}

// Request begins a line about a request with the fields that all such lines have. The
// caller may add fields and writes the line with Send. If the line is over the rate, it
// returns nil; the methods of a nil *zerolog.Event do nothing.
func (d *DecisionLog) Request(event Event, req *baobabtide.Request) *zerolog.Event {
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

// Server begins a line about the named backend server. It is like Request otherwise.
func (d *DecisionLog) Server(event Event, name string) *zerolog.Event {
	if d == nil {
		return nil
	}
	if !d.servers.Allow() {
		d.dropped.Add(1)
		return nil
	}
	return d.log.Info().Str("event", string(event)).Str("target", name)
}

// AddError adds the text of err to a line, cut to maxErrorBytes, unless err is nil.
func AddError(line *zerolog.Event, field string, err error) *zerolog.Event {
	if !line.Enabled() || err == nil {
		return line
	}
	text := err.Error()
	return line.Str(field, text[:min(len(text), maxErrorBytes)])
}

// Dropped returns the number of lines that were not written since the last call because
// they were over the rate.
func (d *DecisionLog) Dropped() int64 { return d.dropped.Swap(0) }
