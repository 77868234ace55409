package btdispatch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btroute"
)

// reasonCounts is a Recorder that counts the reasons.
type reasonCounts struct {
	Failures, Moves, Retries map[baobabtide.Reason]int
}

func (c *reasonCounts) RecordResult(_ *baobabtide.Request, _ baobabtide.Verdict, reason baobabtide.Reason, _ time.Duration) {
	if reason != "" {
		c.Failures[reason]++
	}
}
func (c *reasonCounts) RecordMove(reason baobabtide.Reason)  { c.Moves[reason]++ }
func (c *reasonCounts) RecordRetry(reason baobabtide.Reason) { c.Retries[reason]++ }

// Failures, moves and retries are counted by reason, those with connection-lost also in
// the counters that a node logs.
func TestReasonsAreCounted(t *testing.T) {
	refused := baobabtide.Refuse(baobabtide.ReasonOverload, 0, nil)
	notSent := baobabtide.Refuse(baobabtide.ReasonLost, 0, nil)
	lost := &baobabtide.RequestError{Reason: baobabtide.ReasonLost}
	backendLost := &baobabtide.RequestError{Reason: baobabtide.ReasonBackend}
	type reasons = map[baobabtide.Reason]int
	type lostCounts struct{ Failed, Moves, Retries int64 }
	tests := map[string]struct {
		method string
		errs   []error
		want   reasonCounts
		lost   lostCounts
	}{
		"refused and not sent":           {"POST", []error{refused, notSent, nil}, reasonCounts{reasons{}, reasons{"overload": 1, "connection-lost": 1}, reasons{}}, lostCounts{Moves: 1}},
		"lost":                           {"POST", []error{lost}, reasonCounts{reasons{"connection-lost": 1}, reasons{}, reasons{}}, lostCounts{Failed: 1}},
		"lost and idempotent":            {"GET", []error{lost, backendLost, nil}, reasonCounts{reasons{}, reasons{}, reasons{"connection-lost": 1, "backend-refused": 1}}, lostCounts{Retries: 1}},
		"another reason than lost":       {"POST", []error{backendLost}, reasonCounts{reasons{"backend-refused": 1}, reasons{}, reasons{}}, lostCounts{}},
		"not run, since no node is left": {"POST", []error{notSent}, reasonCounts{reasons{"overload": 1}, reasons{"connection-lost": 3}, reasons{}}, lostCounts{Moves: 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			got := reasonCounts{reasons{}, reasons{}, reasons{}}
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &fakePeers{errs: tt.errs}, Recorder: &got}
			_, _ = d.Serve(context.Background(), request(tt.method, ""))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
			counted := lostCounts{d.Counters.FailedLost.Load(), d.Counters.MovesLost.Load(), d.Counters.RetriesLost.Load()}
			if diff := cmp.Diff(tt.lost, counted); diff != "" {
				t.Errorf("connection-lost (-want +got):\n%s", diff)
			}
		})
	}
}
