package btnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
)

// The log refuses the eight nodes that come first in the order of a rollout. One of the others
// must propose the outcome in the end.
func TestRefusedProposersAreReplaced(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	rollout := &baobabtide.Rollout{Offset: 1, Customer: "c", Service: "s"}
	rollout.Terms.CompleteWithin = 20 * time.Second
	now := time.Now()
	for i := 0; n.members.table.Rank("c/s") < maxProposers; i++ {
		refused := baobabtide.Member{Name: fmt.Sprintf("n%d", i), Zone: "z", Incarnation: 1, Sequence: 1, LogDown: true}
		n.members.table.Merge(btmember.Delta{Members: []baobabtide.Member{refused}}, now)
	}
	for end := now.Add(10 * rollout.Terms.CompleteWithin); now.Before(end); now = now.Add(tickPeriod) {
		if n.proposalDue(rollout, now, lastOutcomeProposal) {
			return
		}
	}
	t.Errorf("the node of rank %d never proposes, and the log refuses all before it", n.members.table.Rank("c/s"))
}
