package btcaller

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btpanic"
)

// conn is a connection of a caller.
type conn struct {
	server  *Server
	socket  net.Conn
	input   input
	reader  *bufio.Reader   // used by readLoop, and by a streamed body while readLoop waits for it; nil while no request arrives
	writer  *bufio.Writer   // used by writeLoop, nil while no response is written
	output  steadyWriter    // used by writer
	queue   chan *exchange  // in the order of the requests
	refused bool            // requests are refused, set before serve
	ctx     context.Context // canceled when the caller has closed the connection
	cancel  context.CancelCauseFunc

	cost      int64         // bytes reserved for the connection itself
	held      atomic.Int64  // bytes reserved in total
	readPace  pace          // of the caller in sending, unset while nothing is expected
	writePace pace          // of the caller in reading responses
	written   chan struct{} // receives a value after each response, for awaitRoom
	finished  chan struct{} // closed at the end of writeLoop, nil before it has started

	mu        sync.Mutex
	pending   int  // requests that were read but not answered
	reading   bool // a request has been read in part
	streaming bool // the request that is read has a streamed body
	place     bool // that request holds a place in Server.streams
	relaying  bool // a response is read from the backend server while it is written
	used      bool // a request has been read
	shed      bool // the connection was selected by Server.shed
	closing   bool // no further request is read; the connection is closed after the responses to those that were
}

// exchange is a request with its response.
type exchange struct {
	conn       *conn
	req        *baobabtide.Request
	admitted   bool          // the request runs or has run
	stream     *streamBody   // nil for a body in memory
	streaming  bool          // the body holds a place in Server.streams
	buffered   bool          // it began to arrive together with the request before
	pipelined  bool          // it holds a place in Server.pipelined, until it has its response
	headOnly   bool          // a HEAD request: the response has no body
	readAt     time.Time     // when the request had been read, without a streamed body
	done       chan struct{} // closed when the response is set
	closeAfter atomic.Bool   // close the connection after the response
	fields     int           // header fields of the request

	// reserved holds the bytes of the budget by kind. It is used by readLoop until the exchange is
	// queued, then by the request's goroutine until done is closed, then by writeLoop.
	reserved [btbudget.KindCount]int64

	resp    *fasthttp.Response // set before done is closed
	release func()             // releases the body of the response
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{
		server: s,
		socket: socket,
		queue:  make(chan *exchange, pipelineDepth),
	}
	c.input.conn, c.output.conn = c, c
	c.output.late = -paceCredit
	c.written = make(chan struct{}, 1)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// serve reads requests until the connection ends. It returns when all responses
// have been written and the connection is closed.
func (c *conn) serve() {
	if c.refused {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.server.bounds().headerTimeout))
	}
	_ = btpanic.Catch("read requests", c.server.OnPanic, c.readLoop)
	close(c.queue)
	if c.finished != nil {
		<-c.finished
	}
	c.cancel(btconn.ErrCallerClosed)
	_ = c.socket.Close()
	c.dropReader()
}

// enqueue queues an exchange for writeLoop. It starts writeLoop for the first one.
func (c *conn) enqueue(ex *exchange) {
	if c.finished == nil {
		c.finished = make(chan struct{})
		go func() {
			defer close(c.finished)
			if btpanic.Catch("write responses", c.server.OnPanic, c.writeLoop) != nil {
				c.lingeringClose(errConnClosed)
			}
			c.dropWriter()
		}()
	}
	c.queue <- ex
}

// readLoop reads the requests of the connection, queues them for writeLoop and
// starts them.
func (c *conn) readLoop() {
	var previous *exchange
	for {
		buffered, ok := c.awaitRequest()
		if !ok {
			return
		}
		ex := c.nextRequest(buffered)
		if ex == nil {
			c.discardInput()
			return
		}
		c.enqueue(ex)
		if ex.admitted {
			c.startRequest(ex, previous)
		}
		if ex.closeAfter.Load() {
			c.discardInput()
			return
		}
		previous = ex
	}
}

// awaitRequest waits for the first byte of a request and until it may be read. It reports whether
// that byte had arrived together with the request before, and returns false when the connection
// has failed, which cancels the running requests, or is to be closed. Input behind the request
// whose response closes the connection is discarded.
func (c *conn) awaitRequest() (bool, bool) {
	for {
		buffered := c.reader != nil && c.reader.Buffered() > 0
		err := c.awaitInput()
		if err == nil {
			c.awaitRoom()
			if c.beginReading() {
				return buffered, true
			}
			c.discardInput()
			return false, false
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel(endCause(err))
			return false, false
		}
		if c.idleExpired() {
			return false, false
		}
	}
}

// awaitInput waits for the first bytes of a request. It holds no read buffer meanwhile.
func (c *conn) awaitInput() error {
	if c.reader != nil && c.reader.Buffered() > 0 {
		return nil
	}
	c.dropReader()
	return c.input.await()
}

// beginReading marks a request as partly read and sets the deadline for the rest. It
// returns false if no further request is read.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading, c.used, c.shed = true, true, false
	c.readPace.body = false
	c.readPace.expect(time.Now(), paceCredit)
	_ = c.socket.SetReadDeadline(time.Now().Add(c.server.bounds().headerTimeout))
	return true
}

// endCause returns the cause of the end of a connection whose read failed.
func endCause(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return errConnClosed
	}
	return btconn.ErrCallerClosed
}

// idleExpired marks the connection as closing after its idle deadline and returns
// true, unless requests are pending or a request has arrived: the deadline can expire
// just as a request starts.
func (c *conn) idleExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
	case c.pending > 0:
		_ = c.socket.SetReadDeadline(time.Time{})
		c.shed = false
		return false
	case handshaking(c.socket): // a handshake that a deadline has ended is not resumed
	case btconn.Readable(c.socket):
		_ = c.socket.SetReadDeadline(time.Now().Add(c.server.bounds().headerTimeout))
		c.shed = false
		return false
	}
	c.closing = true
	return true
}

