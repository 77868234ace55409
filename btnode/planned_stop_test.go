package btnode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btsettings"
)

const (
	eventTimeout = 20 * time.Second // longest wait for an expected event
	pollPeriod   = time.Millisecond
)

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !holds(); time.Sleep(pollPeriod) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, eventTimeout)
		}
	}
}

// announceServer announces a backend server of service "s" with an address beside a node,
// and puts a contract with the given drain terms in force there.
func announceServer(n *Node, address string, drain baobabtide.DrainTerms) {
	contract := btfixture.Contract("c", "s")
	contract.Services[0].Drain = drain
	n.config.Adopt(&btconfig.State{Offset: 1, Contracts: map[string]btconfig.ContractState{"c": {Contract: *contract}}})
	n.registry.Announce(btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: address, Slots: 4, Incarnation: 1, Lease: time.Minute,
	}, time.Now())
	n.announceTargets()
}

// A request that runs beside a node that stops makes calls through that node. They were
// refused connections as soon as the node had no other callers, and the request failed.
func TestStopServesCallsOfRunningRequests(t *testing.T) {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, stop := servingNode(t, callers, btfixture.NewListener())
	started, call := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-call
		resp, err := http.Get("http://" + callers.Addr().String() + "/call")
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_ = resp.Body.Close()
		if resp.Header.Get(btcaller.HeaderReason) == string(baobabtide.ReasonDraining) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer backend.Close()
	announceServer(n, backend.Listener.Addr().String(), baobabtide.DrainTerms{Notice: 50 * time.Millisecond, Finish: eventTimeout})
	status := make(chan int, 1)
	go func() {
		req := &baobabtide.Request{Method: "GET", Target: "/", Attempt: "a", Service: "s", Idempotent: true, Deadline: time.Now().Add(eventTimeout)}
		resp, err := n.Admit(context.Background(), "b", 1, req)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		status <- resp.Status
		_ = resp.Body.Close()
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	waitUntil(t, "new requests are refused", n.refusing.Load)
	time.Sleep(4 * disseminationTime) // until callers would be refused; too short a wait can only hide the fault
	close(call)
	if diff := cmp.Diff(http.StatusOK, <-status); diff != "" {
		t.Errorf("status of the request whose call was made during the stop (-want +got):\n%s", diff)
	}
	<-stopped
}

// A request that doesn't end beside a node that stops is given a quarter of the time to
// finish; callers are refused then, so that those admitted before have the rest. Requests that
// end in time, such as the calls of the one that runs, are still admitted.
func TestRunningRequestLeavesTimeToCallers(t *testing.T) {
	const finish = 4 * time.Second
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, stop := servingNode(t, callers, btfixture.NewListener())
	started, end := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-end
	}))
	defer backend.Close()
	defer close(end)
	announceServer(n, backend.Listener.Addr().String(), baobabtide.DrainTerms{Notice: 50 * time.Millisecond, Finish: finish})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		req := &baobabtide.Request{Method: "GET", Target: "/", Attempt: "a", Service: "s", Idempotent: true, Deadline: time.Now().Add(eventTimeout)}
		_, _ = n.Admit(ctx, "b", 1, req)
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	waitUntil(t, "callers are refused", func() bool {
		resp, err := http.Get("http://" + callers.Addr().String())
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.Header.Get(btcaller.HeaderReason) == string(baobabtide.ReasonDraining)
	})
	select {
	case <-n.drained:
		t.Error("callers were served until the end of the stop")
	default:
	}
	call, err := http.NewRequest(http.MethodGet, "http://"+callers.Addr().String(), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	call.Header.Set(btcaller.HeaderTimeout, "300")
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.Header.Get(btcaller.HeaderReason) == string(baobabtide.ReasonDraining) {
		t.Error("a call that ends before the stop was refused")
	}
	cancel()
	<-stopped
}

// A node gets SIGTERM after the backend server beside it has ended, or before it knows a
// configuration. Its stop used to last longer than the contracts allow then, 21 s, and the
// process was killed with the requests of its callers.
func TestDrainTermsWithoutTarget(t *testing.T) {
	_ = (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)) // starts fasthttp's clock outside the bubble
	drain := baobabtide.DrainTerms{Notice: 2 * time.Second, Finish: 3 * time.Second}
	tests := map[string]func(n *Node){
		"the backend server has ended": func(n *Node) {
			n.settings.Backend.Service = "s"
			announceServer(n, "127.0.0.1:1", drain)
			n.registry.Deregister("b", 0, time.Now())
		},
		"no configuration is known": func(n *Node) {
			n.settings.Terms = btsettings.Terms{Customer: "c", Drain: drain}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(closeTime)
				l := btfixture.NewListener()
				n, stop := servingNode(t, l, btfixture.NewListener())
				prepare(n)
				conn, err := l.Dial(1 << 20)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil { // the response is never read
					t.Fatal(err)
				}
				synctest.Wait()
				began := time.Now()
				n.Drain("test")
				time.Sleep(drain.Notice - time.Millisecond)
				if n.refusing.Load() {
					t.Error("the notice was cut short")
				}
				<-n.drained
				if diff := cmp.Diff(drain.Notice+drain.Finish, time.Since(began).Truncate(100*time.Millisecond)); diff != "" {
					t.Errorf("duration of the drain (-want +got):\n%s", diff)
				}
				stop()
			})
		})
	}
}

