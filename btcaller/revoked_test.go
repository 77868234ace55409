package btcaller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btdispatch"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btroute"
)

// heldPeers responds to a forwarded request once it is released. It counts the requests.
type heldPeers struct {
	arrived chan string // targets of the requests
	release chan struct{}
}

func (p *heldPeers) Forward(ctx context.Context, _ baobabtide.TargetRef, req *baobabtide.Request) (*baobabtide.Response, error) {
	p.arrived <- req.Account + " " + req.Target
	select {
	case <-p.release:
		return btfixture.OKResponse("ok"), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *heldPeers) Settle(context.Context, baobabtide.TargetRef, string) (baobabtide.Verdict, error) {
	return baobabtide.MayHaveRun, nil
}

// keyedTable returns a route table of a contract with one account and the given keys.
func keyedTable(keys ...string) *btroute.Table {
	contract := btfixture.Contract("c", "service-0")
	contract.Accounts = []baobabtide.Account{{Name: "a"}}
	for _, key := range keys {
		contract.Accounts[0].Keys = append(contract.Accounts[0].Keys, baobabtide.DigestKey([]byte(key)))
	}
	for i := range contract.Services[0].Routes {
		contract.Services[0].Routes[i].Timeout = time.Minute
	}
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *contract}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	return btroute.Build(state, btfixture.Members(1, 1, 1, "v1"), btroute.Locality{Node: "self", Zone: "zone-0"}, nil)
}

// TestRevokedKeyOnOpenConnection guards against a connection that remembers its key: once a table
// without the key is in force, requests on it are refused, also those that were sent before and
// wait behind an earlier one. A request that runs already is answered.
func TestRevokedKeyOnOpenConnection(t *testing.T) {
	var routes atomic.Pointer[btroute.Table]
	routes.Store(keyedTable("old", "other"))
	peers := &heldPeers{arrived: make(chan string, 10), release: make(chan struct{})}
	d := &btdispatch.Dispatcher{Node: "self", Table: routes.Load, Peers: peers}
	c, err := net.Dial("tcp", start(t, d.Serve))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(c)
	send := func(target, key string) {
		t.Helper()
		text := "POST " + target + " HTTP/1.1\r\nHost: h\r\nBaobabtide-Customer: c\r\nBaobabtide-Account-Key: " + key + "\r\nContent-Length: 0\r\n\r\n"
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	statuses := func(count int) []int {
		t.Helper()
		var got []int
		for range count {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			got = append(got, resp.StatusCode)
		}
		return got
	}
	send("/service-0/1", "old")
	if diff := cmp.Diff("a /service-0/1", <-peers.arrived); diff != "" {
		t.Errorf("first request (-want +got):\n%s", diff)
	}
	send("/service-0/2", "old") // waits behind the first, which is not idempotent
	send("/service-0/3", "other")
	routes.Store(keyedTable("other", "new"))
	close(peers.release)
	if diff := cmp.Diff([]int{200, 401, 200}, statuses(3)); diff != "" {
		t.Errorf("statuses of requests sent before the change (-want +got):\n%s", diff)
	}
	send("/service-0/4", "old")
	send("/service-0/5", "new")
	send("/service-0/6", "old")
	if diff := cmp.Diff([]int{401, 200, 401}, statuses(3)); diff != "" {
		t.Errorf("statuses of requests sent after the change (-want +got):\n%s", diff)
	}
	close(peers.arrived)
	var forwarded []string
	for target := range peers.arrived {
		forwarded = append(forwarded, target)
	}
	if diff := cmp.Diff([]string{"a /service-0/3", "a /service-0/5"}, forwarded); diff != "" {
		t.Errorf("further requests that were forwarded (-want +got):\n%s", diff)
	}
}
