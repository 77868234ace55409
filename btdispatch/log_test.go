package btdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btroute"
)

// serveLogged serves a request and returns the log lines.
func serveLogged(t *testing.T, peers baobabtide.Forwarder, method string) []string {
	t.Helper()
	return serveLoggedWith(t, table(), peers, method)
}

// serveLoggedWith is serveLogged with a route table.
func serveLoggedWith(t *testing.T, routes *btroute.Table, peers baobabtide.Forwarder, method string) []string {
	t.Helper()
	var out bytes.Buffer
	d := &Dispatcher{
		Node:  "self",
		Table: func() *btroute.Table { return routes },
		Peers: peers,
		Log:   btlog.NewDecisionLog(zerolog.New(&out).With().Str("node", "self").Logger()),
	}
	if resp, err := d.Serve(context.Background(), request(method, "")); err == nil {
		_ = resp.Body.Close()
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// A line must not hold a field twice: of two fields "node", readers took the latter, which
// named another node than the one that wrote the line.
func TestFieldsAreUnique(t *testing.T) {
	peers := &fakePeers{errs: []error{&baobabtide.RequestError{Reason: baobabtide.ReasonLost}}}
	for _, line := range serveLogged(t, peers, "POST") {
		if n := strings.Count(line, `"node":`); n != 1 {
			t.Errorf("field node occurs %d times in %s", n, line)
		}
	}
}

// The lines must tell which node was given up and why. In the wanted lines, 1 to 3 stand
// for the nodes in the order in which they were tried.
func TestLinesNameNodeAndCause(t *testing.T) {
	silent := errors.New("no answer")
	notSent := baobabtide.Refuse(baobabtide.ReasonLost, 0, silent)
	lost := &baobabtide.RequestError{Reason: baobabtide.ReasonLost, Err: silent}
	unreached := baobabtide.Refuse(baobabtide.ReasonUnreached, 0, errors.New(strings.Repeat("x", 1000)))
	refused := baobabtide.Refuse(baobabtide.ReasonOverload, 0, errors.New("queue is full"))
	limited := baobabtide.Refuse(baobabtide.ReasonRateLimit, 0, nil)
	tests := map[string]struct {
		method string
		peers  fakePeers
		want   []string
	}{
		"not sent":  {"POST", fakePeers{errs: []error{notSent, nil}}, []string{"request.moved from=1 reason=connection-lost cause=no answer"}},
		"unreached": {"POST", fakePeers{errs: []error{unreached, nil}}, []string{"request.moved from=1 reason=backend-unreached cause=" + strings.Repeat("x", 256)}},
		"refused":   {"POST", fakePeers{errs: []error{refused, nil}}, []string{"request.moved from=1 reason=overload"}},
		"lost, then fenced": {"POST", fakePeers{errs: []error{lost, nil}, settleVerdict: baobabtide.NotRun}, []string{
			"request.settled to=1 reason=connection-lost cause=no answer",
			"request.moved from=1 reason=connection-lost cause=no answer",
		}},
		"lost, and the node can't be asked": {"POST", fakePeers{errs: []error{lost}, settleErr: errors.New("down")}, []string{
			"request.settled to=1 reason=connection-lost cause=no answer settle-error=down",
			"request.failed to=1 reason=connection-lost cause=no answer",
		}},
		"lost, then refused for good": {"GET", fakePeers{errs: []error{lost, limited}}, []string{
			"request.retried from=1 reason=connection-lost cause=no answer",
			"request.failed to=2 reason=connection-lost reason-from=1",
		}},
		"refused by all": {"POST", fakePeers{errs: []error{refused}}, []string{
			"request.moved from=1 reason=overload",
			"request.moved from=2 reason=overload",
			"request.moved from=3 reason=overload",
			`request.refused to=3 reason=overload cause=no target for version "v1" of service "service-0" is left`,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // a pause of the process would end the moves of an overload early
				var got []string
				for _, line := range serveLogged(t, &tt.peers, tt.method) {
					got = append(got, abridge(t, line, tt.peers.calls))
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("lines (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A retry after a failed response has a reason as well.
func TestRetryAfterFailedResponseIsLogged(t *testing.T) {
	lines := serveLogged(t, &fixedPeers{status: 500}, "GET")
	if !strings.Contains(lines[0], `"reason":"failed-response","cause":"status 500"`) {
		t.Errorf("line %s", lines[0])
	}
}

// The attempt that ends the first round of a request is logged and counted like those
// before it.
func TestMoveIntoLateRoundIsLogged(t *testing.T) {
	contract := btfixture.Contract("c", "service-0")
	contract.Services[0].Routes[1].Objective = time.Second
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *contract}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	routes := btroute.Build(state, btfixture.Members(maxMoves+1, 1, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
	notSent := baobabtide.Refuse(baobabtide.ReasonLost, 0, nil)
	peers := &fakePeers{errs: []error{notSent, notSent, notSent, notSent, nil}}
	var late []bool
	for _, line := range serveLoggedWith(t, routes, peers, "POST") {
		late = append(late, strings.Contains(line, `"event":"request.moved"`) && strings.Contains(line, `"late":true`))
	}
	if diff := cmp.Diff([]bool{false, false, false, true}, late); diff != "" {
		t.Errorf("late moves (-want +got):\n%s", diff)
	}
}

// abridge returns the event of a line and its fields about nodes and causes. It replaces a
// node by its position in calls.
func abridge(t *testing.T, line string, calls []string) string {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		t.Fatal(err)
	}
	text := fields["event"].(string)
	for _, name := range []string{"from", "to", "reason", "reason-from", "cause", "settle-error"} {
		value, ok := fields[name].(string)
		if !ok {
			continue
		}
		for i, node := range calls {
			if value == node {
				value = string(rune('1' + i))
			}
		}
		text += " " + name + "=" + value
	}
	return text
}
