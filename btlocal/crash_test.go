package btlocal

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
)

// crashingServer is like backendServer, but the server crashes under the first request: its
// listener and all connections close.
func crashingServer(t *testing.T, slots int) btbackend.Announcement {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for the backend server: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_ = listener.Close()
		_ = c.Close()
	}()
	return btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: listener.Addr().String(),
		State: baobabtide.TargetReady, Slots: slots, Incarnation: 1, Lease: time.Minute,
	}
}

// sendDigest admits a request with a digest to an incarnation of the server and returns the
// error, nil for a response.
func sendDigest(a *Admitter, digest byte, incarnation uint64) *baobabtide.RequestError {
	req := &baobabtide.Request{
		Attempt: "n.1.1", Service: "s", Route: "r", Idempotent: true, Method: "GET", Target: "/",
		Deadline: time.Now().Add(time.Second), Digest: baobabtide.Digest{digest},
	}
	resp, err := a.Admit(context.Background(), "b", incarnation, req)
	if err != nil {
		return baobabtide.AsRequestError(err)
	}
	_ = resp.Body.Close()
	return nil
}

// A request that had crashed three servers was run by each further one that came up.
func TestRequestThatCrashedThreeServersRunsOnAnother(t *testing.T) {
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	const culprit, other = 1, 2
	var incarnation uint64
	for range 3 {
		incarnation++
		announcement := crashingServer(t, 6)
		announcement.Incarnation = incarnation
		a.Update([]btbackend.Server{{Announcement: announcement}})
		err := sendDigest(a, culprit, incarnation)
		if err == nil || !err.Crashed {
			t.Fatalf("incarnation %d: %v, want a crash", incarnation, err)
		}
	}
	var arrivals atomic.Int64
	announcement := backendServer(t, 6, func(*fasthttp.RequestCtx) { arrivals.Add(1) })
	announcement.Incarnation = 4
	a.Update([]btbackend.Server{{Announcement: announcement}})
	err := sendDigest(a, culprit, 4)
	if err == nil || err.Verdict != baobabtide.NotRun {
		t.Errorf("the same request: %v, want a refusal", err)
	}
	if diff := cmp.Diff(int64(0), arrivals.Load()); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
	if err := sendDigest(a, other, 4); err != nil {
		t.Errorf("another request: %v", err)
	}
}
