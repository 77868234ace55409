package btcaller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btpanic"
)

// FuzzHead guards against a head whose end the scan and fasthttp see at different places: the
// rest would be taken for another request, or the parser would wait for more than has arrived.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\nx",
		"GET / HTTP/1.1\r\r\n\r\n", "\n", "GET / HTTP/1.1\r\nA:b\n\r\nB:c\r\n\r\n", " \r\n\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 || len(data) > readBuffer {
			return
		}
		var whole, steps btconn.HeadScan
		err := whole.Scan(data)
		for i := range data {
			_ = steps.Scan(data[:i+1])
		}
		if diff := cmp.Diff(whole, steps, cmpopts.IgnoreUnexported(btconn.HeadScan{})); diff != "" || (err != nil) != (steps.Scan(data) != nil) {
			t.Fatalf("scan of all, which failed with %v, and in steps (-all +steps):\n%s", err, diff)
		}
		if !whole.End || err != nil {
			return
		}
		reader := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data[:whole.Scanned]), iotest.ErrReader(errBeyondHead)), readBuffer)
		var header fasthttp.RequestHeader
		err = header.Read(reader)
		if errors.Is(err, errBeyondHead) {
			t.Errorf("the parser needs more than the %d bytes of the head %q", whole.Scanned, data[:whole.Scanned])
		}
		if err == nil && reader.Buffered() > 0 {
			t.Errorf("the parser left %d of the %d bytes of the head %q", reader.Buffered(), whole.Scanned, data[:whole.Scanned])
		}
	})
}

var errBeyondHead = errors.New("read beyond the head")

// FuzzChunks guards against a chunked body that chunkReader reads differently from fasthttp.
func FuzzChunks(f *testing.F) {
	for _, text := range []string{
		"1\r\nx\r\n0\r\n\r\n", "1;a=b\r\nx\r\n2\r\nyz\r\n0\r\nA: b\r\n\r\nGET", "3\r\nx\ny\r\n0\r\n\r\n", "a\r\n0123456789\r\n", "1\r\nx\r\n1\r\n", "g\r\n", "0\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		read := func(join bool) (string, bool, int) {
			reader := bufio.NewReaderSize(bytes.NewReader(data), 16)
			in := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(in)
			in.Header.SetMethod(fasthttp.MethodPost)
			in.Header.SetContentLength(-1)
			if err := in.ContinueReadBodyStream(reader, 1<<20, false); err != nil {
				t.Fatal(err)
			}
			body := in.BodyStream()
			if join {
				body = &chunkReader{reader: reader, body: body}
			}
			var out []byte
			for p := make([]byte, int(size)+1); ; {
				n, err := body.Read(p)
				out = append(out, p[:n]...)
				if err != nil {
					rest, _ := io.ReadAll(reader)
					return string(out), errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF), len(rest)
				}
			}
		}
		text, whole, rest := read(false)
		joined, joinedWhole, joinedRest := read(true)
		if whole != joinedWhole || (whole && (text != joined || rest != joinedRest)) {
			t.Errorf("%q, whole %v, %d bytes left; joined %q, whole %v, %d bytes left", text, whole, rest, joined, joinedWhole, joinedRest)
		}
	})
}

// FuzzPipeline guards against input that makes a connection hang, panic or keep a part of the
// budget. The handler reads bodies.
func FuzzPipeline(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nab",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nrest", "\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, strict bool) {
		budget := btbudget.New(1 << 20)
		handler := handlerFunc(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			if req.Body != nil {
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return nil, baobabtide.AsRequestError(err)
				}
			}
			return btfixture.OKResponse("ok"), nil
		})
		server, stop := NewServer(handler, Limits{HeaderBytes: 8 << 10, BodyBytes: 200_000, Connections: 10, Budget: budget, Strict: strict, DefaultCustomer: "c"})
		defer stop()
		server.OnPanic = func(err *btpanic.Error) { t.Errorf("panic: %v", err) }
		client, socket := net.Pipe()
		server.startConn(socket)
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(data)
		_ = client.Close()
		ended := make(chan struct{})
		go func() {
			server.connGroup.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection has not ended")
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%d bytes are reserved after the end of the connection", used)
		}
	})
}
