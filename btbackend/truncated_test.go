package btbackend

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A response that ended in the middle of its header passed for a whole one with an empty or
// short body. Each response ends once after each of its bytes, in an orderly way or by a reset.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	const chunks = "5\r\nhello\r\n1;x=y\r\n!\r\n"
	tests := map[string]struct {
		response string
		endsBody bool // the end of the connection ends the body
	}{
		"length":                 {"HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 10\r\n\r\n0123456789", false},
		"length first":           {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: id\r\n\r\n0123456789", false},
		"empty":                  {"HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 0\r\n\r\n", false},
		"no content":             {"HTTP/1.1 204 No Content\r\nId: id\r\n\r\n", false},
		"chunks":                 {"HTTP/1.1 200 OK\r\nId: id\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", false},
		"chunks and trailer":     {"HTTP/1.1 200 OK\r\nId: id\r\nTrailer: T, U\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "00\r\nT: v\r\nU: w\r\n\r\n", false},
		"length and chunks":      {"HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", false},
		"folded header":          {"HTTP/1.1 200 OK\r\nId: id\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok", false},
		"line feed":              {"HTTP/1.1 200 OK\nId: id\r\nContent-Length: 2\r\n\r\nok", false},
		"interim":                {"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 2\r\n\r\nok", false},
		"failure":                {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", false},
		"HTTP/1.0 and length":    {"HTTP/1.0 200 OK\r\nId: id\r\nContent-Length: 2\r\n\r\nok", false},
		"no length":              {"HTTP/1.1 200 OK\r\nId: id\r\nConnection: close\r\n\r\nok", true},
		"HTTP/1.0 and no length": {"HTTP/1.0 200 OK\r\nId: id\r\n\r\nok", true},
	}
	for name, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", name, reset), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				address, _ := rawServer(t, func(c net.Conn, _, _ int) {
					write(c, tt.response[:cut.Load()])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				})
				p, closePool := NewPool(address, 1)
				defer closePool()
				p.Names.RequestID = "Id"
				final := max(0, strings.Index(tt.response, "HTTP/1.1 200"))
				header := final + strings.Index(tt.response[final:], "\r\n\r\n") + len("\r\n\r\n")
				for end := range len(tt.response) {
					cut.Store(int64(end))
					want := outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}
					req := request(time.Minute)
					req.ID = "id"
					got := do(context.Background(), p, req)
					if end >= header && tt.endsBody && !reset {
						want = outcome{Status: 200, Body: tt.response[header:end], Verdict: baobabtide.Ran}
					} else if end >= header && (!reset || got.Status != 0) { // the reset may overtake the header
						want = outcome{Status: got.Status, Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated}
					}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("end after %q (-want +got):\n%s", tt.response[:end], diff)
					}
				}
			})
		}
	}
}
