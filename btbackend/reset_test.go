package btbackend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// resettingConn is a connection that the peer resets after some bytes of the request.
type resettingConn struct {
	net.Conn
	takes int // bytes
}

func (c *resettingConn) Write(p []byte) (int, error) {
	n := min(c.takes, len(p))
	c.takes -= n
	if n < len(p) {
		return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	}
	return n, nil
}

func (c *resettingConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
}

func (*resettingConn) Close() error                       { return nil }
func (*resettingConn) SetDeadline(time.Time) error        { return nil }
func (*resettingConn) SetReadDeadline(time.Time) error    { return nil }
func (*resettingConn) SetWriteDeadline(t time.Time) error { return nil }

// A full server that resets the connection: the request is known not to have run only if none
// of its bytes was sent, and it moves on then. A connection that was reset while idle says
// nothing about the server.
func TestResetBeforeResponse(t *testing.T) {
	sent := outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}
	tests := map[string]struct {
		takes int
		used  bool
		want  outcome
	}{
		"new connection, nothing sent":    {0, false, outcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonOverload}},
		"new connection, one byte sent":   {1, false, sent},
		"new connection, all sent":        {1 << 20, false, sent},
		"idle connection, nothing sent":   {0, true, outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}},
		"idle connection, one byte sent":  {1, true, sent},
		"idle connection, all bytes sent": {1 << 20, true, sent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := rawServer(t, func(c net.Conn, _, _ int) { write(c, okResponse) })
			p, closePool := NewPool(address, 1)
			defer closePool()
			c := newBackendConn(&resettingConn{takes: tt.takes})
			c.used, c.idleAt = tt.used, time.Now()
			p.idle = append(p.idle, c)
			req := request(time.Second)
			req.Body, req.BodyLength = &baobabtide.BytesBody{Data: []byte("body")}, 4
			if diff := cmp.Diff(tt.want, do(context.Background(), p, req)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// ErrReset is what the concurrency limit goes by. The end of a connection without a reset, and
// a reset within a response, are other failures.
func TestErrReset(t *testing.T) {
	tests := map[string]struct {
		serve func(c net.Conn)
		want  bool
	}{
		"reset": {func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, true},
		"end": {func(c net.Conn) { _ = c.Close() }, false},
		"reset within a response": {func(c net.Conn) {
			_, _ = io.WriteString(c, okResponse[:20])
			time.Sleep(50 * time.Millisecond) // a reset discards bytes that the receiver has not read yet
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := rawServer(t, func(c net.Conn, _, _ int) { tt.serve(c) })
			p, closePool := NewPool(address, 1)
			defer closePool()
			_, err := p.Do(context.Background(), request(time.Second))
			if got := errors.Is(err, ErrReset); got != tt.want || !IsConnEnd(err) {
				t.Errorf("error %v: ErrReset %t, want %t", err, got, tt.want)
			}
		})
	}
}
