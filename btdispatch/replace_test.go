package btdispatch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btroute"
)

// doubtingPeers gives up the first attempt if another one may replace it.
type doubtingPeers struct {
	fakePeers
	allowed []bool // what Replace returned for each attempt
}

func (p *doubtingPeers) Forward(ctx context.Context, target baobabtide.TargetRef, req *baobabtide.Request) (*baobabtide.Response, error) {
	if len(p.calls) == 0 && req.Replace != nil {
		p.allowed = append(p.allowed, req.Replace())
	}
	return p.fakePeers.Forward(ctx, target, req)
}

// An attempt is abandoned on doubt only if its retry is certain to be allowed, and the
// retry draws on the budget once.
func TestDoubtedAttempts(t *testing.T) {
	lost := &baobabtide.RequestError{Reason: baobabtide.ReasonLost}
	type result struct {
		Allowed []bool
		Calls   int
		Left    bool // the budget allows one more retry
	}
	tests := map[string]struct {
		method string
		body   baobabtide.Body
		budget int // retries
		want   result
	}{
		"idempotent":     {"GET", nil, 2, result{[]bool{true}, 2, true}},
		"last of budget": {"GET", nil, 1, result{[]bool{true}, 2, false}},
		"no budget left": {"GET", nil, 0, result{[]bool{false}, 1, false}},
		"has a body":     {"GET", &baobabtide.BytesBody{Data: []byte("x")}, 1, result{nil, 2, false}},
		"not idempotent": {"POST", nil, 1, result{nil, 1, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			peers := &doubtingPeers{fakePeers: fakePeers{errs: []error{lost, nil}}}
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers}
			d.Budgets.SetBurst(float64(tt.budget))
			if tt.budget == 0 {
				d.Budgets.Spend("service-0") // a burst is one at least
			}
			req := request(tt.method, "")
			req.Body = tt.body
			if resp, err := d.Serve(context.Background(), req); err == nil {
				_ = resp.Body.Close()
			}
			got := result{peers.allowed, len(peers.calls), d.Budgets.Spend("service-0")}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
