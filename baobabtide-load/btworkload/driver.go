package btworkload

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	schedulePeriod = 2 * time.Millisecond
	maxAttempts    = 4                      // of a request that may be retried
	retryDelay     = 250 * time.Millisecond // pause of a caller before it retries
	maxConnections = 4096                   // per node or backend server
	clientGrace    = 500 * time.Millisecond // added to the timeout that is sent to the node
	maxOutstanding = 20_000                 // requests in flight, due requests beyond this are skipped
)

// Driver simulates the callers of a customer.
type Driver struct {
	Customer string
	Routes   []Route
	// Nodes returns the addresses for callers of the nodes that requests go to.
	Nodes func() []string
	// Servers returns the addresses of a service's backend servers, for direct
	// requests.
	Servers func(service string) []string
	Tally   *Tally

	client      fasthttp.Client
	sequence    atomic.Uint64 // numbers the requests
	outstanding atomic.Int64
}

// dial opens a connection to a node.
func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return btconn.NewCheckedConn(c), nil
}

// Run sends requests until the context ends and waits until all of them have
// ended. The requests' random choices derive from seed.
func (d *Driver) Run(ctx context.Context, seed uint64) {
	d.client = fasthttp.Client{
		MaxConnsPerHost:           maxConnections,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
	}
	defer d.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range d.Routes {
		wg.Go(func() { d.runRoute(ctx, &d.Routes[i], rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
}

// runRoute sends a route's requests at its rate, independent of the responses. A request
// that is due while maxOutstanding are in flight is skipped.
func (d *Driver) runRoute(ctx context.Context, r *Route, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(schedulePeriod)
	defer ticker.Stop()
	started := time.Now()
	sent := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for due := int(now.Sub(started).Seconds() * r.RequestsPerSecond); sent < due; sent++ {
				index, direct := rng.Uint64(), rng.Float64() < r.DirectShare
				if d.outstanding.Load() >= maxOutstanding {
					continue
				}
				d.outstanding.Add(1)
				wg.Go(func() {
					defer d.outstanding.Add(-1)
					d.request(r, index, direct)
				})
			}
		}
	}
}

// request sends a request and records its outcome. A keyed request or a GET is retried,
// each time at the next node, until the service has answered it or maxAttempts is
// reached. The first node is chosen by index.
func (d *Driver) request(r *Route, index uint64, direct bool) {
	name := "c" + strconv.FormatUint(d.sequence.Add(1), 10)
	if direct {
		d.requestDirect(r, name, index)
		return
	}
	key := ""
	if r.Keyed {
		key = "k" + name
	}
	started := time.Now()
	attempts := 1
	if r.Keyed || r.Method == fasthttp.MethodGet {
		attempts = maxAttempts
	}
	var last attemptResult
	path := r.path(index)
	for i := range attempts {
		if nodes := d.Nodes(); len(nodes) > 0 {
			address := nodes[(index+uint64(i))%uint64(len(nodes))]
			last = d.attempt(r, path, address, name, fmt.Sprintf("%s.%d", name, i), key)
		}
		if last.outcome == Whole || last.outcome == Failed || i == attempts-1 {
			break
		}
		time.Sleep(retryDelay)
	}
	if !r.Crashes {
		d.Tally.recordRequest(key, last, time.Since(started))
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome Outcome
	reason  baobabtide.Reason // of a refusal
	version string
}

// attempt sends one attempt of a request to a node. name identifies the request, caller
// the attempt; an empty key sends none.
func (d *Driver) attempt(r *Route, path, address, name, caller, key string) attemptResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	d.fillRequest(req, r, path, address, caller)
	req.Header.Set(btcaller.HeaderCustomer, d.Customer)
	req.Header.Set(btcaller.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(btcaller.HeaderKey, key)
	}
	if err := d.client.DoTimeout(req, resp, r.Timeout+clientGrace); err != nil {
		return attemptResult{outcome: NoAnswer}
	}
	return d.classify(r, resp, name, caller)
}

// fillRequest sets the parts that requests to nodes and direct requests share.
func (d *Driver) fillRequest(req *fasthttp.Request, r *Route, path, address, caller string) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(btbackendstandin.HeaderCaller, caller)
	if r.Size > 0 {
		req.Header.Set(btbackendstandin.HeaderSize, strconv.Itoa(r.Size))
	}
	if r.BodySize > 0 {
		req.SetBodyRaw(bytes.Repeat([]byte{'b'}, r.BodySize))
	}
}

// classify returns the result of an attempt that got a response, and records the attempt
// and any fault of the response.
func (d *Driver) classify(r *Route, resp *fasthttp.Response, name, caller string) attemptResult {
	var verdict baobabtide.Verdict
	if err := verdict.UnmarshalText(resp.Header.Peek(btcaller.HeaderVerdict)); err != nil {
		return attemptResult{outcome: NoAnswer}
	}
	reason := baobabtide.Reason(resp.Header.Peek(btcaller.HeaderReason))
	refused := reason != ""
	d.Tally.recordAttempt(caller, verdict, reason)
	if !r.Crashes {
		d.Tally.recordInnocent(reason)
	}
	version := string(resp.Header.Peek(btcaller.HeaderVersion))
	switch {
	case refused && verdict == baobabtide.NotRun:
		return attemptResult{outcome: NotRun, reason: reason}
	case refused && verdict == baobabtide.MayHaveRun:
		return attemptResult{outcome: MayHaveRun, reason: reason}
	case resp.StatusCode() != fasthttp.StatusOK:
		return attemptResult{outcome: Failed, reason: reason, version: version}
	}
	d.checkResponse(r, resp, name)
	return attemptResult{outcome: Whole, version: version}
}

// checkResponse records a response that is truncated or belongs to another caller. A
// retry of a keyed request may get the response to an earlier attempt of the same
// request.
func (d *Driver) checkResponse(r *Route, resp *fasthttp.Response, name string) {
	caller := string(resp.Header.Peek(btbackendstandin.HeaderCaller))
	if !strings.HasPrefix(caller, name+".") {
		d.Tally.recordWrongCaller(fmt.Sprintf("caller %s got the response of %q", name, caller))
		return
	}
	body := resp.Body()
	if r.Size > 0 {
		if len(body) != r.Size {
			d.Tally.recordTruncated(fmt.Sprintf("caller %s got %d of %d bytes", name, len(body), r.Size))
		} else if !isRepetition(body, btbackendstandin.Pattern(caller)) {
			d.Tally.recordWrongCaller(fmt.Sprintf("caller %s got bytes of another response", name))
		}
		return
	}
	if !bytes.HasPrefix(body, []byte("caller="+caller+" ")) {
		d.Tally.recordWrongCaller(fmt.Sprintf("caller %s got %.60q", name, body))
	} else if body[len(body)-1] != '\n' {
		d.Tally.recordTruncated(fmt.Sprintf("caller %s got %.60q", name, body))
	}
}

// isRepetition reports whether body consists of repeated copies of pattern, the
// last of which may be incomplete.
func isRepetition(body, pattern []byte) bool {
	for len(body) > 0 {
		n := min(len(body), len(pattern))
		if !bytes.Equal(body[:n], pattern[:n]) {
			return false
		}
		body = body[n:]
	}
	return true
}

// requestDirect sends a request directly to a backend server, chosen by index, and
// records its latency if it succeeds.
func (d *Driver) requestDirect(r *Route, caller string, index uint64) {
	servers := d.Servers(r.Service)
	if len(servers) == 0 {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	d.fillRequest(req, r, r.path(index), servers[index%uint64(len(servers))], caller)
	started := time.Now()
	if err := d.client.DoTimeout(req, resp, r.Timeout+clientGrace); err == nil && resp.StatusCode() == fasthttp.StatusOK {
		d.Tally.recordDirect(time.Since(started))
	}
}
