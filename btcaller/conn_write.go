package btcaller

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/btconn"
)

// writeLoop writes the responses in the order of the requests.
func (c *conn) writeLoop() {
	for ex := range c.queue {
		last, err := c.answer(ex)
		if err != nil || last {
			c.lingeringClose(err)
			return
		}
		c.responseWritten()
	}
}

// answer writes the response of an exchange and reports whether it is the last one.
func (c *conn) answer(ex *exchange) (bool, error) {
	defer ex.free()
	c.awaitResponse(ex)
	last := c.closesAfter(ex)
	if last {
		ex.resp.Header.SetConnectionClose()
	}
	err := c.write(ex)
	switch {
	case err != nil:
		c.reportUnanswered(ex, failedWriteReason(err), err)
	case errors.Is(context.Cause(c.ctx), btconn.ErrCallerClosed):
		c.reportUnanswered(ex, CallerClosed, nil) // nobody reads the response
	}
	c.server.finished(ex)
	return last, err
}

// getWriter gives the connection a write buffer, if it has none.
func (c *conn) getWriter() {
	if c.writer == nil {
		c.writer = writers.Get().(*bufio.Writer) //nolint:forcetypeassert // the pool holds nothing else
		c.writer.Reset(&c.output)
	}
}

// dropWriter returns the write buffer, if there is one.
func (c *conn) dropWriter() {
	if c.writer != nil {
		c.writer.Reset(nil)
		writers.Put(c.writer)
		c.writer = nil
	}
}

// flush writes the buffered responses and returns the write buffer. After an error it is kept,
// so that the next write returns the error again.
func (c *conn) flush() error {
	if c.writer == nil {
		return nil
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.dropWriter()
	return nil
}

// awaitResponse waits for a response. It first flushes the earlier responses unless this
// one is ready: their callers wait for them.
func (c *conn) awaitResponse(ex *exchange) {
	select {
	case <-ex.done:
	default:
		_ = c.flush() // the writer returns an error again on the next write
		<-ex.done
	}
}

// steadyWriter writes to the connection of a caller. A write fails only if the caller
// accepts less than writePart bytes within writeTimeout, so that a long response may take
// as long as a slow link needs.
type steadyWriter struct {
	conn *conn
	late time.Duration // of the caller after the last write
}

// Write implements io.Writer.
func (w *steadyWriter) Write(p []byte) (int, error) {
	c := w.conn
	c.writePace.resume(time.Now(), w.late)
	defer func() { w.late = c.writePace.pause(time.Now()) }()
	written := 0
	for written < len(p) {
		if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.socket.Write(p[written:min(len(p), written+writePart)])
		c.writePace.progress(time.Now(), n)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// closesAfter reports whether the connection is closed after a response. While the
// server is draining or the connection is closing, it is closed if no other request
// is pending or partly read.
func (c *conn) closesAfter(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ex.closeAfter.Load() {
		c.closing = true
		return true
	}
	if (c.closing || c.server.draining.Load()) && c.pending == 1 && !c.reading {
		c.closing = true
		return true
	}
	return false
}

// write writes a response and releases its body. The output is flushed unless another
// request is queued: then awaitResponse or the next write flushes it.
func (c *conn) write(ex *exchange) error {
	c.getWriter()
	if ex.resp.IsBodyStream() {
		if err := c.writer.Flush(); err != nil { // earlier responses don't depend on this body
			ex.release()
			return err
		}
		c.setRelaying(true)
		defer c.setRelaying(false)
	}
	err := ex.resp.Write(c.writer)
	ex.release()
	if err != nil {
		return err
	}
	fasthttp.ReleaseResponse(ex.resp)
	if len(c.queue) > 0 {
		return nil
	}
	return c.flush()
}

// responseWritten counts a response and sets the idle deadline of a connection
// without pending requests. If the server is closing, such a connection is closed at
// once: the server may have begun to close while the response was written.
func (c *conn) responseWritten() {
	c.mu.Lock()
	c.pending--
	if c.pending == 0 && !c.reading && !c.closing {
		now := time.Now()
		_ = c.socket.SetReadDeadline(now.Add(c.server.bounds().idleTimeout))
		c.readPace.expect(now, idleGrace)
	}
	c.mu.Unlock()
	c.signalWritten()
	if c.server.closing.Load() {
		c.closeIfIdle()
	}
}

// lingeringClose ends the connection after its last response or a failed write.
// After the last response it closes only the write side and lets readLoop go on
// for lingerTimeout: closing a connection with unread input resets it, and the
// caller could lose the response. The responses still queued are released unsent.
func (c *conn) lingeringClose(writeErr error) {
	if writeErr == nil {
		writeErr = c.flush()
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.signalWritten()
	if writeErr != nil {
		_ = c.socket.Close()
	} else {
		if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
			_ = halfCloser.CloseWrite()
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	reason := BehindClose
	if writeErr != nil {
		reason = BehindFailure
	}
	for ex := range c.queue {
		<-ex.done
		ex.release()
		c.reportUnanswered(ex, reason, writeErr)
		c.server.finished(ex)
		ex.free()
	}
}
