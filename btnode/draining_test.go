package btnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btoperator"
)

// memoryLog is a log with one stream.
type memoryLog struct {
	appended broadcast

	mu      sync.Mutex
	entries []baobabtide.Entry
}

func (l *memoryLog) Append(_ context.Context, _ baobabtide.Stream, data []byte) (baobabtide.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := baobabtide.Entry{Offset: baobabtide.Offset(len(l.entries) + 1), Time: time.Now(), Data: data}
	l.entries = append(l.entries, entry)
	l.appended.signal()
	return entry, nil
}

func (l *memoryLog) Read(ctx context.Context, _ baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	appended := l.appended.wait()
	if page := l.page(from); len(page.Entries) > 0 {
		return page, nil
	}
	select {
	case <-appended:
	case <-time.After(wait):
	case <-ctx.Done():
		return baobabtide.Page{}, ctx.Err()
	}
	return l.page(from), nil
}

func (l *memoryLog) page(from baobabtide.Offset) baobabtide.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := baobabtide.Offset(len(l.entries) + 1)
	first := min(max(from, 1), next)
	return baobabtide.Page{Entries: l.entries[first-1:], First: 1, Next: next}
}

// chosenAddresses holds the addresses that setFreeAddresses has chosen.
var chosenAddresses sync.Map

// setFreeAddresses sets each address to a host:port on which nothing listens, and which no other
// node of the tests gets. No other process uses the host.
func setFreeAddresses(t *testing.T, addresses ...*string) {
	t.Helper()
	pid := os.Getpid()
	for i := 0; i < len(addresses); {
		l, err := net.Listen("tcp", fmt.Sprintf("127.252.%d.%d:0", pid>>8&0xff, pid&0xff))
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if _, taken := chosenAddresses.LoadOrStore(l.Addr().String(), true); !taken {
			*addresses[i] = l.Addr().String()
			i++
		}
	}
}

// Until its last request has ended, a node that drains applies configuration changes,
// acknowledges the backend server's messages and answers operators, callers and the
// readiness check. A second order to drain and the signal after it change nothing.
func TestDrainingNodeServes(t *testing.T) {
	log := &memoryLog{}
	n, stop := runningNode(t, func(a *Adapters) { a.Log = log })
	operator := btoperator.NewClient(n.settings.Operator.Listen, nil)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	publish := func(customer string) {
		t.Helper()
		contract := btfixture.Contract(customer, "s")
		contract.Services[0].Drain = baobabtide.DrainTerms{Notice: 50 * time.Millisecond, Finish: 2 * eventTimeout}
		result, err := operator.Publish(ctx, &baobabtide.Record{ID: customer, Actor: "operator", Contract: contract})
		if err != nil || !result.Entry.Accepted {
			t.Fatalf("publish the contract of %s: %+v, %v", customer, result, err)
		}
		waitUntil(t, "configuration in force", func() bool { return n.inForce() >= result.Entry.Offset })
	}
	waitUntil(t, "node serves operators", func() bool {
		_, err := operator.Status(ctx)
		return err == nil
	})
	publish("c")

	started, end := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-end
	}))
	defer backend.Close()
	announcement := btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: backend.Listener.Addr().String(), State: baobabtide.TargetReady,
		Slots: 4, Incarnation: 1, Sequence: 1, Lease: time.Minute,
	}
	if err := btbackend.Announce(n.settings.Backend.Listen, &announcement); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "backend server is registered", func() bool { return len(n.local.Loads()) == 1 })
	status := make(chan int, 1)
	go func() {
		req := &baobabtide.Request{Method: "GET", Target: "/", Attempt: "a", Service: "s", Idempotent: true, Deadline: time.Now().Add(eventTimeout)}
		resp, err := n.Admit(ctx, "b", 1, req)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.Status
	}()
	<-started

	for range 2 {
		result, err := operator.Drain(ctx, &btoperator.DrainRequest{Node: "n", Reason: "test", Actor: "operator"})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(1, result.InFlight); diff != "" {
			t.Errorf("requests in flight when the drain is ordered (-want +got):\n%s", diff)
		}
		waitUntil(t, "new requests are refused", n.refusing.Load)
	}
	publish("d")
	announcement.State, announcement.Sequence = baobabtide.TargetDraining, 2
	if err := btbackend.Announce(n.settings.Backend.Listen, &announcement); err != nil {
		t.Error(err)
	}
	current, err := operator.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(current.Nodes) != 1 || !current.Nodes[0].Draining {
		t.Errorf("status of the nodes: %+v", current.Nodes)
	}
	for url, want := range map[string]int{
		"http://" + n.settings.Metrics.Ready + readyPath:  fasthttp.StatusServiceUnavailable,
		"http://" + n.settings.Caller.Listen + "/unknown": fasthttp.StatusBadRequest, // the request names no customer
	} {
		got, _, err := fasthttp.GetTimeout(nil, url, eventTimeout)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("%s: error %v, status (-want +got):\n%s", url, err, diff)
		}
	}
	close(end)
	stop()
	if diff := cmp.Diff(fasthttp.StatusOK, <-status); diff != "" {
		t.Errorf("status of the request that ran during the drain (-want +got):\n%s", diff)
	}
}
