package btdispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btroute"
)

// fakePeers answers the attempts in turn, and questions with one verdict.
type fakePeers struct {
	errs     []error // nil for a whole answer
	settled  baobabtide.Verdict
	unsettle error
	calls    []string // nodes that were asked
	asked    int
	replaced int
}

func (p *fakePeers) Forward(_ context.Context, target baobabtide.TargetRef, _ *baobabtide.Request) (*baobabtide.Response, error) {
	err := p.errs[min(len(p.calls), len(p.errs)-1)]
	p.calls = append(p.calls, target.Node)
	if err != nil {
		return nil, err
	}
	return btfixture.Text("ok"), nil
}

func (p *fakePeers) Settle(context.Context, baobabtide.TargetRef, string) (baobabtide.Verdict, error) {
	p.asked++
	return p.settled, p.unsettle
}

func (p *fakePeers) Replace(string, time.Duration) { p.replaced++ }

// table routes one service over three nodes other than the dispatcher's.
func table() *btroute.Table {
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *btfixture.Contract("c", "service-0")}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	return btroute.Build(state, btfixture.Members(3, 3, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
}

func request(method, key string) *baobabtide.Request {
	return &baobabtide.Request{Customer: "c", Method: method, Target: "/service-0", Key: key, Deadline: time.Now().Add(time.Minute)}
}

// Each case states how often a request is sent and what its caller learns.
func TestAttempts(t *testing.T) {
	refused := baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, nil)
	notSent := baobabtide.Refuse(baobabtide.ReasonLost, 0, errors.New("dial"))
	lost := &baobabtide.RequestError{Reason: baobabtide.ReasonLost}
	backendLost := &baobabtide.RequestError{Reason: baobabtide.ReasonBackend}
	limited := baobabtide.Refuse(baobabtide.ReasonRateLimit, time.Second, nil)
	type outcome struct {
		Calls   int
		Asked   int
		Verdict baobabtide.Verdict
	}
	ran, notRun, inDoubt := baobabtide.Ran, baobabtide.NotRun, baobabtide.MayHaveRun
	tests := map[string]struct {
		method string
		key    string
		peers  fakePeers
		want   outcome
	}{
		"answered":                              {"POST", "", fakePeers{errs: []error{nil}}, outcome{1, 0, ran}},
		"refused once":                          {"POST", "", fakePeers{errs: []error{refused, nil}}, outcome{2, 0, ran}},
		"refused everywhere":                    {"POST", "", fakePeers{errs: []error{refused}}, outcome{3, 0, notRun}},
		"not sent":                              {"POST", "", fakePeers{errs: []error{notSent, nil}}, outcome{2, 0, ran}},
		"rate limit holds everywhere":           {"GET", "", fakePeers{errs: []error{limited}}, outcome{1, 0, notRun}},
		"lost and idempotent":                   {"GET", "", fakePeers{errs: []error{lost, nil}}, outcome{2, 0, ran}},
		"lost, then fenced off":                 {"POST", "", fakePeers{errs: []error{lost, nil}, settled: notRun}, outcome{2, 1, ran}},
		"lost, and it ran":                      {"POST", "", fakePeers{errs: []error{lost}, settled: ran}, outcome{1, 1, ran}},
		"lost, and it may have run":             {"POST", "", fakePeers{errs: []error{lost}, settled: inDoubt}, outcome{1, 1, inDoubt}},
		"lost, and the node can't be asked":     {"POST", "", fakePeers{errs: []error{lost}, unsettle: errors.New("down")}, outcome{1, 1, inDoubt}},
		"backend server lost":                   {"POST", "", fakePeers{errs: []error{backendLost}}, outcome{1, 0, inDoubt}},
		"backend server lost and idempotent":    {"GET", "", fakePeers{errs: []error{backendLost, nil}}, outcome{2, 0, ran}},
		"keyed requests stay with their home":   {"POST", "k", fakePeers{errs: []error{refused, nil}}, outcome{1, 0, notRun}},
		"keyed and idempotent may go elsewhere": {"GET", "k", fakePeers{errs: []error{refused, nil}}, outcome{2, 0, ran}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &tt.peers}
			_, err := d.Serve(context.Background(), request(tt.method, tt.key))
			got := outcome{Calls: len(tt.peers.calls), Asked: tt.peers.asked, Verdict: ran}
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

// A repeat of a key reaches the same node whichever node it comes through.
func TestKeyedRequestsMeetAtOneNode(t *testing.T) {
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
		t.Errorf("homes (-want +got):\n%s", diff)
	}
}

// observed counts what the dispatcher shows of versions.
type observed struct{ passed, failed int }

func (o *observed) Observe(_ *baobabtide.Request, _ time.Duration, failed bool) {
	if failed {
		o.failed++
		return
	}
	o.passed++
}

// answering gives the same answer to every attempt.
type answering struct {
	fakePeers
	status  int
	excused bool
	call    bool
}

func (p *answering) Forward(context.Context, baobabtide.TargetRef, *baobabtide.Request) (*baobabtide.Response, error) {
	resp := btfixture.Text("x")
	resp.Status, resp.Excused, resp.Load = p.status, p.excused, baobabtide.Load{Slots: 1, Call: p.call}
	return resp, nil
}

// A good version was taken back while the servers that it calls were failing.
func TestFailuresOfCallsSayNothingOfTheVersion(t *testing.T) {
	tests := map[string]struct {
		peers  answering
		want   observed
		failed bool // a call is told to have failed
	}{
		"sound":               {answering{status: 200}, observed{passed: 1}, false},
		"failed":              {answering{status: 500}, observed{failed: 1}, false},
		"failed with a call":  {answering{status: 500, excused: true}, observed{}, false},
		"a call that fails":   {answering{status: 500, call: true}, observed{failed: 1}, true},
		"a call that is well": {answering{status: 200, call: true}, observed{passed: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			routes := table()
			var got observed
			told := false
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &tt.peers, Observer: &got, CallFailed: func(time.Time) { told = true }}
			resp, err := d.Serve(context.Background(), request("POST", ""))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got != tt.want || told != tt.failed {
				t.Errorf("observed %+v, told of a failed call: %v", got, told)
			}
		})
	}
}
