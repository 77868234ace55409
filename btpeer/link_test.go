package btpeer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	linkRate   = 2e6              // bytes per second of a link unless its rate is set, 16 Mbit/s
	linkWindow = 64 << 10         // bytes of one connection on their way
	wireDelay  = time.Millisecond // one way
	wireSize   = 16 << 10         // bytes that are sent at once

	settleAfterTest = 10 * time.Second // for the goroutines of a bubble to end
)

// testLink is the outgoing link of one node: what all its connections send passes through
// one queue and arrives in order.
type testLink struct {
	rate float64 // bytes per second, 0 for linkRate

	mu   sync.Mutex
	free time.Time // when all that was sent has left the queue
}

// occupy queues n bytes and returns when they arrive.
func (l *testLink) occupy(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	rate := l.rate
	if rate == 0 {
		rate = linkRate
	}
	l.free = l.free.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return l.free.Add(wireDelay)
}

// testConn is one end of a connection between two nodes in memory.
type testConn struct {
	link *testLink
	peer *testConn

	mu       sync.Mutex
	changed  *sync.Cond
	received []byte
	onWay    int       // bytes sent and not yet arrived
	silent   bool      // what arrives from now on is lost
	heldTill time.Time // what arrives before is held until then
	closed   bool
	ended    bool // the other end has closed
}

func newTestConns(client, server *testLink) (*testConn, *testConn) {
	a, b := &testConn{link: client}, &testConn{link: server}
	a.peer, b.peer = b, a
	a.changed, b.changed = sync.NewCond(&a.mu), sync.NewCond(&b.mu)
	return a, b
}

func (c *testConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.received) == 0 {
		if c.closed {
			return 0, net.ErrClosed
		}
		if c.ended {
			return 0, io.EOF
		}
		c.changed.Wait()
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}

func (c *testConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), wireSize)]
		if err := c.send(append([]byte(nil), part...)); err != nil {
			return written, err
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

func (c *testConn) send(part []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.onWay > 0 && c.onWay+len(part) > linkWindow && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return net.ErrClosed
	}
	c.onWay += len(part)
	at := c.link.occupy(len(part))
	if at.Before(c.heldTill) {
		c.heldTill = c.heldTill.Add(time.Nanosecond) // keeps the order
		at = c.heldTill
	}
	time.AfterFunc(time.Until(at), func() {
		c.mu.Lock()
		c.onWay -= len(part)
		c.mu.Unlock()
		c.changed.Broadcast()
		c.peer.receive(part)
	})
	return nil
}

func (c *testConn) receive(part []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.received = append(c.received, part...)
	}
	c.changed.Broadcast()
}

// hold delays what both ends send from now on by a duration at most, in order, as after a
// lost packet.
func (c *testConn) hold(d time.Duration) {
	for _, end := range []*testConn{c, c.peer} {
		end.mu.Lock()
		end.heldTill = time.Now().Add(d)
		end.mu.Unlock()
	}
}

// silence makes both ends lose all that arrives from now on, without an error.
func (c *testConn) silence() {
	for _, end := range []*testConn{c, c.peer} {
		end.mu.Lock()
		end.silent = true
		end.mu.Unlock()
	}
}

// Close implements net.Conn. The other end reads to the end of what was sent before.
func (c *testConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.changed.Broadcast()
	time.AfterFunc(time.Until(c.link.occupy(1)), func() {
		c.peer.mu.Lock()
		c.peer.ended = !c.peer.silent
		c.peer.mu.Unlock()
		c.peer.changed.Broadcast()
	})
	return nil
}

func (c *testConn) LocalAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (c *testConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2} }
func (c *testConn) SetDeadline(time.Time) error      { return nil }
func (c *testConn) SetReadDeadline(time.Time) error  { return nil }
func (c *testConn) SetWriteDeadline(time.Time) error { return nil }

// testNetwork connects one Client with one Server, each with its own link. It implements
// net.Listener for the server. In a synctest bubble its times are exact.
type testNetwork struct {
	clientLink, serverLink testLink

	incoming chan net.Conn
	closing  sync.Once
	closed   chan struct{}

	mu    sync.Mutex
	conns []*testConn // the clients' ends
	down  bool        // connections can't be opened, and those open are silent
}

// newTestNetwork serves node and returns a client for it, which calls the address
// "server". The server sends bodies at the pace of pacer.
func newTestNetwork(t *testing.T, node Node, pacer *Pacer) (*testNetwork, *Client) {
	t.Helper()
	t.Cleanup(func() { time.Sleep(settleAfterTest) }) // runs last
	n := &testNetwork{incoming: make(chan net.Conn), closed: make(chan struct{})}
	server, stop := NewServer(node, nil, &ByteCounter{})
	server.Pacer = pacer
	go func() { _ = server.Serve(n) }()
	t.Cleanup(stop)
	return n, n.client(t)
}

// client returns another client of the server.
func (n *testNetwork) client(t *testing.T) *Client {
	t.Helper()
	c := client(t)
	c.dialer = n.dial
	return c
}

func (n *testNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := newTestConns(&n.clientLink, &n.serverLink)
	n.mu.Lock()
	down := n.down
	n.conns = append(n.conns, client)
	n.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Until(n.clientLink.occupy(1)))
	time.Sleep(time.Until(n.serverLink.occupy(1)))
	select {
	case n.incoming <- server:
		return client, nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence makes the connections that are open lose all data, without an error.
func (n *testNetwork) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silence()
	}
}

// hold delays the data of the connections that are open.
func (n *testNetwork) hold(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.hold(d)
	}
}

// cut silences the open connections and lets no new one through.
func (n *testNetwork) cut() {
	n.silence()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = true
}

// dialed returns the number of connections that were opened or tried.
func (n *testNetwork) dialed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *testNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-n.incoming:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *testNetwork) Close() error {
	n.closing.Do(func() { close(n.closed) })
	return nil
}

func (n *testNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2} }
