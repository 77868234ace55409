package btnode

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btquota"
)

// accountState returns a configuration with one account.
func accountState(offset baobabtide.Offset, rate float64) *btconfig.State {
	contract := btfixture.Contract("c", "s")
	contract.Accounts = []baobabtide.Account{{Name: "a", RequestsPerSecond: rate, Burst: rate}}
	return &btconfig.State{Offset: offset, Contracts: map[string]btconfig.ContractState{"c": {Contract: *contract}}}
}

// accountNodes returns nodes in two zones that know each other and enforce the limits of accounts.
func accountNodes(t *testing.T, count int, log zerolog.Logger) []*Node {
	t.Helper()
	nodes := make([]*Node, count)
	var all btmember.Delta
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		settings := idleSettings()
		settings.Node.Name, settings.Node.Zone = fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2)
		settings.Peer.Listen = listener.Addr().String()
		n, free, err := New(settings, log)
		if err != nil {
			t.Fatal(err)
		}
		server, stop := btpeer.NewServer(n, nil, &n.bytes)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() {
			n.cancel()
			n.wg.Wait()
			stop()
			free()
		})
		nodes[i] = n
		all.Members = append(all.Members, n.self())
	}
	for _, n := range nodes {
		n.members.mu.Lock()
		n.members.table.Merge(all, time.Now())
		n.members.mu.Unlock()
		n.wg.Go(n.usageLoop)
		n.wg.Go(n.coordinateLoop)
	}
	return nodes
}

// A flood that reaches nodes of two zones must be cut to the limit over all of them, and the use of
// the account over all nodes must be known at each.
func TestAccountLimitOverAllNodes(t *testing.T) {
	const rate, duration = 100, 4 * time.Second
	nodes := accountNodes(t, 6, zerolog.Nop())
	now := time.Now()
	for _, n := range nodes {
		n.setAccountLimits(accountLimits(accountState(1, rate)), now)
	}
	req := &baobabtide.Request{Customer: "c", Account: "a"}
	admitted := 0
	for i := 0; time.Since(now) < duration; i++ {
		if nodes[i%len(nodes)].accounts.Take(req, time.Now()).OK {
			admitted++
		}
		time.Sleep(time.Second / (5 * rate))
	}
	bound := (rate*duration.Seconds()+rate)*1.1 + 20
	t.Logf("%d admitted, bound %.0f, use %.1f", admitted, bound, req.AccountUse)
	if float64(admitted) > bound || float64(admitted) < rate*duration.Seconds()*0.7 {
		t.Errorf("%d requests were admitted in %s at a limit of %d/s", admitted, duration, rate)
	}
	if req.AccountUse < 2 || req.AccountUse > 8 {
		t.Errorf("use of the account is %.1f, about 4 is sent", req.AccountUse)
	}
}

// A zone that is cut off must not delay the exchange with the others: each of its candidates cost a
// timeout in every round, so that the sums of healthy zones became too old to count.
func TestCutOffZoneDelaysNoExchange(t *testing.T) {
	nodes := accountNodes(t, 2, zerolog.Nop())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var cut btmember.Delta
	for i := range usageCandidates {
		m := nodes[1].self()
		m.Name, m.Zone, m.PeerAddress = fmt.Sprintf("cut%d", i), "cut", silent.Addr().String()
		cut.Members = append(cut.Members, m)
	}
	n := nodes[0]
	n.members.mu.Lock()
	n.members.table.Merge(cut, time.Now())
	n.members.mu.Unlock()
	n.setAccountLimits(accountLimits(accountState(1, 10)), time.Now())
	for range 3 {
		began := time.Now()
		n.exchangeUsage()
		if took := time.Since(began); took >= usageTimeout {
			t.Errorf("a round took %s", took)
		}
		for n.accounts.coordinator.Due(nodes[1].locality.Node, time.Now()) && time.Since(began) < 5*time.Second {
			time.Sleep(time.Millisecond)
		}
		if time.Since(began) >= 5*time.Second {
			t.Fatal("no sums of the healthy zone")
		}
		time.Sleep(btquota.Period)
	}
}

