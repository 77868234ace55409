package btlocal

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btconn"
)

// backendServer returns an announcement of a backend server that handles its requests with
// handler until the test ends.
func backendServer(t *testing.T, slots int, handler fasthttp.RequestHandler) btbackend.Announcement {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for the backend server: %v", err)
	}
	server := &fasthttp.Server{Handler: handler, Logger: btconn.QuietLogger{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: listener.Addr().String(),
		State: baobabtide.TargetReady, Slots: slots, Incarnation: 1, Lease: time.Minute,
	}
}

// send admits one request to the server of backendServer and returns the error.
func send(a *Admitter, attempt int) error { return sendWithLimit(a, attempt, 0) }

// sendWithLimit is like send for a sending node that knows a rate limit of the server.
func sendWithLimit(a *Admitter, attempt int, limit float64) error {
	req := &baobabtide.Request{
		Attempt: strconv.Itoa(attempt), Service: "s", Route: "r", Idempotent: true, Method: "GET", Target: "/",
		Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(300 * time.Millisecond), RateLimit: limit,
	}
	resp, err := a.Admit(context.Background(), "b", 1, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// A server that named a rate limit got as many requests as before.
func TestServerGetsMoreRequestsThanItsRateLimit(t *testing.T) {
	const limit, period = 5, 2 * time.Second
	var arrivals atomic.Int64
	announcement := backendServer(t, 6, func(ctx *fasthttp.RequestCtx) {
		arrivals.Add(1)
		ctx.Response.Header.Set(btbackend.HeaderRateLimit, strconv.Itoa(limit))
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	if err := send(a, 0); err != nil {
		t.Fatalf("first request: %v", err)
	}
	arrivals.Store(0)
	began := time.Now()
	for i := 1; time.Since(began) < period; i++ {
		go func() { _ = send(a, i) }()
		time.Sleep(20 * time.Millisecond)
	}
	// Half as many again as the limit allows, and 5, are tolerated.
	if got, allowed := arrivals.Load(), int64(1.5*limit*period.Seconds()+5); got > allowed {
		t.Errorf("%d requests arrived in %s, %d are allowed", got, period, allowed)
	}
}

// namedLimit returns the rate limit in force for the server of backendServer, -1 for none.
func namedLimit(a *Admitter) float64 {
	for _, limit := range a.RateLimits() {
		return limit.PerSecond
	}
	return -1
}

// The limit lasts as long as the responses name it: neither a response of what stands before
// the application nor a new announcement of the same incarnation withdraws it.
func TestRateLimitLastsUntilItIsWithdrawn(t *testing.T) {
	var limit atomic.Value
	limit.Store("50")
	status := atomic.Int64{}
	status.Store(fasthttp.StatusOK)
	announcement := backendServer(t, 6, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(int(status.Load()))
		if status.Load() == fasthttp.StatusServiceUnavailable {
			ctx.Response.Header.Set(btbackend.HeaderShed, "1")
		}
		if text, ok := limit.Load().(string); ok && text != "" {
			ctx.Response.Header.Set(btbackend.HeaderRateLimit, text)
		}
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	more := announcement
	more.Slots++
	restarted := more
	restarted.Incarnation++
	steps := []struct {
		name     string
		limit    string
		status   int
		announce *btbackend.Announcement
		want     float64
	}{
		{"named", "50", fasthttp.StatusOK, nil, 50},
		{"lowered", "40", fasthttp.StatusOK, nil, 40},
		{"invalid", "many", fasthttp.StatusOK, nil, 40},
		{"not run, without a limit", "", fasthttp.StatusServiceUnavailable, nil, 40},
		{"failed, without a limit", "", fasthttp.StatusInternalServerError, nil, 40},
		{"announced with more slots", "40", fasthttp.StatusOK, &more, 40},
		{"named by a refusal", "30", fasthttp.StatusServiceUnavailable, nil, 30},
		{"withdrawn", "", fasthttp.StatusOK, nil, -1},
		{"named again", "30", fasthttp.StatusOK, nil, 30},
		{"restarted", "", 0, &restarted, -1},
	}
	for i, step := range steps {
		limit.Store(step.limit)
		status.Store(int64(step.status))
		if step.announce != nil {
			a.Update([]btbackend.Server{{Announcement: *step.announce}})
		}
		if step.status != 0 {
			_ = send(a, i)
		}
		if diff := cmp.Diff(step.want, namedLimit(a)); diff != "" {
			t.Errorf("%s: limit (-want +got):\n%s", step.name, diff)
		}
	}
}

// A node that has restarted knows no limit until the server responds, but the nodes that
// passed on a response with a limit do.
func TestRestartedNodeExceedsRateLimit(t *testing.T) {
	const limit = 5
	var arrivals atomic.Int64
	release := make(chan struct{})
	announcement := backendServer(t, 30, func(*fasthttp.RequestCtx) {
		arrivals.Add(1)
		<-release
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	var sent sync.WaitGroup
	for i := range 30 {
		sent.Go(func() { _ = sendWithLimit(a, i, limit) })
	}
	time.Sleep(500 * time.Millisecond) // the time in which more than the limit could arrive
	if got := arrivals.Load(); got > limit {
		t.Errorf("%d requests arrived in 0.5 s, %d a second are allowed", got, limit)
	}
	close(release)
	sent.Wait()
	if err := sendWithLimit(a, 30, limit); err != nil && namedLimit(a) >= 0 {
		t.Errorf("limit %v still applies after a response without one", namedLimit(a))
	}
}

// A refusal of a server without a limit tells nothing about its limit: the node that has
// restarted must go on believing the others.
func TestRefusalDoesNotHideRateLimitAfterRestart(t *testing.T) {
	announcement := backendServer(t, 6, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(btbackend.HeaderShed, "1")
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	_ = send(a, 0)
	_ = sendWithLimit(a, 1, 5)
	if diff := cmp.Diff(5.0, namedLimit(a)); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}
