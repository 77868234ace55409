package btnode

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btsettings"
)

// With -graces 200 -longest-grace 60s TestStopAtEveryGraceTime runs longer, by hand.
var (
	graceCount   = flag.Int("graces", 12, "number of grace times that TestStopAtEveryGraceTime draws")
	longestGrace = flag.Duration("longest-grace", 11*time.Second, "longest of them")
)

// graceRequest is a request that is sent around a planned stop.
type graceRequest struct {
	sent    time.Duration // after the signal
	run     time.Duration // at the backend server
	timeout time.Duration // of the caller

	status int // 0 if the connection ended without a response
	reason string
	ended  time.Duration // after the signal
	err    error
}

// graceBackend is a backend server that runs each request for the time that its path names in
// milliseconds.
type graceBackend struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (b *graceBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/") // empty, run time, name
	millis, _ := strconv.Atoi(parts[1])
	b.mu.Lock()
	b.ran[parts[2]] = true
	b.mu.Unlock()
	select {
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// TestStopAtEveryGraceTime guards against a planned stop that does not fit the time until the platform
// kills the process: one that breaks off requests early, or that lasts too long. It draws grace times and
// requests, and compares their ends with a plain model.
func TestStopAtEveryGraceTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	for i := range *graceCount {
		grace := 10 * time.Second
		if i > 0 {
			grace = time.Second + time.Duration(random.Int64N(int64(*longestGrace-time.Second))).Round(time.Millisecond)
		}
		var requests []graceRequest
		for range 24 {
			requests = append(requests, graceRequest{
				sent:    time.Duration(random.Int64N(int64(grace * 11 / 10))),
				run:     time.Duration(random.Int64N(int64(min(grace, 6*time.Second)))),
				timeout: min(time.Duration(random.Int64N(int64(grace))), 6*time.Second) + 50*time.Millisecond,
			})
		}
		if i%4 == 3 {
			requests = nil // nothing is pending
		}
		t.Run(fmt.Sprint(i, " ", grace), func(t *testing.T) {
			t.Parallel()
			checkGrace(t, grace, requests)
		})
	}
}

// checkGrace stops a node under a grace time and checks the ends of requests.
func checkGrace(t *testing.T, grace time.Duration, requests []graceRequest) {
	backend := &graceBackend{ran: make(map[string]bool)}
	server := httptest.NewServer(backend)
	defer server.Close()
	n, stop := runningNode(t, func(*Adapters) {})
	reloaded := *n.settings
	reloaded.Limits = btsettings.Limits{GraceSeconds: grace.Seconds()}
	n.Reload(&reloaded)
	contract := btfixture.Contract("c", "s")
	contract.Services[0].Routes = []baobabtide.RouteTerms{{Name: "all", PathPrefix: "/", Timeout: time.Minute}}
	n.config.Adopt(&btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *contract}},
		Assignments: map[string]baobabtide.Assignment{btconfig.AssignmentKey("c", "s"): {Customer: "c", Service: "s", Current: "v1"}},
	})
	n.markDirty()
	n.registry.Announce(btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: server.Listener.Addr().String(), State: baobabtide.TargetReady, Slots: 100, Incarnation: n.incarnation + 1, Lease: time.Minute,
	}, time.Now())
	waitUntil(t, "requests are served", func() bool {
		r := graceRequest{timeout: time.Second}
		r.send(n.settings.Caller.Listen, "warm", time.Now())
		return r.status == http.StatusOK
	})

	signal := time.Now()
	stopped := make(chan time.Duration)
	go func() {
		stop()
		stopped <- time.Since(signal)
	}()
	var sending sync.WaitGroup
	for i := range requests {
		sending.Go(func() {
			time.Sleep(time.Until(signal.Add(requests[i].sent)))
			requests[i].send(n.settings.Caller.Listen, strconv.Itoa(i), signal)
		})
	}
	took := <-stopped
	sending.Wait()
	if took > grace {
		t.Errorf("the stop took %s", took)
	}
	if most := min(2200*time.Millisecond, grace/2) + time.Second; len(requests) == 0 && took > most {
		t.Errorf("the stop took %s without requests, %s are allowed", took, most)
	}
	for i := range requests {
		if fault := requests[i].fault(grace, took, backend.ran[strconv.Itoa(i)]); fault != "" {
			t.Errorf("%s: %+v", fault, requests[i])
		}
	}
}

// send sends the request and waits for its end.
func (r *graceRequest) send(address, name string, signal time.Time) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%d/%s", address, r.run.Milliseconds(), name), http.NoBody)
	if err != nil {
		r.err = err
		return
	}
	req.Header.Set(btcaller.HeaderCustomer, "c")
	req.Header.Set(btcaller.HeaderTimeout, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	r.ended = time.Since(signal)
	if err != nil {
		r.err = err
		return
	}
	_ = resp.Body.Close()
	r.status, r.reason = resp.StatusCode, resp.Header.Get(btcaller.HeaderReason)
}

// Bounds of the model.
const (
	graceSlack   = 300 * time.Millisecond // within which a limit of the model may be crossed on a busy machine
	countedAfter = 3 * time.Second        // requests that are sent later may not be broken off at all
	lastSixth    = 6
)

// fault returns what is wrong with the end of a request, empty for nothing. The stop took the given
// time.
func (r *graceRequest) fault(grace, took time.Duration, ran bool) string {
	isFinal := r.ended >= grace-grace/lastSixth-graceSlack
	expired := r.ended-r.sent >= r.timeout-graceSlack
	switch {
	case r.status == http.StatusOK:
		return ""
	case r.err != nil && r.sent < took-graceSlack:
		return "no response"
	case r.err != nil, expired:
		return ""
	case r.status == http.StatusServiceUnavailable && ran:
		return "refused as not run, and has run"
	case r.status == http.StatusServiceUnavailable && r.reason == string(baobabtide.ReasonDraining) && r.sent < min(2200*time.Millisecond, grace/3)-graceSlack && !isFinal:
		return "refused during the notice"
	case r.status == http.StatusServiceUnavailable:
		return ""
	case !isFinal:
		return "broken off early"
	case r.sent > countedAfter:
		return "taken late and broken off"
	default:
		return ""
	}
}
