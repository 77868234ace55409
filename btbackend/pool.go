package btbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/baobabtide/baobabtide/btconn"
)

const (
	connBuffer         = 4 << 10                // bytes of each read and write buffer
	defaultConns       = 128                    // open connections if the announcement sets no limit
	defaultIdleTimeout = 30 * time.Second       // if the backend server sends no Keep-Alive timeout
	dialTimeout        = 500 * time.Millisecond // the backend server is on the same machine
	maxRefusals        = 256                    // refused requests that a connection remembers until their deadlines
	endedTimeout       = 100 * time.Millisecond // to find out whether it has ended; a refusal takes no time
)

// backendConn is a connection to a backend server.
type backendConn struct {
	net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleAt      time.Time     // start of the idle time
	idleTimeout time.Duration // closed after this time without a request
	used        bool          // a response has arrived on it
	sent        bool          // bytes of the present request were written to it

	refusals map[string]time.Time // deadlines of the requests that were refused on it, by their IDs
}

// Write implements io.Writer.
func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent = c.sent || n > 0
	return n, err
}

// recordRefusal records that a request was refused on the connection. It returns false if the
// connection can record no more.
func (c *backendConn) recordRefusal(id string, deadline time.Time) bool {
	if len(c.refusals) >= maxRefusals {
		now := time.Now()
		maps.DeleteFunc(c.refusals, func(_ string, deadline time.Time) bool { return deadline.Before(now) })
	}
	if len(c.refusals) >= maxRefusals {
		return false
	}
	if c.refusals == nil {
		c.refusals = make(map[string]time.Time)
	}
	c.refusals[id] = deadline
	return true
}

// refused reports whether the request was refused on the connection. Its ID can't tell a second
// copy of that refusal from the response to another attempt.
func (c *backendConn) refused(id string) bool {
	_, ok := c.refusals[id]
	return ok
}

// Pool sends requests to one backend server over reused connections. It
// implements baobabtide.Backend. Its fields must be set before the first request. Do
// is safe for concurrent use.
type Pool struct {
	Names HeaderNames
	Name  string // of the backend server; sent with each request so that another server at its address can refuse it
	// OnNotice is called with what each response states about the server and the time at
	// which its request was sent, nil for none.
	OnNotice func(notice Notice, sentAt time.Time)

	address string
	tokens  chan struct{} // holds one element per connection in use

	mu     sync.Mutex
	idle   []*backendConn // in the order of their last use
	closed bool
}

// NewPool returns a pool for an address, host:port, with at most the given number
// of connections in use, defaultConns if that is 0 or less. The function closes
// the pool: its idle connections at once, the others when they are released.
func NewPool(address string, connections int) (*Pool, func()) {
	if connections <= 0 {
		connections = defaultConns
	}
	p := &Pool{Names: DefaultNames(), address: address, tokens: make(chan struct{}, connections)}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// acquire returns an idle or a new connection for the request with an ID. It waits while all
// connections are in use and fails if ctx is canceled.
func (p *Pool) acquire(ctx context.Context, id string, maxIdle time.Duration) (*backendConn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a connection to %s: %w", p.address, context.Cause(ctx))
	}
	if c := p.popIdle(id, maxIdle); c != nil {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.tokens
		return nil, fmt.Errorf("dial backend server: %w", err)
	}
	return newBackendConn(conn), nil
}

func newBackendConn(conn net.Conn) *backendConn {
	c := &backendConn{Conn: conn, reader: bufio.NewReaderSize(conn, connBuffer), idleTimeout: defaultIdleTimeout}
	c.writer = bufio.NewWriterSize(c, connBuffer)
	return c
}

// Ended reports whether the backend server has ended: its address refuses connections. A
// server that closes or resets a connection, or is silent, has not ended. The connection that
// a server accepts is kept for the next request.
func (p *Pool) Ended() bool {
	select {
	case p.tokens <- struct{}{}:
	default:
		return false // so many requests are on their way to it that one of them would find out
	}
	conn, err := net.DialTimeout("tcp", p.address, endedTimeout)
	if err != nil {
		<-p.tokens
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(newBackendConn(conn))
	return false
}

// IsConnEnd reports whether an exchange failed because the backend server, or its kernel, ended
// the connection.
func IsConnEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ErrReset means that the connection of a request was reset before the first byte of its
// response. Some backend servers do that when they are full.
var ErrReset = errors.New("connection reset before the response")

// isReset reports whether the peer, or its kernel, reset a connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// popIdle returns the most recently used idle connection that is open, has no unread input
// and has not refused the request with the ID. It returns nil if there is none or if that
// connection has been idle for maxIdle or longer. It closes the unusable connections that it
// finds.
func (p *Pool) popIdle(id string, maxIdle time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		idle := time.Since(c.idleAt)
		if idle >= maxIdle && idle < c.idleTimeout {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if idle < c.idleTimeout && !c.refused(id) && c.reader.Buffered() == 0 && btconn.Reusable(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// release returns a connection, whose last response was read to its end, to the pool. It
// closes a connection with unread input: no request asked for that.
func (p *Pool) release(c *backendConn) {
	defer func() { <-p.tokens }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.reader.Buffered() > 0 || !btconn.Reusable(c.Conn) {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.idle = append(p.idle, c)
}

// discard closes a connection that can't be reused, for example because a late
// response may arrive on it.
func (p *Pool) discard(c *backendConn) {
	_ = c.Close()
	<-p.tokens
}
