package btplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

// TestOddHeadIsNoAcknowledgement guards against a call to the log that counts as answered by a response whose
// head is not valid, such as one with the status 000.
func TestOddHeadIsNoAcknowledgement(t *testing.T) {
	const entry = `{"Offset":7,"Time":"2026-01-02T03:04:05Z","Data":"cg=="}`
	random := rand.New(rand.NewPCG(1, 4))
	for range 150 {
		head := btfixture.DrawResponseHead(random)
		text := strings.Replace(head.Text(), "Content-Length: 2\r", "Content-Length: 56\r", 1)
		c, closeClient := NewClient([]string{btfixture.ServeBytes(t, text+entry)}, time.Minute)
		_, err := c.Append(context.Background(), "s", []byte("r"))
		if (head.Fault == "") != (err == nil) || (head.Fault != "") != errors.Is(err, baobabtide.ErrUncertain) {
			t.Errorf("append, head %q, fault %s: %v", text, head.Fault, err)
		}
		closeClient()
	}
}
