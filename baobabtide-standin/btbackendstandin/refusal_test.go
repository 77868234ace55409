package btbackendstandin

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/btbackend"
)

// A refusal must say that the request has not run, and which attempt it refuses. Setting the status
// removed the headers.
func TestRefusalIsMarked(t *testing.T) {
	s := &Server{} // without a slot
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.Set(btbackend.HeaderAttempt, "a.1")
	s.serveRequest(ctx)
	want := map[string]string{btbackend.HeaderShed: "1", btbackend.HeaderAttempt: "a.1"}
	got := make(map[string]string)
	for name := range want {
		got[name] = string(ctx.Response.Header.Peek(name))
	}
	if diff := cmp.Diff(want, got); diff != "" || ctx.Response.StatusCode() != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d, headers (-want +got):\n%s", ctx.Response.StatusCode(), diff)
	}
}
