package btcaller

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btfixture"
)

// BenchmarkRequest measures a request on an open connection in calm, with and without a
// body.
func BenchmarkRequest(b *testing.B) {
	fields := "Host: h\r\nBaobabtide-Customer: c\r\nBaobabtide-Timeout: 1000\r\nUser-Agent: bench\r\nAccept: */*\r\n"
	for name, request := range map[string]string{
		"no-body": "GET /a/b HTTP/1.1\r\n" + fields + "\r\n",
		"body":    "POST /a/b HTTP/1.1\r\n" + fields + "Content-Length: 2000\r\n\r\n" + strings.Repeat("b", 2000),
	} {
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, request) })
	}
}

func benchmarkRequest(b *testing.B, request string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := handlerFunc(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		if req.Body != nil {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return nil, err
			}
		}
		return btfixture.OKResponse("ok"), nil
	})
	server, stop := NewServer(handler, benchLimits())
	go func() { _ = server.Serve(listener, nil) }()
	defer stop()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
		if err := resp.Read(reader); err != nil {
			b.Fatal(err)
		}
	}
}

// benchLimits returns the limits of a server under a memory limit.
func benchLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Connections: 100, Budget: btbudget.New(btbudget.ForMemory(184e6)), Strict: true}
}
