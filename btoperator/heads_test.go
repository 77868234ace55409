package btoperator

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/baobabtide/baobabtide/btfixture"
)

// TestOddHeadIsNoResponse guards against a call that counts as answered by a response whose head is not valid,
// such as one with the status 000.
func TestOddHeadIsNoResponse(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	for range 150 {
		head := btfixture.DrawResponseHead(random)
		c := NewClient(btfixture.ServeBytes(t, head.Text()+"{}"), nil)
		if _, err := c.Accounts(context.Background()); (head.Fault == "") != (err == nil) {
			t.Errorf("head %q, fault %s: %v", head.Text(), head.Fault, err)
		}
	}
}