// The candidate that answered last gets the sums, and one before it as soon as it answers again:
// nodes report to the first one that answers, and a later one knows no demand.
func TestExchangeTargets(t *testing.T) {
	candidates := []baobabtide.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	up := map[string]bool{"a": true, "b": true, "c": true}
	e := &zoneExchange{}
	rounds := func(count int) string {
		for range count {
			for _, m := range e.targets(candidates) {
				if up[m.Name] {
					e.answered(candidates, m.Name)
				} else {
					e.unanswered(candidates, m.Name)
				}
			}
		}
		return e.current
	}
	for _, step := range []struct{ up, want string }{{"abc", "a"}, {"bc", "b"}, {"c", "c"}, {"bc", "b"}, {"abc", "a"}} {
		for name := range up {
			up[name] = strings.Contains(step.up, name)
		}
		if got := rounds(4); got != step.want {
			t.Errorf("with %s up, %q gets the sums", step.up, got)
		}
	}
}

// Without limits, no message must be sent and no loop must wake up for requests.
func TestNoAccountLimits(t *testing.T) {
	nodes := accountNodes(t, 2, zerolog.Nop())
	req := &baobabtide.Request{Customer: "c", Account: "a"}
	for range 1000 {
		if !nodes[0].accounts.Take(req, time.Now()).OK {
			t.Fatal("a request of an account without a limit was refused")
		}
	}
	time.Sleep(2 * btquota.Period)
	for _, n := range nodes {
		if bytes := n.bytes.Totals(); bytes.In != 0 || bytes.Out != 0 || n.accounts.coordinator.Active(time.Now()) {
			t.Errorf("%d and %d bytes were sent", bytes.In, bytes.Out)
		}
	}
}

// The metrics of accounts must not grow with their number.
func TestAccountMetricsAreBounded(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	state := accountState(1, 10)
	contract := state.Contracts["c"].Contract
	contract.Accounts = nil
	for i := range 500 {
		contract.Accounts = append(contract.Accounts, baobabtide.Account{Name: fmt.Sprintf("a%d", i), RequestsPerSecond: float64(i + 1), Burst: 1})
	}
	state.Contracts["c"] = btconfig.ContractState{Contract: contract}
	n.setAccountLimits(accountLimits(state), time.Now())
	for i := range 500 {
		n.accounts.Take(&baobabtide.Request{Customer: "c", Account: fmt.Sprintf("a%d", i)}, time.Now())
	}
	var text bytes.Buffer
	n.metrics.WritePrometheus(&text)
	if lines := strings.Count(text.String(), "baobabtide_account_"); lines != 5*maxAccountStatuses+2 {
		t.Errorf("%d lines on accounts", lines)
	}
	for _, want := range []string{`baobabtide_account_requests_total{customer="c",account="a499",result="admitted"} 1`, `baobabtide_account_requests_total{customer="",account="other",result="admitted"} 484`} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("%q is missing", want)
		}
	}
	if info := n.Info(); len(info.Accounts) != maxAccountStatuses {
		t.Errorf("%d accounts in the status", len(info.Accounts))
	}
}

// TestLabelValue guards against a name of an account that makes the page of metrics unreadable: the text
// format knows three escapes, and a parser rejects the page for others.
func TestLabelValue(t *testing.T) {
	for value, want := range map[string]string{
		"":                   `""`,
		"Swan Coast":         `"Swan Coast"`,
		"a\"b\\c\nd":         `"a\"b\\c\nd"`,
		"Gr\u00fcn\t\u00a0ß": "\"Gr\u00fcn\t\u00a0ß\"",
	} {
		if diff := cmp.Diff(want, labelValue(value)); diff != "" {
			t.Errorf("%q (-want +got):\n%s", value, diff)
		}
	}
}
