package btconn

import (
	"errors"
	"fmt"
	"net"
)

// ErrUnreadInput is returned for a request on a connection that holds input which no
// request asked for, or that the other end has closed. Nothing of the request was sent.
var ErrUnreadInput = errors.New("the connection has unread input or is closed")

// requestConn is a connection on which requests and responses alternate.
type requestConn struct {
	checkedConn
	received bool // the last call was a Read
}

// checkedConn is a connection on which requests and responses alternate, and which checks the heads of
// responses.
type checkedConn struct {
	net.Conn
	head   []byte   // what has arrived of a head, or of several of which the last has not ended
	scan   HeadScan // of head
	isBody bool     // the head of the final response has ended
	err    error    // why the last head is not valid
}

// NewCheckedConn returns a connection for a client that sends one request at a time. A Read fails if
// the head of a response is not valid; see HeadScan for what fasthttp accepts.
func NewCheckedConn(c net.Conn) net.Conn { return &checkedConn{Conn: c} }

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.isBody || n == 0 {
		return n, err
	}
	if c.err = c.checkHead(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.isBody, c.head, c.scan = false, c.head[:0], HeadScan{}
	return c.Conn.Write(p)
}

const (
	maxHead    = 64 << 10 // bytes; readers have smaller buffers
	firstFinal = 200      // the least status of a final response
)

// checkHead checks the next bytes of a response.
func (c *checkedConn) checkHead(data []byte) error {
	c.head = append(c.head, data...)
	for !c.isBody {
		c.scan.Response = true
		if err := c.scan.Scan(c.head); err != nil {
			return fmt.Errorf("head of a response: %w", err)
		}
		switch {
		case !c.scan.End && len(c.head) > maxHead:
			return fmt.Errorf("head of a response: over %d bytes", maxHead)
		case !c.scan.End:
			return nil
		case c.scan.Status >= firstFinal:
			c.isBody, c.head = true, nil
		default:
			c.head, c.scan = c.head[c.scan.Scanned:], HeadScan{}
		}
	}
	return nil
}

// NewRequestConn returns a connection for a client that sends one request at a time, such
// as a fasthttp client, which does not check its idle connections: input that follows a
// complete response would be taken for the next response. The first Write after a Read
// fails with ErrUnreadInput in place of that. Heads are checked as by NewCheckedConn. It is not for use
// beneath TLS.
func NewRequestConn(c net.Conn) net.Conn { return &requestConn{checkedConn: checkedConn{Conn: c}} }

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	c.received = true
	return c.checkedConn.Read(p)
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) {
	if c.received && !Reusable(c.Conn) {
		return 0, ErrUnreadInput
	}
	c.received = false
	return c.checkedConn.Write(p)
}
