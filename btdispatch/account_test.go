package btdispatch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btroute"
)

// accountPeers keeps the account and the priority of the forwarded requests.
type accountPeers struct {
	fakePeers
	sent []accountOutcome
}

func (p *accountPeers) Forward(_ context.Context, _ baobabtide.TargetRef, req *baobabtide.Request) (*baobabtide.Response, error) {
	p.sent = append(p.sent, accountOutcome{Account: req.Account, Priority: req.Priority, Verdict: baobabtide.Ran})
	return btfixture.OKResponse("ok"), nil
}

// accountOutcome is what becomes of a request.
type accountOutcome struct {
	Account  string
	Priority int
	Verdict  baobabtide.Verdict
	Reason   baobabtide.Reason
}

// accountTable returns a route table of a contract with a route of priority 3 and accounts.
func accountTable(public bool, accounts ...baobabtide.Account) *btroute.Table {
	contract := btfixture.Contract("c", "service-0")
	contract.Accounts = accounts
	for i := range contract.Services[0].Routes {
		contract.Services[0].Routes[i].Priority, contract.Services[0].Routes[i].Public = 3, public
	}
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *contract}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	return btroute.Build(state, btfixture.Members(3, 3, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
}

// TestAccountOfRequest guards against requests that run without the key of an account, or with the
// wrong account or priority.
func TestAccountOfRequest(t *testing.T) {
	known, unknown := baobabtide.DigestKey([]byte("known")), baobabtide.DigestKey([]byte("unknown"))
	account := baobabtide.Account{Name: "a", Keys: []baobabtide.KeyDigest{known}, Priority: 5}
	refused := accountOutcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonUnknownKey}
	keyed := accountTable(false, account)
	public := accountTable(true, account)
	without := accountTable(false)
	tests := map[string]struct {
		table *btroute.Table
		key   *baobabtide.KeyDigest
		want  accountOutcome
	}{
		"known":                       {keyed, &known, accountOutcome{"a", 53, baobabtide.Ran, ""}},
		"unknown":                     {keyed, &unknown, refused},
		"missing":                     {keyed, nil, refused},
		"empty or several":            {keyed, &baobabtide.KeyDigest{}, refused},
		"known, public route":         {public, &known, accountOutcome{"a", 53, baobabtide.Ran, ""}},
		"unknown, public route":       {public, &unknown, accountOutcome{"", 33, baobabtide.Ran, ""}},
		"missing, public route":       {public, nil, accountOutcome{"", 33, baobabtide.Ran, ""}},
		"missing, no accounts":        {without, nil, accountOutcome{"", 3, baobabtide.Ran, ""}},
		"unknown, no accounts":        {without, &unknown, accountOutcome{"", 3, baobabtide.Ran, ""}},
		"several, no accounts":        {without, &baobabtide.KeyDigest{}, accountOutcome{"", 3, baobabtide.Ran, ""}},
		"unknown, no configuration":   {nil, &unknown, accountOutcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonNoConfig}},
		"missing, no configuration":   {nil, nil, accountOutcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonNoConfig}},
		"unknown, empty route table":  {&btroute.Table{}, &unknown, accountOutcome{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonNoConfig}},
		"unknown, only later account": {accountTable(false, baobabtide.Account{Name: "b"}), &unknown, refused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			peers := &accountPeers{}
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return tt.table }, Peers: peers}
			req := request("GET", "")
			req.KeyDigest = tt.key
			var got accountOutcome
			if _, err := d.Serve(context.Background(), req); err != nil {
				refusal := baobabtide.AsRequestError(err)
				got = accountOutcome{Verdict: refusal.Verdict, Reason: refusal.Reason}
			}
			if len(peers.sent) > 0 {
				got = peers.sent[0]
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRemovedKeyIsRefused guards against keys that are remembered after the table has been replaced.
func TestRemovedKeyIsRefused(t *testing.T) {
	key := baobabtide.DigestKey([]byte("key"))
	with := accountTable(false, baobabtide.Account{Name: "a", Keys: []baobabtide.KeyDigest{key}})
	after := accountTable(false, baobabtide.Account{Name: "a"})
	routes := with
	d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: &accountPeers{}}
	serve := func() baobabtide.Reason {
		req := request("GET", "")
		req.KeyDigest = &key
		if _, err := d.Serve(context.Background(), req); err != nil {
			return baobabtide.AsRequestError(err).Reason
		}
		return ""
	}
	got := []baobabtide.Reason{serve()}
	routes = after
	got = append(got, serve())
	routes = with
	got = append(got, serve())
	if diff := cmp.Diff([]baobabtide.Reason{"", baobabtide.ReasonUnknownKey, ""}, got); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
}

// TestIdentifyDoesNotAllocate guards against work for the garbage collector with each request of an
// account.
func TestIdentifyDoesNotAllocate(t *testing.T) {
	key := baobabtide.DigestKey([]byte("key"))
	table := accountTable(false, baobabtide.Account{Name: "a", Keys: []baobabtide.KeyDigest{key}})
	route := table.Match("c", "", "GET", "/service-0")
	req := request("GET", "")
	req.KeyDigest = &key
	if n := testing.AllocsPerRun(100, func() { _ = identify(req, table.Accounts("c"), &route.Terms) }); n != 0 || req.Account != "a" {
		t.Errorf("%g allocations, account %q", n, req.Account)
	}
}

// BenchmarkPrepare compares a request of an account to one of a contract without accounts.
func BenchmarkPrepare(b *testing.B) {
	key := baobabtide.DigestKey([]byte("key"))
	for name, table := range map[string]*btroute.Table{
		"account": accountTable(false, baobabtide.Account{Name: "a", Keys: []baobabtide.KeyDigest{key}}), "no accounts": accountTable(false),
	} {
		b.Run(name, func(b *testing.B) {
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return table }}
			req := request("GET", "")
			req.KeyDigest = &key
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := d.prepare(req); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
