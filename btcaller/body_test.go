package btcaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btquarantine"
)

const streamedBytes = maxBufferedBody + 1

// A request whose body is read late, because the request waited, must not fail.
func TestLateReadOfStreamedBody(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		server, l := streamingServer(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			time.Sleep(defaultHeaderTimeout + time.Second)
			n, err := io.Copy(io.Discard, req.Body)
			return btfixture.OKResponse(fmt.Sprint(n)), err
		})
		defer server.Stop(stopTime)
		c := dialServer(t, l)
		defer c.conn.Close()
		go func() { _, _ = io.WriteString(c.conn, post()) }()
		if diff := cmp.Diff(stopAnswer{Status: 200, Verdict: "ran"}, c.receive()); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
	})
}

// The response to a request with a streamed body must not end the reading of the next
// request.
func TestRequestBehindStreamedBody(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		server, l := streamingServer(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			if req.Body != nil {
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return nil, err
				}
				time.Sleep(5 * time.Second)
			}
			return btfixture.OKResponse("ok"), nil
		})
		defer server.Stop(stopTime)
		c := dialServer(t, l)
		defer c.conn.Close()
		go func() {
			_, _ = io.WriteString(c.conn, post()+"GET / HTTP/1.1\r\n")
			time.Sleep(6 * time.Second)
			_, _ = io.WriteString(c.conn, "Host: h\r\n\r\n")
		}()
		for range 2 {
			if diff := cmp.Diff(stopAnswer{Status: 200, Verdict: "ran"}, c.receive()); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		}
	})
}

// Nothing behind a request that is answered before its body has been read may run: the
// connection is closed after the response.
func TestNothingRunsBehindUnreadBody(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		var ran []string
		server, l := streamingServer(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			ran = append(ran, req.Method)
			return nil, baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
		})
		c := dialServer(t, l)
		defer c.conn.Close()
		go func() { _, _ = io.WriteString(c.conn, post()+"GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
		if diff := cmp.Diff(stopAnswer{503, "not-run", "overload", "1", true}, c.receive()); diff != "" {
			t.Errorf("response (-want +got):\n%s", diff)
		}
		server.Stop(stopTime)
		if diff := cmp.Diff([]string{"POST"}, ran); diff != "" {
			t.Errorf("requests that ran (-want +got):\n%s", diff)
		}
	})
}

// The deadline of a read of the body must not end the watch for a disconnect once the body
// has been read.
func TestDisconnectAfterStreamedBodyIsNoticed(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		canceled := make(chan time.Time, 1)
		server, l := streamingServer(func(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			_, err := io.Copy(io.Discard, req.Body)
			select {
			case <-ctx.Done():
				canceled <- time.Now()
			case <-time.After(closeTime):
				canceled <- time.Time{}
			}
			return btfixture.OKResponse(""), err
		})
		defer server.Stop(stopTime)
		c := dialServer(t, l)
		head, rest, _ := strings.Cut(post(), "Host: h\r\n")
		go func() { _, _ = io.WriteString(c.conn, head+"Host: h\r\nConnection: close\r\n"+rest) }()
		time.Sleep(defaultHeaderTimeout + 5*time.Second)
		closed := time.Now()
		_ = c.conn.Close()
		if diff := cmp.Diff(closed, (<-canceled).Truncate(time.Second)); diff != "" {
			t.Errorf("cancellation of the request (-close +got):\n%s", diff)
		}
	})
}

// post returns a request with a body that is streamed.
func post() string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", streamedBytes, strings.Repeat("b", streamedBytes))
}

// streamingServer starts a server in a synctest bubble that accepts bodies that are streamed.
func streamingServer(h handlerFunc) (*Server, *btfixture.Listener) {
	l := btfixture.NewListener()
	server, _ := NewServer(h, Limits{HeaderBytes: 4096, BodyBytes: streamedBytes, Connections: 100})
	go func() { _ = server.Serve(l, nil) }()
	return server, l
}

// A streamed body counts with its start towards the digest of its request, however it is cut
// into chunks, and is read whole afterwards; one that is no longer than that can be sent again.
func TestPrefixOfStreamedBody(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(closeTime)
		type seen struct {
			digest   baobabtide.Digest
			read     string
			rewound  bool
			readMore string
		}
		var last seen
		server, l := streamingServer(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			last = seen{digest: btquarantine.DigestOf(req, "")}
			data, err := io.ReadAll(req.Body)
			if err != nil {
				return nil, err
			}
			last.read = string(data)
			if last.rewound = req.Body.Rewind(); last.rewound {
				data, err = io.ReadAll(req.Body)
			}
			last.readMore = string(data)
			return btfixture.OKResponse("ok"), err
		})
		defer server.Stop(stopTime)
		c := dialServer(t, l)
		defer c.conn.Close()
		send := func(chunks ...string) seen {
			text := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			for _, chunk := range chunks {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
			}
			go func() { _, _ = io.WriteString(c.conn, text+"0\r\n\r\n") }()
			if diff := cmp.Diff(stopAnswer{Status: 200, Verdict: "ran"}, c.receive()); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(strings.Join(chunks, ""), last.read); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			return last
		}
		whole := send("abcdef")
		if !whole.rewound || whole.readMore != whole.read {
			t.Errorf("read again: %t, %q", whole.rewound, whole.readMore)
		}
		start := strings.Repeat("x", prefixBytes)
		long := send(start, "y")
		if long.rewound {
			t.Error("a body longer than the prefix was rewound")
		}
		same := []bool{
			send("a", "bcde", "f").digest == whole.digest,
			send("abcdeF").digest == whole.digest,
			send(start[:100], start[100:], "y").digest == long.digest,
			send("z"+start).digest == long.digest,
		}
		if diff := cmp.Diff([]bool{true, false, true, false}, same); diff != "" {
			t.Errorf("same digest: other chunks, other body, long in other chunks, other start (-want +got):\n%s", diff)
		}
	})
}
