package btbackend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

// refusal returns a response that reports that a request has not run. Empty arguments leave
// out their headers.
func refusal(status int, shed, name, id string) string {
	text := fmt.Sprintf("HTTP/1.1 %d No\r\n", status)
	if shed != "" {
		text += shed + ": 1\r\n"
	}
	if id != "" {
		text += name + ": " + id + "\r\n"
	}
	return text + "Content-Length: 4\r\n\r\nfull"
}

// A server that writes an earlier refusal once more made a request that it ran count as not
// run.
func TestRepeatedRefusalIsNoProof(t *testing.T) {
	const shed, name = "Not-Executed", "Id"
	ran := outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}
	unproven := outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}
	okTo := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + name + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	type test struct {
		after       string   // sent behind the refusal of the first request
		parts       []string // sent in response to a second request on the connection
		id          string   // of the second request
		want        outcome
		connections int64
	}
	tests := map[string]test{}
	for _, status := range []int{400, 408, 421, 429, 503} {
		first, none := refusal(status, shed, name, "r1"), refusal(status, shed, name, "")
		unmarked := refusal(status, "", name, "")
		for kind, tt := range map[string]test{
			"before the next request":     {first, nil, "r2", ran, 2},
			"start before the next":       {first[:20], nil, "r2", ran, 2},
			"after the next request":      {"", []string{first, okTo("r2")}, "r2", ran, 1},
			"in one segment":              {"", []string{first + okTo("r2")}, "r2", ran, 1},
			"in two segments":             {"", []string{first[:20], first[20:], okTo("r2")}, "r2", ran, 1},
			"twice":                       {"", []string{first + first + okTo("r2")}, "r2", ran, 1},
			"and the connection ends":     {"", []string{first, ""}, "r2", unproven, 1},
			"without an ID":               {"", []string{none, okTo("r2")}, "r2", unproven, 1},
			"behind one, without an ID":   {"", []string{first + none + okTo("r2")}, "r2", unproven, 1},
			"unmarked":                    {"", []string{unmarked + okTo("r2")}, "r2", unproven, 1},
			"to a request without an ID":  {"", []string{first + okTo("")}, "", unproven, 1},
			"behind the start of a body":  {"", []string{okTo("r2")[:len(okTo("r2"))-1], "k" + first}, "r2", ran, 1},
			"of the same request":         {"", []string{first + okTo("r1")}, "r1", ran, 2},
			"behind interim, of the same": {"", []string{"HTTP/1.1 103 Hints\r\n\r\n" + first + okTo("r1")}, "r1", ran, 2},
		} {
			tests[fmt.Sprintf("%d %s", status, kind)] = tt
		}
	}
	for testName, tt := range tests {
		t.Run(testName, func(t *testing.T) {
			var status int
			if _, err := fmt.Sscan(testName, &status); err != nil {
				t.Fatal(err)
			}
			address, connections := rawServer(t, func(c net.Conn, request, connection int) {
				switch {
				case connection > 1:
					write(c, okTo(tt.id))
				case request == 1:
					write(c, refusal(status, shed, name, "r1")+tt.after)
				default:
					for _, part := range tt.parts {
						if part == "" {
							_ = c.Close()
						}
						write(c, part)
					}
				}
			})
			p, closePool := NewPool(address, 2)
			defer closePool()
			p.Names.Shed, p.Names.RequestID = shed, name
			first := request(time.Minute)
			first.ID = "r1"
			if got := do(context.Background(), p, first); got.Verdict != baobabtide.NotRun {
				t.Fatalf("first request: %+v", got)
			}
			second := request(time.Minute)
			second.ID = tt.id
			if diff := cmp.Diff(tt.want, do(context.Background(), p, second)); diff != "" {
				t.Errorf("second request (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.connections, connections.Load()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

// The same with the headers of this package, which have no ID of the caller.
func TestRepeatedRefusalOfAttemptIsNoProof(t *testing.T) {
	ok := outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}
	tests := map[string]struct {
		attempt     string // that the refusal repeats
		connections int64
	}{
		"with the attempt":    {"a1", 1},
		"without the attempt": {"", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := refusal(fasthttp.StatusServiceUnavailable, HeaderShed, HeaderAttempt, tt.attempt)
			address, connections := rawServer(t, func(c net.Conn, request, connection int) {
				switch {
				case connection > 1:
					write(c, okResponse)
				case request == 1:
					write(c, first)
				default:
					write(c, first+okResponse)
				}
			})
			p, closePool := NewPool(address, 2)
			defer closePool()
			for i, want := range []outcome{{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonOverload}, ok} {
				req := request(time.Minute)
				req.Attempt = fmt.Sprintf("a%d", i+1)
				if diff := cmp.Diff(want, do(context.Background(), p, req)); diff != "" {
					t.Errorf("request %d (-want +got):\n%s", i+1, diff)
				}
			}
			if diff := cmp.Diff(tt.connections, connections.Load()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

// A connection remembers a bounded number of refused requests, each until its deadline.
func TestRefusalsOfConnectionAreBounded(t *testing.T) {
	past, future := time.Now().Add(-time.Minute), time.Now().Add(time.Minute)
	for name, tt := range map[string]struct {
		deadline time.Time // of the requests that fill the memory
		want     bool
	}{"expired": {past, true}, "unexpired": {future, false}} {
		t.Run(name, func(t *testing.T) {
			c := &backendConn{}
			for i := range maxRefusals {
				if !c.recordRefusal(fmt.Sprint(i), tt.deadline) {
					t.Fatalf("refusal %d was not recorded", i)
				}
			}
			got := c.recordRefusal("next", future)
			if diff := cmp.Diff([]bool{tt.want, tt.want}, []bool{got, c.refused("next")}); diff != "" {
				t.Errorf("recorded, refused (-want +got):\n%s", diff)
			}
		})
	}
}
