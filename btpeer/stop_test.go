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
	c, closeClient := NewClient(nil, &ByteCounter{}, nil)
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
