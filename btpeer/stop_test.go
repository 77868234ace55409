package btpeer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

const closeTime = 10 * time.Second // for the goroutines of connections to end, longer than the calls

// slowClient returns a client that connects to a listener over a link that carries the
// given number of bytes per second.
func slowClient(l *btfixture.Listener, bytesPerSecond int) (*Client, func()) {
	c, closeClient := NewClient(nil, &ByteCounter{}, nil, testSilenceLimit)
	c.dialer = func(context.Context, string) (net.Conn, error) { return l.Dial(bytesPerSecond) }
	return c, closeClient
}

// A response counts as undelivered until the forwarding node has received it, although
// the handler that sent it has returned long before: the rest waits for the link.
func TestResponseIsUndeliveredUntilReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		const size = 60 << 10 // fits into the buffers of gRPC
		returned := make(chan struct{})
		node := &fakeNode{admit: func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
			resp := btfixture.OKResponse(strings.Repeat("x", size))
			resp.Body = closeNotifier{resp.Body, returned}
			return resp, nil
		}}
		l := btfixture.NewListener()
		server, stop := NewServer(node, nil, &ByteCounter{})
		defer stop()
		go func() { _ = server.Serve(l) }()
		c, closeClient := slowClient(l, 200<<10)
		defer closeClient()
		received := make(chan int64)
		go func() {
			resp, err := c.Forward(context.Background(), baobabtide.TargetRef{Address: "node"}, request("", 10*time.Second))
			if err != nil {
				t.Error(err)
				received <- 0
				return
			}
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			if err != nil {
				t.Error(err)
			}
			received <- n
		}()
		<-returned
		time.Sleep(100 * time.Millisecond) // of the 300 ms that the link needs
		if diff := cmp.Diff(1, server.Undelivered()); diff != "" {
			t.Errorf("while the response is sent (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(size), <-received); diff != "" {
			t.Errorf("bytes received (-want +got):\n%s", diff)
		}
		time.Sleep(100 * time.Millisecond) // for the end of the call to reach the server
		if diff := cmp.Diff(0, server.Undelivered()); diff != "" {
			t.Errorf("afterwards (-want +got):\n%s", diff)
		}
	})
}

// closeNotifier is a body that closes a channel when it is closed.
type closeNotifier struct {
	io.ReadCloser
	closed chan struct{}
}

func (b closeNotifier) Close() error {
	close(b.closed)
	return b.ReadCloser.Close()
}

// A server that stops waits for a running request even if nothing arrives on its
// connection for longer than aliveTime.
func TestStopWaitsForRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		node := &fakeNode{admit: func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
			time.Sleep(2 * aliveTime)
			return btfixture.OKResponse("done"), nil
		}}
		l := btfixture.NewListener()
		server, _ := NewServer(node, nil, &ByteCounter{})
		go func() { _ = server.Serve(l) }()
		c, closeClient := slowClient(l, 1<<20)
		defer closeClient()
		conn, err := c.conn("node")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stream, err := conn.NewStream(ctx, &serviceDesc.Streams[1], forwardMethod) // without the pings of Forward
		if err != nil {
			t.Fatal(err)
		}
		head := &RequestHead{Attempt: "a", Method: "GET", Path: "/", TimeoutMicros: closeTime.Microseconds()}
		if err := stream.SendMsg(&RequestFrame{Head: head, Last: true}); err != nil {
			t.Fatal(err)
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			stopCtx, cancelStop := context.WithTimeout(context.Background(), closeTime)
			defer cancelStop()
			server.Stop(stopCtx)
		}()
		frame := new(ResponseFrame)
		if err := stream.RecvMsg(frame); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("done", string(frame.Body)); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
		cancel()
		<-stopped
	})
}

// A connection on which the other node has long been silent doesn't delay a stop.
func TestStopDoesNotWaitForSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		l := btfixture.NewListener()
		server, _ := NewServer(&fakeNode{}, nil, &ByteCounter{})
		go func() { _ = server.Serve(l) }()
		conn, err := l.Dial(1 << 20)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }() // as the kernel of a paused node does
		if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(aliveTime)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		server.Stop(ctx)
		if took := time.Since(began); took > 2*stopTimeout {
			t.Errorf("the stop took %s", took)
		}
	})
}