// runningNode runs a node on the loopback interface, without other nodes or a log, until
// the returned function is called, which returns when the node has stopped. adapt may
// change the adapters.
func runningNode(t *testing.T, adapt func(*Adapters)) (*Node, func()) {
	t.Helper()
	s := idleSettings()
	setFreeAddresses(t, &s.Caller.Listen, &s.Backend.Listen, &s.Operator.Listen, &s.Peer.Listen, &s.Metrics.Ready)
	s.Terms = btsettings.Terms{Customer: "c", Drain: baobabtide.DrainTerms{Notice: 100 * time.Millisecond, Finish: eventTimeout}}
	adapters, closeAdapters := defaultAdapters(s)
	adapt(&adapters)
	n, free, err := NewWithAdapters(s, zerolog.Nop(), adapters)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- n.Run(ctx) }()
	return n, func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		free()
		closeAdapters()
	}
}

// The neighbors of a node that leaves keep its targets for its next process. The
// backend server's last message may be that it is gone; the next process used to restore
// it, and requests reached it after it had been acknowledged as gone.
func TestStopHandsOverAcknowledgedDeparture(t *testing.T) {
	n, stop := runningNode(t, func(a *Adapters) {
		newServer := a.NewAnnounceServer
		a.NewAnnounceServer = func(registry *btbackend.Registry, settings func() btsettings.Backend) (*fasthttp.Server, func()) {
			s, stopServer := newServer(registry, settings)
			return s, func() {
				registry.Deregister("b", 0, time.Now()) // the last message before the server stops
				stopServer()
			}
		}
	})
	announceServer(n, "127.0.0.1:1", baobabtide.DrainTerms{Finish: eventTimeout})
	received := neighborOf(n)
	stop()
	var left []baobabtide.Member
	for _, m := range <-received {
		for i := range m.Members {
			if m.Members[i].Status == baobabtide.Left {
				left = append(left, baobabtide.Member{Name: m.Members[i].Name, Targets: m.Members[i].Targets})
			}
		}
	}
	if diff := cmp.Diff([]baobabtide.Member{{Name: "n"}}, left, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("records of the node that has left (-want +got):\n%s", diff)
	}
}

// neighborOf adds an edge to a node and returns a channel that receives all messages on the
// edge once the node has closed it.
func neighborOf(n *Node) <-chan []*btpeer.Gossip {
	ctx, cancel := context.WithCancelCause(context.Background())
	e := &edge{name: "neighbor", queue: make(chan *btpeer.Gossip, edgeQueueSize), ctx: ctx, cancel: cancel, lastReceived: time.Now()}
	n.edges.add(e)
	received := make(chan []*btpeer.Gossip, 1)
	go func() {
		var messages []*btpeer.Gossip
		for {
			select {
			case m := <-e.queue:
				messages = append(messages, m)
				continue
			default:
			}
			if ctx.Err() != nil {
				received <- messages
				return
			}
			select {
			case m := <-e.queue:
				messages = append(messages, m)
			case <-ctx.Done():
			}
		}
	}()
	return received
}

// A change of the backend server that is announced while the node begins to refuse requests
// must not announce it as ready again.
func TestAnnouncementDoesNotUndoDrain(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	announceServer(n, "127.0.0.1:1", baobabtide.DrainTerms{})
	n.registry.Announce(btbackend.Announcement{
		Name: "b", Service: "s", Version: "v2", Address: "127.0.0.1:1", State: baobabtide.TargetReady, Slots: 4, Incarnation: 2, Lease: time.Minute,
	}, time.Now())
	announced := make(chan struct{})
	n.members.mu.Lock()
	go func() {
		n.announceTargets()
		close(announced)
	}()
	time.Sleep(50 * time.Millisecond) // until the other goroutine waits for the lock; too short a wait can only hide the fault
	n.refusing.Store(true)
	n.members.mu.Unlock()
	<-announced
	want := []baobabtide.Target{{Name: "b", Service: "s", Version: "v2", State: baobabtide.TargetDraining, Slots: 4, Incarnation: 2}}
	if diff := cmp.Diff(want, n.members.table.Self().Targets); diff != "" {
		t.Errorf("announced targets (-want +got):\n%s", diff)
	}
}

// A server whose stop takes long must not keep a node from ending, and the first one, which
// refuses callers meanwhile, must be stopped last.
func TestSlowServerDoesNotProlongStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops := make(chan string, 2)
		began := time.Now()
		stopListeners([]listener{
			{name: "callers", stop: func() { stops <- "callers" }},
			{name: "operators", stop: func() { time.Sleep(closeTime) }},
			{name: "peers", stop: func() { stops <- "peers" }},
		}, time.Second)
		if diff := cmp.Diff([]string{"peers", "callers"}, []string{<-stops, <-stops}); diff != "" {
			t.Errorf("stopped servers (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(time.Second, time.Since(began)); diff != "" {
			t.Errorf("duration (-want +got):\n%s", diff)
		}
		time.Sleep(closeTime)
	})
}
