package btnode

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// One Pacer with the rate of the link must pace what a node sends to other nodes, both
// requests and responses.
func TestLinkRateIsApplied(t *testing.T) {
	for _, megabits := range []float64{0, 16} {
		s := idleSettings()
		s.Peer.LinkMegabits = megabits
		n, free, err := New(s, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		n.listeners()
		if diff := cmp.Diff(megabits > 0, n.peers.Pacer != nil); diff != "" {
			t.Errorf("requests are paced at %g Mbit/s (-want +got):\n%s", megabits, diff)
		}
		if n.server.Pacer != n.peers.Pacer {
			t.Errorf("responses and requests have different pacers at %g Mbit/s", megabits)
		}
		free()
	}
}
