package btlocal

import (
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
)

// A server that said in a response that it is about to stop got requests until it announced
// it as well, if it ever did.
func TestLeavingServerGetsRequests(t *testing.T) {
	var arrivals atomic.Int64
	announcement := backendServer(t, 6, func(ctx *fasthttp.RequestCtx) {
		arrivals.Add(1)
		ctx.Response.Header.Set(btbackend.HeaderLeaving, "1")
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	if err := send(a, 0); err != nil {
		t.Fatalf("first request: %v", err)
	}
	more := announcement
	more.Slots++
	for i, next := range []btbackend.Announcement{announcement, announcement, more} {
		a.Update([]btbackend.Server{{Announcement: next}})
		if diff := cmp.Diff(baobabtide.ReasonDraining, refusalReason(a)); diff != "" {
			t.Errorf("request %d: reason (-want +got):\n%s", i+1, diff)
		}
	}
	if diff := cmp.Diff(int64(1), arrivals.Load()); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
	restarted := more
	restarted.Incarnation++
	a.Update([]btbackend.Server{{Announcement: restarted}})
	if diff := cmp.Diff(baobabtide.Reason(""), reasonOf(a, restarted.Incarnation)); diff != "" {
		t.Errorf("after the restart of the server: reason (-want +got):\n%s", diff)
	}
}
