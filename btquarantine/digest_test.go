package btquarantine

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// otherBody is a body that is not in memory.
type otherBody struct{ baobabtide.Body }

func testRequest() *baobabtide.Request {
	return &baobabtide.Request{
		ID: "1", Attempt: "n.1.1", Origin: "o", Customer: "c", Host: "h.example", Method: "POST", Target: "/a?x=1",
		Body: &baobabtide.BytesBody{Data: []byte("body")}, BodyLength: 4,
	}
}

func TestDigest(t *testing.T) {
	tests := map[string]struct {
		change func(*baobabtide.Request)
		same   bool
	}{
		"another ID and attempt":   {func(r *baobabtide.Request) { r.ID, r.Attempt = "2", "m.2.2" }, true},
		"begun at another node":    {func(r *baobabtide.Request) { r.Origin = "p" }, true},
		"another customer":         {func(r *baobabtide.Request) { r.Customer = "d" }, false},
		"by the address of a node": {func(r *baobabtide.Request) { r.Host = "127.0.0.1" }, true},
		"route of another host":    {func(*baobabtide.Request) {}, false},
		"another method":           {func(r *baobabtide.Request) { r.Method = "PUT" }, false},
		"another query":            {func(r *baobabtide.Request) { r.Target = "/a?x=2" }, false},
		"another body":             {func(r *baobabtide.Request) { r.Body = &baobabtide.BytesBody{Data: []byte("bodz")} }, false},
		"no body":                  {func(r *baobabtide.Request) { r.Body = nil }, false},
		"streamed":                 {func(r *baobabtide.Request) { r.Body = otherBody{} }, false},
		"parts moved":              {func(r *baobabtide.Request) { r.Customer, r.Method = "ch.examplePOST", "" }, false},
	}
	want := DigestOf(testRequest(), "h.example")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req := testRequest()
			host := "h.example"
			if name == "route of another host" {
				host = "i.example"
			}
			tt.change(req)
			if diff := cmp.Diff(tt.same, DigestOf(req, host) == want); diff != "" {
				t.Errorf("same digest (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDigestDoesNotAllocate(t *testing.T) {
	req := testRequest()
	if allocated := testing.AllocsPerRun(100, func() { DigestOf(req, "h.example") }); allocated > 0 {
		t.Errorf("%v allocations", allocated)
	}
}

func BenchmarkDigestWithoutBody(b *testing.B) {
	req := testRequest()
	req.Body = nil
	b.ReportAllocs()
	for b.Loop() {
		DigestOf(req, "h.example")
	}
}
