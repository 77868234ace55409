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
)

const (
	schedulePeriod = 2 * time.Millisecond
	maxTries       = 4                      // of a request that may be repeated
	patience       = 250 * time.Millisecond // a caller waits at most so long before it repeats
	maxConnections = 4096                   // to one node
	clientGrace    = 500 * time.Millisecond // beyond the timeout that the node knows
	maxOutstanding = 20_000                 // requests under way, more are not sent
)

// Driver sends the requests of callers.
type Driver struct {
	Customer string
	Routes   []Route
	// Nodes returns the callers' addresses of the nodes that callers use.
	Nodes func() []string
	// Servers returns the addresses of a service's backend servers, for direct
	// calls.
	Servers func(service string) []string
	Tally   *Tally

	client      fasthttp.Client
	sequence    atomic.Uint64
	outstanding atomic.Int64
}

// Run sends requests until the context ends and waits for their ends.
func (d *Driver) Run(ctx context.Context, seed uint64) {
	d.client = fasthttp.Client{
		MaxConnsPerHost:           maxConnections,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) },
	}
	defer d.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range d.Routes {
		wg.Go(func() { d.runRoute(ctx, &d.Routes[i], rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
}

// runRoute sends one route's requests at its rate, whether answers come or
// not.
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
				node, direct := rng.Uint64(), rng.Float64() < r.DirectShare
				if d.outstanding.Load() >= maxOutstanding {
					continue
				}
				d.outstanding.Add(1)
				wg.Go(func() {
					defer d.outstanding.Add(-1)
					d.request(r, node, direct)
				})
			}
		}
	}
}

// request sends one request and, where that is safe, repeats it.
func (d *Driver) request(r *Route, node uint64, direct bool) {
	name := "c" + strconv.FormatUint(d.sequence.Add(1), 10)
	if direct {
		d.requestDirect(r, name, node)
		return
	}
	key := ""
	if r.Keyed {
		key = "k" + name
	}
	started := time.Now()
	tries := 1
	if r.Keyed || r.Method == fasthttp.MethodGet {
		tries = maxTries
	}
	var last answer
	for i := range tries {
		if nodes := d.Nodes(); len(nodes) > 0 {
			address := nodes[(node+uint64(i))%uint64(len(nodes))]
			last = d.try(r, address, name, fmt.Sprintf("%s.%d", name, i), key)
		}
		if last.ending == Whole || last.ending == Failed || i == tries-1 {
			break
		}
		time.Sleep(patience)
	}
	d.Tally.end(key, last.ending, last.version, time.Since(started))
}

// answer is what one try got.
type answer struct {
	ending  Ending
	version string
}

func (d *Driver) try(r *Route, address, name, caller, key string) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	d.fill(req, r, address, caller)
	req.Header.Set(btcaller.HeaderCustomer, d.Customer)
	req.Header.Set(btcaller.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(btcaller.HeaderKey, key)
	}
	if err := d.client.DoTimeout(req, resp, r.Timeout+clientGrace); err != nil {
		return answer{ending: NoAnswer}
	}
	return d.judge(r, resp, name, caller)
}

func (d *Driver) fill(req *fasthttp.Request, r *Route, address, caller string) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + address + r.Path)
	req.Header.Set(btbackendstandin.HeaderCaller, caller)
	if r.Size > 0 {
		req.Header.Set(btbackendstandin.HeaderSize, strconv.Itoa(r.Size))
	}
	if r.BodySize > 0 {
		req.SetBodyRaw(bytes.Repeat([]byte{'b'}, r.BodySize))
	}
}

// judge says what an answer is worth to its caller.
func (d *Driver) judge(r *Route, resp *fasthttp.Response, name, caller string) answer {
	var verdict baobabtide.Verdict
	if err := verdict.UnmarshalText(resp.Header.Peek(btcaller.HeaderVerdict)); err != nil {
		return answer{ending: NoAnswer}
	}
	refused := len(resp.Header.Peek(btcaller.HeaderReason)) > 0
	d.Tally.try(caller, verdict, refused)
	version := string(resp.Header.Peek(btcaller.HeaderVersion))
	switch {
	case refused && verdict == baobabtide.NotRun:
		return answer{ending: NotRun}
	case refused && verdict == baobabtide.MayHaveRun:
		return answer{ending: MayHaveRun}
	case resp.StatusCode() != fasthttp.StatusOK:
		return answer{ending: Failed, version: version}
	}
	d.checkAnswer(r, resp, name)
	return answer{ending: Whole, version: version}
}

// checkAnswer makes sure that an answer is whole and the caller's own. A repeat
// of a booking may get the answer to an earlier try of the same caller.
func (d *Driver) checkAnswer(r *Route, resp *fasthttp.Response, name string) {
	caller := string(resp.Header.Peek(btbackendstandin.HeaderCaller))
	if !strings.HasPrefix(caller, name+".") {
		d.Tally.wrong(fmt.Sprintf("caller %s got the answer of %q", name, caller))
		return
	}
	body := resp.Body()
	if r.Size > 0 {
		if len(body) != r.Size {
			d.Tally.cut(fmt.Sprintf("caller %s got %d of %d bytes", name, len(body), r.Size))
		} else if !repeats(body, btbackendstandin.Pattern(caller)) {
			d.Tally.wrong(fmt.Sprintf("caller %s got bytes of another answer", name))
		}
		return
	}
	if !bytes.HasPrefix(body, []byte("caller="+caller+" ")) {
		d.Tally.wrong(fmt.Sprintf("caller %s got %.60q", name, body))
	} else if body[len(body)-1] != '\n' {
		d.Tally.cut(fmt.Sprintf("caller %s got %.60q", name, body))
	}
}

// repeats tells whether body is made of pattern and nothing else.
func repeats(body, pattern []byte) bool {
	for len(body) > 0 {
		n := min(len(body), len(pattern))
		if !bytes.Equal(body[:n], pattern[:n]) {
			return false
		}
		body = body[n:]
	}
	return true
}

// requestDirect sends a request straight to a backend server.
func (d *Driver) requestDirect(r *Route, caller string, node uint64) {
	servers := d.Servers(r.Service)
	if len(servers) == 0 {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	d.fill(req, r, servers[node%uint64(len(servers))], caller)
	started := time.Now()
	if err := d.client.DoTimeout(req, resp, r.Timeout+clientGrace); err == nil && resp.StatusCode() == fasthttp.StatusOK {
		d.Tally.recordDirect(time.Since(started))
	}
}
