package btbackend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// rawServer accepts connections and calls serve for each request to write the raw
// response. The numbers of the request and the connection start at 1. It returns
// the address and the count of connections.
func rawServer(t *testing.T, serve func(c net.Conn, request, connection int)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(connections.Add(1))
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for request := 1; ; request++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					serve(c, request, number)
				}
			}()
		}
	}()
	return listener.Addr().String(), &connections
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func request(timeout time.Duration) *baobabtide.Request {
	return &baobabtide.Request{Attempt: "a", Method: "POST", Target: "/x", Deadline: time.Now().Add(timeout)}
}

// outcome holds the result of a call to a backend server.
type outcome struct {
	Status  int
	Body    string
	Verdict baobabtide.Verdict
	Reason  baobabtide.Reason
}

// do sends a request and reads the response.
func do(ctx context.Context, p *Pool, req *baobabtide.Request) outcome {
	resp, err := p.Do(ctx, req)
	if err != nil {
		re := baobabtide.AsRequestError(err)
		return outcome{Verdict: re.Verdict, Reason: re.Reason}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		re := baobabtide.AsRequestError(err)
		return outcome{Status: resp.Status, Verdict: re.Verdict, Reason: re.Reason}
	}
	return outcome{Status: resp.Status, Body: string(body), Verdict: baobabtide.Ran}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestBackendServerBehaviors(t *testing.T) {
	tests := map[string]struct {
		serve func(c net.Conn, request, connection int)
		want  outcome
	}{
		"responds": {func(c net.Conn, _, _ int) { write(c, okResponse) }, outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}},
		"responds in chunks": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n")
		}, outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}},
		"fails": {func(c net.Conn, _, _ int) { write(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n") }, outcome{Status: 500, Verdict: baobabtide.Ran}},
		"sheds": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 503 No\r\nBaobabtide-Shed: 1\r\nContent-Length: 0\r\n\r\n")
		}, outcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonOverload}},
		"closes before it responds": {func(c net.Conn, _, _ int) { _ = c.Close() }, outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}},
		"resets before it responds": {func(c net.Conn, _, _ int) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}},
		"never responds": {func(net.Conn, int, int) {}, outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonDeadline}},
		"truncates a body with a length": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok")
			_ = c.Close()
		}, outcome{Status: 200, Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated}},
		"truncates a body in chunks": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
			_ = c.Close()
		}, outcome{Status: 200, Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated}},
		"gives no length and ends the connection": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
			_ = c.Close()
		}, outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}},
		"gives no length and resets the connection": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
			time.Sleep(20 * time.Millisecond) // a reset discards bytes that the receiver has not read yet
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, outcome{Status: 200, Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated}},
		"is another backend server": {func(c net.Conn, _, _ int) {
			write(c, "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
		}, outcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonMisdirected}},
		"responds with nonsense": {func(c net.Conn, _, _ int) { write(c, "nonsense\r\n\r\n") }, outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := rawServer(t, tt.serve)
			p, closePool := NewPool(address, 1)
			defer closePool()
			if diff := cmp.Diff(tt.want, do(context.Background(), p, request(300*time.Millisecond))); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if len(p.tokens) != 0 {
				t.Error("the token of the connection was not released")
			}
		})
	}
}

func TestUnreachableBackendServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	p, closePool := NewPool(address, 1)
	defer closePool()
	want := outcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonUnreached}
	if diff := cmp.Diff(want, do(context.Background(), p, request(time.Second))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A request that is canceled or reaches its deadline while it waits for a
// connection must not be reported with ReasonUnreached: the backend server would
// count as unreachable and all other requests would be refused for a while.
func TestCancellationWhileWaitingForConnection(t *testing.T) {
	release := make(chan struct{})
	address, _ := rawServer(t, func(c net.Conn, _, _ int) {
		<-release
		write(c, okResponse)
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	firstOutcome := make(chan outcome, 1)
	go func() { firstOutcome <- do(context.Background(), p, request(time.Minute)) }()
	for len(p.tokens) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	want := outcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonCanceled}
	if diff := cmp.Diff(want, do(ctx, p, request(time.Minute))); diff != "" {
		t.Errorf("canceled request (-want +got):\n%s", diff)
	}
	want.Reason = baobabtide.ReasonDeadline
	expiring, cancelExpiring := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancelExpiring()
	if diff := cmp.Diff(want, do(expiring, p, request(20*time.Millisecond))); diff != "" {
		t.Errorf("request past its deadline (-want +got):\n%s", diff)
	}
	close(release)
	if diff := cmp.Diff(outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}, <-firstOutcome); diff != "" {
		t.Errorf("request in progress (-want +got):\n%s", diff)
	}
}

// A response that arrives after its request was abandoned must never be returned for
// the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	late := make(chan struct{})
	address, connections := rawServer(t, func(c net.Conn, _, connection int) {
		if connection == 1 {
			<-late
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		write(c, okResponse)
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	do(context.Background(), p, request(50*time.Millisecond))
	close(late)
	want := outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}
	if diff := cmp.Diff(want, do(context.Background(), p, request(time.Second))); diff != "" {
		t.Errorf("next request (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2), connections.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// A connection on which a second response to one request arrived is not reused.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	address, _ := rawServer(t, func(c net.Conn, _, connection int) {
		if connection == 1 {
			write(c, okResponse+strings.Replace(okResponse, "ok", "no", 1))
			return
		}
		write(c, okResponse)
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	for range 2 {
		if diff := cmp.Diff("ok", do(context.Background(), p, request(time.Second)).Body); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	}
}

// A second response to one request that arrives while the next response is expected is
// recognized by its request ID and skipped.
func TestLateSurplusResponseIsSkipped(t *testing.T) {
	responseTo := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
	}
	address, connections := rawServer(t, func(c net.Conn, request, _ int) {
		if request == 1 {
			write(c, responseTo("r1", "ok"))
			return
		}
		write(c, responseTo("r1", "no")+responseTo("r2", "ok"))
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	p.Names.RequestID = "Id"
	for _, id := range []string{"r1", "r2"} {
		req := request(time.Second)
		req.ID = id
		if diff := cmp.Diff("ok", do(context.Background(), p, req).Body); diff != "" {
			t.Errorf("%s (-want +got):\n%s", id, diff)
		}
	}
	if diff := cmp.Diff(int64(1), connections.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	address, connections := rawServer(t, func(c net.Conn, _, _ int) { write(c, okResponse) })
	p, closePool := NewPool(address, 4)
	defer closePool()
	for range 5 {
		do(context.Background(), p, request(time.Second))
	}
	if diff := cmp.Diff(int64(1), connections.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// When the caller disconnects, the request ends at once and its connection is
// closed, so that the backend server can detect the cancellation.
func TestCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := rawServer(t, func(c net.Conn, _, _ int) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	errGone := errors.New("gone")
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(20*time.Millisecond, func() { cancel(errGone) })
	want := outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonCanceled}
	if diff := cmp.Diff(want, do(ctx, p, request(time.Minute))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	<-closed
}

func announcement(name string, incarnation, sequence uint64, state baobabtide.TargetState) Announcement {
	return Announcement{
		Name: name, Service: "s", Version: "v1", Address: "h:1", State: state, Slots: 1,
		Incarnation: incarnation, Sequence: sequence, Lease: time.Second,
	}
}

func TestRegistryLease(t *testing.T) {
	now := time.Unix(10_000, 0)
	var r Registry
	changed := r.Changed()
	if !r.Announce(announcement("b", 2, 0, baobabtide.TargetReady), now) {
		t.Fatal("first announcement was refused")
	}
	<-changed
	if r.Announce(announcement("b", 1, 0, baobabtide.TargetReady), now) {
		t.Error("an older incarnation replaced a newer one")
	}
	r.Expire(now.Add(time.Second))
	if diff := cmp.Diff(1, len(r.Targets())); diff != "" {
		t.Errorf("targets within the lease (-want +got):\n%s", diff)
	}
	r.Expire(now.Add(time.Second + 1))
	if diff := cmp.Diff(0, len(r.Targets())); diff != "" {
		t.Errorf("targets after the lease (-want +got):\n%s", diff)
	}
}

// Announcements may arrive late and out of order. The latest announcement of the
// latest incarnation at an address applies.
func TestRegistryOrdersAnnouncements(t *testing.T) {
	ready, draining := baobabtide.TargetReady, baobabtide.TargetDraining
	asGone := func(a Announcement) Announcement {
		a.Gone = true
		return a
	}
	tests := map[string]struct {
		announced []Announcement
		want      []string
	}{
		"late announcement from before the drain": {[]Announcement{announcement("b", 1, 2, draining), announcement("b", 1, 1, ready)}, []string{"b draining"}},
		"new start under the same name":           {[]Announcement{announcement("b", 1, 9, draining), announcement("b", 2, 1, ready)}, []string{"b ready"}},
		"late announcement of a departed server":  {[]Announcement{announcement("b", 1, 1, ready), asGone(announcement("b", 1, 2, ready)), announcement("b", 1, 1, ready)}, nil},
		"successor at the address":                {[]Announcement{announcement("b", 1, 1, ready), announcement("c", 2, 1, ready)}, []string{"c ready"}},
		"late announcement of a predecessor":      {[]Announcement{announcement("c", 2, 1, ready), announcement("b", 1, 5, ready)}, []string{"c ready"}},
		"departure of a predecessor":              {[]Announcement{announcement("c", 2, 1, ready), asGone(announcement("b", 1, 5, ready))}, []string{"c ready"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Registry
			for _, a := range tt.announced {
				r.Announce(a, time.Unix(10_000, 0))
			}
			var got []string
			for _, target := range r.Targets() {
				got = append(got, target.Name+" "+target.State.String())
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("targets (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that ends at its deadline is reported with ReasonDeadline, even if the
// cancellation by the node that dispatched it arrives a moment earlier.
func TestDeadlineTakesPrecedenceOverCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		timeLeft time.Duration
		want     baobabtide.Reason
	}{
		"long before":   {time.Minute, baobabtide.ReasonCanceled},
		"a moment left": {5 * time.Millisecond, baobabtide.ReasonDeadline},
		"just passed":   {-time.Millisecond, baobabtide.ReasonDeadline},
	}
	for name, tt := range tests {
		deadline := time.Now().Add(tt.timeLeft)
		if diff := cmp.Diff(tt.want, errorAfterSend(ctx, deadline, io.EOF).Reason); diff != "" {
			t.Errorf("%s, sent (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(tt.want, errorBeforeSend(ctx, deadline, io.EOF).Reason); diff != "" {
			t.Errorf("%s, not sent (-want +got):\n%s", name, diff)
		}
	}
}
