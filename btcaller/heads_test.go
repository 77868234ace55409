package btcaller

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

// TestOddRequestHeads guards against a request whose head is not valid and that is passed on with a line that
// is no field: its backend server might read another request in it.
func TestOddRequestHeads(t *testing.T) {
	var got []baobabtide.HeaderField
	address := start(t, func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		got = req.Header
		return btfixture.OKResponse("ok"), nil
	})
	random := rand.New(rand.NewPCG(1, 6))
	for range 300 {
		head := btfixture.DrawRequestHead(random)
		got = nil
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(time.Minute))
		if _, err := io.WriteString(c, head.Text()); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("head %q, fault %s: %v", head.Text(), head.Fault, err)
		}
		want := http.StatusOK
		if head.Fault != "" {
			want = http.StatusBadRequest
		}
		if diff := cmp.Diff(want, resp.StatusCode); diff != "" {
			t.Errorf("head %q, fault %s: status (-want +got):\n%s", head.Text(), head.Fault, diff)
		}
		if fields := len(head.Lines) - len("Gh"); head.Fault == "" && len(got) != fields {
			t.Errorf("head %q: %d of %d fields were passed on", head.Text(), len(got), fields)
		}
		if head.Fault != "" && got != nil {
			t.Errorf("head %q, fault %s: passed on as %q", head.Text(), head.Fault, got)
		}
		_ = resp.Body.Close()
		_ = c.Close()
	}
}
