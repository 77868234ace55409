package btlocal

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

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
func send(a *Admitter, attempt int) error {
	req := &baobabtide.Request{
		Attempt: strconv.Itoa(attempt), Service: "s", Route: "r", Idempotent: true, Method: "GET", Target: "/",
		Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(300 * time.Millisecond),
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