// handshaking reports whether the TLS handshake of a connection is incomplete. It is called by the
// goroutine that reads from the connection.
func handshaking(socket net.Conn) bool {
	conn, ok := socket.(*tls.Conn)
	return ok && !conn.ConnectionState().HandshakeComplete
}

// closeIfIdle makes readLoop close the connection unless a request has arrived or is
// being answered. Only readLoop knows whether it has received a part of a request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.reading {
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// startRequest runs a request in the background. Pipelined GET and HEAD requests
// run concurrently; a request of any other method waits until the previous one
// is answered. For a streamed body, startRequest returns when the body has been
// read or the request is answered.
func (c *conn) startRequest(ex *exchange, previous *exchange) {
	concurrent := previous == nil || ex.req.Method == fasthttp.MethodGet || ex.req.Method == fasthttp.MethodHead
	c.server.start(func() {
		defer c.server.releasePipelined(ex)
		if !concurrent {
			<-previous.done
			if c.isClosing() {
				ex.refuse(baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("an earlier response closes the connection")))
				close(ex.done)
				return
			}
		}
		c.server.run(c.ctx, ex)
	})
	if ex.stream != nil {
		select {
		case <-ex.stream.consumed:
		case <-ex.done:
		}
		c.server.releaseStream(ex)
		c.mu.Lock()
		c.streaming = false
		c.mu.Unlock()
	}
}

// isClosing reports whether the connection is closed after the requests that were read.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closeSoon closes the connection after the responses to the requests that were read: those that
// run are answered, those that have not started are refused. At least one must be pending.
func (c *conn) closeSoon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// nextRequest reads one request, or refuses it unread if the budget has no read buffer for it.
func (c *conn) nextRequest(buffered bool) *exchange {
	ex := &exchange{conn: c, done: make(chan struct{}), buffered: buffered}
	if c.reader == nil && !c.getReader() {
		c.endReading(ex)
		ex.reject(c.noMemory())
		return ex
	}
	read := false
	defer func() {
		if !read { // also after a panic
			ex.free()
			c.server.releaseStream(ex)
			c.server.releasePipelined(ex)
		}
	}()
	if !c.readRequest(ex) {
		return nil
	}
	read = true
	return ex
}

// endReading marks the request of an exchange as pending and ends the deadline for the rest of
// it, unless its body is streamed.
func (c *conn) endReading(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.shed, c.streaming = false, false, ex.stream != nil
	c.pending++
	c.readPace.pause(time.Now())
	if ex.stream == nil {
		_ = c.socket.SetReadDeadline(time.Time{})
	}
}

// readRequest reads the request of an exchange. For a request that can't be served the exchange
// already has its response. It returns false if the caller closed the connection.
func (c *conn) readRequest(ex *exchange) bool {
	limits := c.server.bounds()
	in, err := c.readHead(ex, limits)
	if in != nil {
		defer ex.releaseHead(in)
		err = c.convert(ex, in, limits)
	}
	c.endReading(ex)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout)) // also for line ends without a request
		return false
	}
	if err == nil {
		err = c.awaitTurn(ex)
	}
	if err == nil {
		err = c.admit(ex)
	}
	if err != nil {
		ex.reject(asRefusal(err))
		return true
	}
	ex.admitted = true
	return true
}

// convert sets the request of an exchange from its parsed head, and reads the body.
func (c *conn) convert(ex *exchange, in *fasthttp.Request, limits bounds) error {
	ex.headOnly = in.Header.IsHead()
	if in.Header.ConnectionClose() || !in.Header.IsHTTP11() {
		ex.closeAfter.Store(true)
	}
	req, refusal := c.server.request(in)
	if refusal != nil {
		return refusal
	}
	if err := c.readBody(ex, in, req, limits); err != nil {
		return err
	}
	ex.req, ex.readAt = req, time.Now()
	return nil
}

// admit admits the request of an exchange. It fails if the server stops, or if the budget has
// no memory for a further running request.
func (c *conn) admit(ex *exchange) error {
	class := btbudget.Ordinary
	if c.manyPending() {
		class = btbudget.General
	}
	if !ex.reserve(btbudget.Running, class, runningCost) {
		return c.noMemory()
	}
	if refusal := c.server.admit(c, ex.req.Deadline); refusal != nil {
		return refusal
	}
	return nil
}

// manyPending reports whether requests before the one just read are pending.
func (c *conn) manyPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 1
}

// releaseHead returns a parsed request to its pool, unless a streamed body reads its trailers
// into it or it has become large.
func (ex *exchange) releaseHead(in *fasthttp.Request) {
	if ex.stream == nil && ex.fields <= maxPooledFields {
		fasthttp.ReleaseRequest(in)
	}
}

// asRefusal returns the refusal for an error in reading a request.
func asRefusal(err error) *baobabtide.RequestError {
	var refusal *baobabtide.RequestError
	if errors.As(err, &refusal) {
		return refusal
	}
	return malformed(err)
}

// reject refuses a request before it runs and closes the connection after the
// response.
func (ex *exchange) reject(refusal *baobabtide.RequestError) {
	ex.closeAfter.Store(true)
	ex.free()
	ex.conn.server.releaseStream(ex)
	ex.conn.server.releasePipelined(ex)
	ex.refuse(refusal)
	close(ex.done)
}

// discardInput reads and discards further input, so that a disconnect is noticed
// while the last response is being produced.
func (c *conn) discardInput() {
	c.dropReader()
	for {
		_, err := c.socket.Read(c.input.first[:])
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel(endCause(err))
		}
		return
	}
}
