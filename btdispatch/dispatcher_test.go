package btdispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btquarantine"
	"github.com/baobabtide/baobabtide/btroute"
)

// fakePeers responds to each attempt with the next of errs and repeats the last one. It
// responds to every Settle in the same way.
type fakePeers struct {
	errs          []error // nil for a complete response
	settleVerdict baobabtide.Verdict
	settleErr     error
	calls         []string // nodes of the forwarded attempts, in order
	settles       int
}

func (p *fakePeers) Forward(_ context.Context, target baobabtide.TargetRef, _ *baobabtide.Request) (*baobabtide.Response, error) {
	err := p.errs[min(len(p.calls), len(p.errs)-1)]
	p.calls = append(p.calls, target.Node)
	if err != nil {
		return nil, err
	}
	return btfixture.OKResponse("ok"), nil
}

func (p *fakePeers) Settle(context.Context, baobabtide.TargetRef, string) (baobabtide.Verdict, error) {
	p.settles++
	return p.settleVerdict, p.settleErr
}

// table returns a route table with one service and three nodes, none of them the
// dispatcher's own.
func table() *btroute.Table {
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *btfixture.Contract("c", "service-0")}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	return btroute.Build(state, btfixture.Members(3, 3, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
}

// request returns a request with one minute to its deadline.
func request(method, key string) *baobabtide.Request {
	return &baobabtide.Request{Customer: "c", Method: method, Target: "/service-0", Key: key, Deadline: time.Now().Add(time.Minute)}
}

// Each case states how often a request is sent and settled, and the verdict that its
// caller gets. No node may be tried twice.
func TestAttempts(t *testing.T) {
	refused := baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
	notSent := baobabtide.Refuse(baobabtide.ReasonLost, 0, errors.New("dial"))
	lost := &baobabtide.RequestError{Reason: baobabtide.ReasonLost}
	backendLost := &baobabtide.RequestError{Reason: baobabtide.ReasonBackend}
	limited := baobabtide.Refuse(baobabtide.ReasonRateLimit, time.Second, nil)
	type outcome struct {
		Calls   int
		Settles int
		Verdict baobabtide.Verdict
	}
	ran, notRun, mayHaveRun := baobabtide.Ran, baobabtide.NotRun, baobabtide.MayHaveRun
	tests := map[string]struct {
		method string
		key    string
		peers  fakePeers
		want   outcome
	}{
		"answered":                               {"POST", "", fakePeers{errs: []error{nil}}, outcome{1, 0, ran}},
		"refused once":                           {"POST", "", fakePeers{errs: []error{refused, nil}}, outcome{2, 0, ran}},
		"refused by all targets":                 {"POST", "", fakePeers{errs: []error{refused}}, outcome{3, 0, notRun}},
		"not sent":                               {"POST", "", fakePeers{errs: []error{notSent, nil}}, outcome{2, 0, ran}},
		"rate limit is not moved":                {"GET", "", fakePeers{errs: []error{limited}}, outcome{1, 0, notRun}},
		"lost and idempotent":                    {"GET", "", fakePeers{errs: []error{lost, nil}}, outcome{2, 0, ran}},
		"lost, then fenced":                      {"POST", "", fakePeers{errs: []error{lost, nil}, settleVerdict: notRun}, outcome{2, 1, ran}},
		"lost, and it ran":                       {"POST", "", fakePeers{errs: []error{lost}, settleVerdict: ran}, outcome{1, 1, ran}},
		"lost, and it may have run":              {"POST", "", fakePeers{errs: []error{lost}, settleVerdict: mayHaveRun}, outcome{1, 1, mayHaveRun}},
		"lost, and the node can't be asked":      {"POST", "", fakePeers{errs: []error{lost}, settleErr: errors.New("down")}, outcome{1, 1, mayHaveRun}},
		"backend server lost":                    {"POST", "", fakePeers{errs: []error{backendLost}}, outcome{1, 0, mayHaveRun}},
		"backend server lost and idempotent":     {"GET", "", fakePeers{errs: []error{backendLost, nil}}, outcome{2, 0, ran}},
		"keyed request stays at its home target": {"POST", "k", fakePeers{errs: []error{refused, nil}}, outcome{1, 0, notRun}},
		"keyed and idempotent is moved":          {"GET", "k", fakePeers{errs: []error{refused, nil}}, outcome{2, 0, ran}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &tt.peers}
			_, err := d.Serve(context.Background(), request(tt.method, tt.key))
			got := outcome{Calls: len(tt.peers.calls), Settles: tt.peers.settles, Verdict: ran}
			if err != nil {
				got.Verdict = baobabtide.AsRequestError(err).Verdict
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			seen := make(map[string]bool)
			for _, node := range tt.peers.calls {
				if seen[node] {
					t.Errorf("node %s was tried twice: %v", node, tt.peers.calls)
				}
				seen[node] = true
			}
		})
	}
}

