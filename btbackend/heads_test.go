package btbackend

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

// With -heads 20000 TestOddHeads draws more heads, by hand.
var headCount = flag.Int("heads", 300, "number of heads that TestOddHeads draws")

// TestOddHeads guards against a response that is passed on although its head is not valid: under a status
// that its server did not send, with a line that is no field, or with another body.
func TestOddHeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range *headCount {
		head := btfixture.DrawResponseHead(random, "Id: id")
		p, closePool := NewPool(btfixture.ServeBytes(t, head.Text()+"ok"), 1)
		p.Names.RequestID = "Id"
		req := request(time.Minute)
		req.ID = "id"
		want := outcome{Status: 200, Body: "ok", Verdict: baobabtide.Ran}
		if head.Fault != "" {
			want = outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}
		}
		if diff := cmp.Diff(want, do(context.Background(), p, req)); diff != "" {
			t.Errorf("head %q, fault %s (-want +got):\n%s", head.Text(), head.Fault, diff)
		}
		closePool()
	}
}

// TestHeadIsPassedOn guards against fields that a server did not send, such as a default type of the
// content, and against lost ones.
func TestHeadIsPassedOn(t *testing.T) {
	for _, tt := range []struct {
		fields string
		want   []string
	}{
		{"", nil},
		{"Content-Type:\r\n", nil},
		{"Content-Type: text/html\r\nX-A: b\r\n", []string{"Content-Type: text/html", "X-A: b"}},
		{"Server: s\r\nX-A: b\r\nx-a: \xe9\r\n", []string{"Server: s", "X-A: b", "X-A: \xe9"}},
	} {
		p, closePool := NewPool(btfixture.ServeBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+tt.fields+"\r\nok"), 1)
		resp, err := p.Do(context.Background(), request(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, f := range resp.Header {
			got = append(got, f.Name+": "+f.Value)
		}
		slices.Sort(got)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("fields for %q (-want +got):\n%s", tt.fields, diff)
		}
		_ = resp.Body.Close()
		closePool()
	}
}

// TestAnnounceOddHeads guards against an announcement that counts as acknowledged by a response that is none.
func TestAnnounceOddHeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a := Announcement{Name: "b", Service: "s", Version: "v1", Address: "127.0.0.1:1", State: baobabtide.TargetReady, Slots: 1, Lease: time.Minute}
	for range *headCount / 3 {
		head := btfixture.DrawResponseHead(random)
		text := strings.Replace(strings.Replace(head.Text(), " 200", " 204", 1), "Content-Length: 2", "X-Length: 2", 1)
		err := Announce(btfixture.ServeBytes(t, text), &a)
		if (head.Fault == "") != (err == nil) {
			t.Errorf("head %q, fault %s: %v", text, head.Fault, err)
		}
	}
}

// TestCodingBeforeHTTP11 guards against a chunked body that is passed on with its chunk sizes, as the parser
// ignores a transfer coding before HTTP/1.1.
func TestCodingBeforeHTTP11(t *testing.T) {
	p, closePool := NewPool(btfixture.ServeBytes(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 1)
	defer closePool()
	want := outcome{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonBackend}
	if diff := cmp.Diff(want, do(context.Background(), p, request(time.Minute))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}
