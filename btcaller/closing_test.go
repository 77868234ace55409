package btcaller

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
)

// Guards against idle connections that close before their timeout in a deployment without a
// memory limit in its settings: its budget is limited as well.
func TestCrowdedOnlyUnderMemoryLimit(t *testing.T) {
	for _, strict := range []bool{false, true} {
		limits := strictLimits()
		limits.Strict, limits.Connections = strict, 4
		server, address, _, _ := startLimited(t, limits)
		for range 4 {
			dial(t, address)
		}
		for deadline := time.Now().Add(shedSoon); len(server.openConns()) < 4 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
		if got := server.crowded() > 0; got != strict {
			t.Errorf("strict %t: crowded %t", strict, got)
		}
	}
}

// readableConn is a connection in whose socket a request arrives as it is shed.
type readableConn struct {
	net.Conn
	client net.Conn
	armed  atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *readableConn) SetReadDeadline(t time.Time) error {
	if c.armed.Swap(false) {
		err := c.Conn.SetReadDeadline(t) // the read ends before the request has arrived
		_, _ = io.WriteString(c.client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *readableConn) Close() error {
	if c.armed.Swap(false) {
		_, _ = io.WriteString(c.client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	return c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *readableConn) NetConn() net.Conn { return c.Conn }

// Guards against a request that is lost because it arrives as its idle connection is shed.
func TestRequestCrossesShedding(t *testing.T) {
	server, _, requests, _ := startLimited(t, strictLimits())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := dial(t, listener.Addr().String())
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	wrapped := &readableConn{Conn: socket, client: client}
	server.startConn(wrapped)
	c := server.openConns()[0]
	time.Sleep(20 * time.Millisecond) // readLoop waits
	late := time.Now().Add(2 * unusedGrace)
	v, ok := c.victim(late)
	if !ok || v.class != shedUnused {
		t.Fatalf("victim %+v, %t", v, ok)
	}
	wrapped.armed.Store(true)
	c.shedAs(&v, late)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusOK || requests.Load() != 1 {
		t.Errorf("response %v, %v, %d requests", resp, err, requests.Load())
	}
}

// Guards against a request that is forwarded without its body, which was discarded while there
// was no configuration.
func TestRouteArrivesDuringDiscard(t *testing.T) {
	server, address, requests, _ := startLimited(t, strictLimits())
	calls := 0
	server.HasRoute = func(*baobabtide.Request) bool { calls++; return calls > 1 }
	c := dial(t, address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	got := response{resp.StatusCode, resp.Header.Get(HeaderVerdict), resp.Header.Get(HeaderReason)}
	if diff := cmp.Diff(response{503, "not-run", "overload"}, got); diff != "" || requests.Load() != 0 {
		t.Errorf("%d requests, response (-want +got):\n%s", requests.Load(), diff)
	}
}

// probeConn records how its connection is used.
type probeConn struct {
	net.Conn
	onWrite    func()
	onDeadline func()
}

// Write implements net.Conn.
func (c *probeConn) Write(p []byte) (int, error) {
	if c.onWrite != nil {
		c.onWrite()
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *probeConn) SetReadDeadline(t time.Time) error {
	if f := c.onDeadline; f != nil {
		c.onDeadline = nil
		f()
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against 100 Continue failing by the passed deadline of the last response, and against
// its write blocking others that need the connection's lock.
func TestContinueAfterWriteDeadline(t *testing.T) {
	server, address, _, _ := startLimited(t, strictLimits())
	probe := &probeConn{Conn: dial(t, address)}
	c := newConn(server, probe)
	probe.onWrite = func() {
		if !c.mu.TryLock() {
			t.Error("the lock is held during the write")
			return
		}
		c.mu.Unlock()
	}
	_ = probe.SetWriteDeadline(time.Unix(1, 0))
	if err := c.writeContinue(); err != nil {
		t.Error(err)
	}
}

// Guards against a body that is read on although its connection was shed just before the read
// set its deadline.
func TestShedBeforeReadDeadline(t *testing.T) {
	server, address, _, _ := startLimited(t, strictLimits())
	probe := &probeConn{Conn: dial(t, address)}
	c := newConn(server, probe)
	probe.onDeadline = func() { // as shedAs does
		c.mu.Lock()
		c.shed = true
		c.mu.Unlock()
	}
	body := newStreamBody(c, strings.NewReader("b"), 10, server.bounds())
	body.deadline = time.Now().Add(time.Hour)
	if err := body.beginRead(time.Now()); err != os.ErrDeadlineExceeded { //nolint:errorlint // returned unwrapped
		t.Errorf("error %v", err)
	}
}

// Guards against a connection that is read again and again after its deadline has ended a TLS
// handshake: the handshake is not resumed, and every read returns the same error.
func TestDeadlineEndsHandshake(t *testing.T) {
	server, _, _, _ := startLimited(t, strictLimits())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := dial(t, listener.Addr().String())
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	c := newConn(server, tls.Server(socket, &tls.Config{}))
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	if err := c.input.await(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, "x")
	for deadline := time.Now().Add(shedSoon); !btconn.Readable(c.socket) && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	_ = c.socket.SetReadDeadline(time.Time{})
	if err := c.input.await(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if !c.idleExpired() {
		t.Error("the connection is read again")
	}
}