// At twice the capacity, a request that every target refuses was sent 5 times, and half of the
// processor time went into refusals. With Balanced it is sent 3 times. Calls, requests without a
// late round, and other deployments keep their moves.
func TestOverloadMoves(t *testing.T) {
	tests := map[string]struct {
		policy    *btroute.Policy
		depth     int
		objective time.Duration
		want      int
	}{
		"default":                        {nil, 0, 10 * time.Second, 5},
		"fastest":                        {btroute.Fastest, 0, 10 * time.Second, 5},
		"balanced":                       {btroute.Balanced, 0, 10 * time.Second, 3},
		"balanced, call":                 {btroute.Balanced, 1, 10 * time.Second, 5},
		"balanced, without a late round": {btroute.Balanced, 0, 0, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			contract := *btfixture.Contract("c", "service-0")
			contract.Services[0].Routes[0].Objective = tt.objective
			state := &btconfig.State{
				Offset:      1,
				Contracts:   map[string]btconfig.ContractState{"c": {Contract: contract}},
				Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
			}
			routes := btroute.Build(state, btfixture.Members(12, 3, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
			peers := &fakePeers{errs: []error{baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)}}
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers, Placement: tt.policy}
			req := request("GET", "")
			req.Depth = tt.depth
			if _, err := d.Serve(context.Background(), req); err == nil {
				t.Fatal("served")
			}
			if diff := cmp.Diff(tt.want, len(peers.calls)); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// Repeated requests with a key must reach the same node, the one that holds the record of
// the key, whichever node dispatches them.
func TestKeyedRequestsReachOneNode(t *testing.T) {
	homes := make(map[string]bool)
	for _, node := range []string{"a", "b", "c"} {
		routes := table()
		peers := &fakePeers{errs: []error{nil}}
		d := &Dispatcher{Node: node, Table: func() *btroute.Table { return routes }, Peers: peers}
		if _, err := d.Serve(context.Background(), request("POST", "k")); err != nil {
			t.Fatal(err)
		}
		homes[peers.calls[0]] = true
	}
	if diff := cmp.Diff(1, len(homes)); diff != "" {
		t.Errorf("number of home nodes (-want +got):\n%s", diff)
	}
}

// observations counts the requests that the dispatcher reports to its Observer.
type observations struct{ passed, failed int }

func (o *observations) Observe(_ *baobabtide.Request, _ time.Duration, failed bool) {
	if failed {
		o.failed++
		return
	}
	o.passed++
}

// fixedPeers gives the same response to every attempt.
type fixedPeers struct {
	fakePeers
	status  int
	excused bool
	call    bool
}

func (p *fixedPeers) Forward(context.Context, baobabtide.TargetRef, *baobabtide.Request) (*baobabtide.Response, error) {
	resp := btfixture.OKResponse("x")
	resp.Status, resp.Excused, resp.Load = p.status, p.excused, baobabtide.Load{Slots: 1, Call: p.call}
	return resp, nil
}

// A failure that may be due to a failed call of the backend server must not be observed:
// a good version was reverted while the backend servers that it called were failing.
func TestExcusedFailuresAreNotObserved(t *testing.T) {
	tests := map[string]struct {
		peers  fixedPeers
		want   observations
		failed bool // CallFailed is called
	}{
		"succeeds":                  {fixedPeers{status: 200}, observations{passed: 1}, false},
		"fails":                     {fixedPeers{status: 500}, observations{failed: 1}, false},
		"fails after a failed call": {fixedPeers{status: 500, excused: true}, observations{}, false},
		"a call that fails":         {fixedPeers{status: 500, call: true}, observations{failed: 1}, true},
		"a call that succeeds":      {fixedPeers{status: 200, call: true}, observations{passed: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			var got observations
			callFailed := false
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &tt.peers, Observer: &got, CallFailed: func(time.Time) { callFailed = true }}
			resp, err := d.Serve(context.Background(), request("POST", ""))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got != tt.want || callFailed != tt.failed {
				t.Errorf("observed %+v, CallFailed called: %v", got, callFailed)
			}
		})
	}
}

// A node that has read records but no contract yet, for example only that of a rollout or
// an invalid one, knows no configuration: its callers may come back, no request is wrong.
func TestRequestsBeforeConfiguration(t *testing.T) {
	build := func(state *btconfig.State) *btroute.Table {
		return btroute.Build(state, btfixture.Members(3, 3, 1, "v1"), btroute.Locality{Node: "self"}, nil)
	}
	type outcome struct {
		Reason  baobabtide.Reason
		Verdict baobabtide.Verdict
	}
	tests := map[string]struct {
		table *btroute.Table
		want  outcome
	}{
		"no table":         {nil, outcome{baobabtide.ReasonNoConfig, baobabtide.NotRun}},
		"empty state":      {build(&btconfig.State{}), outcome{baobabtide.ReasonNoConfig, baobabtide.NotRun}},
		"no contract":      {build(&btconfig.State{Offset: 5}), outcome{baobabtide.ReasonNoConfig, baobabtide.NotRun}},
		"another customer": {build(&btconfig.State{Offset: 5, Contracts: map[string]btconfig.ContractState{"d": {Contract: *btfixture.Contract("d", "s")}}}), outcome{baobabtide.ReasonNoCustomer, baobabtide.NotRun}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return tt.table }, Peers: &fakePeers{}}
			_, err := d.Serve(context.Background(), request("GET", ""))
			re := baobabtide.AsRequestError(err)
			if diff := cmp.Diff(tt.want, outcome{re.Reason, re.Verdict}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// If the rate limits of all backend servers leave no turn before the deadline, the caller is
// told so at once, with the time of the first turn, and no node is asked.
func TestNoTurnIsRefusedUnsent(t *testing.T) {
	routes := table()
	peers := &fakePeers{errs: []error{nil}}
	d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers}
	for i, target := range routes.Destination("c", "service-0").Current.Pool.Targets() {
		load := baobabtide.Load{Slots: 1, RateLimit: 0.1, Turn: time.Duration(2+i) * time.Minute}
		target.Stats.RecordLoad("r", load, time.Now())
	}
	_, err := d.Serve(context.Background(), request("GET", ""))
	refusal := baobabtide.AsRequestError(err)
	if diff := cmp.Diff([]any{baobabtide.NotRun, baobabtide.ReasonOverload, 0}, []any{refusal.Verdict, refusal.Reason, len(peers.calls)}); diff != "" {
		t.Errorf("verdict, reason, attempts (-want +got):\n%s", diff)
	}
	if refusal.RetryAfter < time.Minute || refusal.RetryAfter > 3*time.Minute { // up to half more at random
		t.Errorf("RetryAfter %s, the first turn comes in 2 minutes", refusal.RetryAfter)
	}
}

// crashingPeers lets every backend server crash under every attempt.
type crashingPeers struct{ fakePeers }

func (p *crashingPeers) Forward(_ context.Context, target baobabtide.TargetRef, _ *baobabtide.Request) (*baobabtide.Response, error) {
	p.calls = append(p.calls, target.Node)
	return nil, &baobabtide.RequestError{Reason: baobabtide.ReasonBackend, Reached: true, Crashed: true}
}

// The node where a request begins counts the crashes of the request's own attempts, and
// refuses the same request from then on: as not run, and without asking another node.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	routes := table()
	peers := &crashingPeers{}
	var told int
	d := &Dispatcher{
		Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers,
		Quarantine: &btquarantine.Table{}, OnEntry: func(btquarantine.Entry) { told++ },
	}
	d.Budgets.SetBurst(100)
	type result struct {
		Verdict  baobabtide.Verdict
		Reason   baobabtide.Reason
		Attempts int
		Told     int
	}
	serve := func(target string) result {
		req := request("GET", "")
		req.Target, req.Host = target, fmt.Sprintf("127.0.0.%d", len(peers.calls)) // callers address any node
		_, err := d.Serve(context.Background(), req)
		got := baobabtide.AsRequestError(err)
		return result{got.Verdict, got.Reason, len(peers.calls), told}
	}
	if diff := cmp.Diff(result{baobabtide.MayHaveRun, baobabtide.ReasonBackend, 3, 3}, serve("/service-0?a")); diff != "" {
		t.Errorf("first request (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(result{baobabtide.NotRun, baobabtide.ReasonQuarantined, 3, 3}, serve("/service-0?a")); diff != "" {
		t.Errorf("the same again (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(4, min(4, serve("/service-0?b").Attempts)); diff != "" {
		t.Errorf("attempts after another request (-want +got):\n%s", diff)
	}
}

// A target without a rate limit takes the request even if it seems slower than a limited one
// that has no turn in time.
func TestTargetWithoutTurnIsPassedOver(t *testing.T) {
	routes := table()
	peers := &fakePeers{errs: []error{nil}}
	d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers}
	targets := routes.Destination("c", "service-0").Current.Pool.Targets()
	for _, target := range targets[1:] {
		target.Stats.RecordLoad("r", baobabtide.Load{Slots: 1, RateLimit: 0.1, Turn: 2 * time.Minute}, time.Now())
	}
	targets[0].Stats.RecordLoad("r", baobabtide.Load{Slots: 1, Work: time.Hour}, time.Now())
	if _, err := d.Serve(context.Background(), request("GET", "")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{targets[0].Ref.Node}, peers.calls); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

// failingPeers answer the first attempt with status 500 and refuse all others.
type failingPeers struct {
	fakePeers
	body string
	long bool // the body's length is unknown
}

func (p *failingPeers) Forward(_ context.Context, target baobabtide.TargetRef, _ *baobabtide.Request) (*baobabtide.Response, error) {
	p.calls = append(p.calls, target.Node)
	if len(p.calls) > 1 {
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
	}
	resp := btfixture.OKResponse(p.body)
	resp.Status = 500
	if p.long {
		resp.Length = -1
	}
	return resp, nil
}

// A request that had run and failed, and whose second attempt was refused, was reported as not run.
// Its caller gets the response of the first attempt, or learns at least that it has run.
func TestRefusedRetryDoesNotHideTheRun(t *testing.T) {
	tests := map[string]struct {
		peers failingPeers
		want  string
	}{
		"short response":      {failingPeers{body: "out of paper"}, "500 out of paper"},
		"response of unknown": {failingPeers{body: "out of paper", long: true}, "ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &tt.peers}
			resp, err := d.Serve(context.Background(), request("GET", ""))
			var got string
			if err != nil {
				got = baobabtide.AsRequestError(err).Verdict.String()
			} else {
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				got = fmt.Sprintf("%d %s", resp.Status, body)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome after %d attempts (-want +got):\n%s", len(tt.peers.calls), diff)
			}
		})
	}
}

// busyPeers are nodes whose targets have a wait. They refuse a request that may not wait so long
// and answer any other.
type busyPeers struct {
	fakePeers
	waits map[string]time.Duration // by node
}

func (p *busyPeers) Forward(ctx context.Context, target baobabtide.TargetRef, req *baobabtide.Request) (*baobabtide.Response, error) {
	wait := p.waits[target.Node]
	if req.MaxWait > 0 && wait > req.MaxWait {
		p.calls = append(p.calls, target.Node)
		refusal := baobabtide.Refuse(baobabtide.ReasonBusy, 0, nil)
		refusal.Load = baobabtide.Load{InFlight: 15, Queued: int(wait / time.Millisecond), Slots: 15, Work: 15 * time.Millisecond}
		return nil, refusal
	}
	return p.fakePeers.Forward(ctx, target, req)
}

// A request waits beside a full target only if no other is expected to answer earlier, and then
// beside the one with the shortest wait.
func TestBusyTargetRedirects(t *testing.T) {
	const long, short = 300 * time.Millisecond, 100 * time.Millisecond
	tests := map[string]struct {
		waits map[string]time.Duration
		body  int64
		want  func(calls []string) bool
	}{
		"none is busy": {nil, 0, func(calls []string) bool { return len(calls) == 1 }},
		"one is free": {map[string]time.Duration{"node-0000": long, "node-0001": long}, 0, func(calls []string) bool {
			return len(calls) <= 3 && calls[len(calls)-1] == "node-0002"
		}},
		"all are busy": {map[string]time.Duration{"node-0000": long, "node-0001": short, "node-0002": long}, 0, func(calls []string) bool {
			return len(calls) == 3 || len(calls) == 2
		}},
		"a long body is sent once": {map[string]time.Duration{"node-0000": long, "node-0001": long, "node-0002": long}, 1 << 20, func(calls []string) bool {
			return len(calls) == 1
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			peers := &busyPeers{fakePeers: fakePeers{errs: []error{nil}}, waits: tt.waits}
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers}
			req := request("POST", "")
			if tt.body > 0 {
				req.Body, req.BodyLength = &baobabtide.BytesBody{Data: make([]byte, tt.body)}, tt.body
			}
			if _, err := d.Serve(context.Background(), req); err != nil {
				t.Fatal(err)
			}
			if !tt.want(peers.calls) {
				t.Errorf("sent to %v", peers.calls)
			}
		})
	}
}

// loadPeers answer with a load.
type loadPeers struct {
	fakePeers
	load baobabtide.Load
}

func (p *loadPeers) Forward(context.Context, baobabtide.TargetRef, *baobabtide.Request) (*baobabtide.Response, error) {
	resp := btfixture.OKResponse("ok")
	resp.Load = p.load
	return resp, nil
}

// A load that no target can have does not rule the choice of targets.
func TestImpossibleLoadIsIgnored(t *testing.T) {
	tests := map[string]struct {
		load baobabtide.Load
		want int64
	}{
		"possible":          {baobabtide.Load{InFlight: 3, Slots: 10, Work: time.Millisecond}, 0},
		"unknown":           {baobabtide.Load{}, 0},
		"negative":          {baobabtide.Load{InFlight: -1 << 40, Slots: 10}, 1},
		"negative queue":    {baobabtide.Load{Queued: -1, Slots: 10}, 1},
		"too many slots":    {baobabtide.Load{Slots: 1 << 40}, 1},
		"negative work":     {baobabtide.Load{Slots: 10, Work: -time.Hour}, 1},
		"above all failing": {baobabtide.Load{Slots: 10, Failing: 1001}, 1},
		"no rate":           {baobabtide.Load{Slots: 10, RateLimit: math.NaN()}, 1},
		"negative turn":     {baobabtide.Load{Slots: 10, Turn: -time.Hour}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &loadPeers{load: tt.load}}
			resp, err := d.Serve(context.Background(), request("GET", ""))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if diff := cmp.Diff(tt.want, d.Counters.InvalidLoads.Load()); diff != "" {
				t.Errorf("ignored loads (-want +got):\n%s", diff)
			}
		})
	}
}
