package btdispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btroute"
)

// silentPeers lose the response of each attempt and don't respond to Settle.
type silentPeers struct{}

func (silentPeers) Forward(context.Context, baobabtide.TargetRef, *baobabtide.Request) (*baobabtide.Response, error) {
	return nil, &baobabtide.RequestError{Reason: baobabtide.ReasonLost}
}

func (silentPeers) Settle(ctx context.Context, _ baobabtide.TargetRef, _ string) (baobabtide.Verdict, error) {
	<-ctx.Done()
	return baobabtide.MayHaveRun, ctx.Err()
}

// TestSettlementEndsWithRequest guards against a request that may not run twice and that ends without an
// answer at the end of its node's stop, as the node still asks another one whether it has run.
func TestSettlementEndsWithRequest(t *testing.T) {
	const canceledAfter, routeTimeout = 100 * time.Millisecond, time.Second // the latter as in btfixture
	tests := map[string]struct {
		deadline time.Duration
		cause    error // of the cancellation, nil for none
		want     time.Duration
	}{
		"the node stops":      {time.Minute, errors.New("the node has stopped"), canceledAfter},
		"nothing":             {time.Minute, nil, routeTimeout / settleWindowDivisor},
		"the deadline passes": {minSettleWindow / 2, nil, minSettleWindow},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routes := table()
				d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: silentPeers{}}
				ctx, cancel := context.WithCancelCause(context.Background())
				defer cancel(nil)
				if tt.cause != nil {
					time.AfterFunc(canceledAfter, func() { cancel(tt.cause) })
				}
				req := request("POST", "")
				req.Deadline = time.Now().Add(tt.deadline)
				began := time.Now()
				_, err := d.Serve(ctx, req)
				if diff := cmp.Diff(baobabtide.MayHaveRun, baobabtide.AsRequestError(err).Verdict); diff != "" {
					t.Errorf("verdict (-want +got):\n%s", diff)
				}
				if took := time.Since(began); (took - tt.want).Abs() > time.Millisecond {
					t.Errorf("the answer came after %s, not %s", took, tt.want)
				}
			})
		})
	}
}
