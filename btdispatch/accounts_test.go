package btdispatch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btquota"
	"github.com/baobabtide/baobabtide/btroute"
)

// fakeAccounts counts what is taken and returned.
type fakeAccounts struct {
	over            bool // the account is over its limit
	unlimited       bool // it has none
	taken, returned int
}

func (a *fakeAccounts) Take(req *baobabtide.Request, _ time.Time) btquota.Admission {
	a.taken++
	req.AccountUse = 0.5
	return btquota.Admission{OK: !a.over, Counted: !a.over && !a.unlimited, Wait: time.Second}
}

func (a *fakeAccounts) Return(*baobabtide.Request) { a.returned++ }

// A request over the limit must not be sent, and only one that has not run is returned to the limit:
// otherwise refusals for other reasons use up the limit, or requests that ran don't count. Nor is one
// returned that began before the account had a limit, to which it would add.
func TestAccountLimit(t *testing.T) {
	type outcome struct {
		Calls, Taken, Returned int
		Reason                 baobabtide.Reason
	}
	tests := map[string]struct {
		account string
		over    bool
		free    bool // the account has no limit
		method  string
		err     error // of each attempt
		want    outcome
	}{
		"within the limit":    {"a", false, false, "GET", nil, outcome{1, 1, 0, ""}},
		"over the limit":      {"a", true, false, "GET", nil, outcome{0, 1, 0, baobabtide.ReasonAccountLimit}},
		"no account":          {"", true, false, "GET", nil, outcome{1, 0, 0, ""}},
		"refused":             {"a", false, false, "GET", baobabtide.Refuse(baobabtide.ReasonRateLimit, time.Second, nil), outcome{1, 1, 1, baobabtide.ReasonRateLimit}},
		"refused, no limit":   {"a", false, true, "GET", baobabtide.Refuse(baobabtide.ReasonRateLimit, time.Second, nil), outcome{1, 1, 0, baobabtide.ReasonRateLimit}},
		"may have run":        {"a", false, false, "POST", &baobabtide.RequestError{Reason: baobabtide.ReasonBackend}, outcome{1, 1, 0, baobabtide.ReasonBackend}},
		"ran without a reply": {"a", false, false, "POST", &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated}, outcome{1, 1, 0, baobabtide.ReasonTruncated}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			peers := &fakePeers{errs: []error{tt.err}}
			accounts := &fakeAccounts{over: tt.over, unlimited: tt.free}
			routes := table()
			d := &Dispatcher{Node: "self", Table: func() *btroute.Table { return routes }, Peers: peers, Accounts: accounts}
			req := request(tt.method, "")
			req.Account = tt.account
			resp, err := d.Serve(context.Background(), req)
			got := outcome{Calls: len(peers.calls), Taken: accounts.taken, Returned: accounts.returned}
			if err != nil {
				refusal := baobabtide.AsRequestError(err)
				got.Reason = refusal.Reason
				if tt.over && (refusal.Verdict != baobabtide.NotRun || refusal.RetryAfter < time.Second || refusal.RetryAfter > 3*time.Second/2) {
					t.Errorf("verdict %s, retry after %s", refusal.Verdict, refusal.RetryAfter)
				}
			} else {
				resp.Body.Close()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
