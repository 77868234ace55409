// Package btdispatch takes a caller's request to a target and decides what to
// do when an attempt goes wrong.
package btdispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btretry"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	maxAttempts     = 3
	maxDepth        = 32
	noTargetRetry   = time.Second
	noConfigRetry   = time.Second
	keyHomeRetry    = 2 * time.Second
	silentGrace     = 30 * time.Second // calls on a replaced connection may go on for this long
	settlePart      = 4                // a lost attempt is settled within 1/4 of the time left
	minSettleWindow = 20 * time.Millisecond
)

// Peers carries requests to other nodes.
type Peers interface {
	baobabtide.Forwarder
	// Replace drops the connection to a node for new calls.
	Replace(address string, grace time.Duration)
}

// Dispatcher is the baobabtide.Handler of a node.
type Dispatcher struct {
	Node        string
	Incarnation uint64
	Table       func() *btroute.Table // nil before the first configuration
	Peers       Peers
	Local       baobabtide.Admitter

	budget   btretry.Budget
	attempts atomic.Uint64
	Counters Counters
}

// Counters count what became of requests. All fields only grow.
type Counters struct {
	Requests, Answered, NotRun, MayHaveRun, Retries, Settled atomic.Int64
}

// globalRandom draws from math/rand/v2's shared source.
type globalRandom struct{}

// IntN implements btroute.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// call is one request on its way.
type call struct {
	req     *baobabtide.Request
	line    *btroute.Line
	version *btroute.Version
	home    *btroute.Target // the only target allowed, nil for any
	tried   [maxAttempts]*btroute.Target
	count   int // attempts made
}

// Serve implements baobabtide.Handler.
func (d *Dispatcher) Serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
	d.Counters.Requests.Add(1)
	resp, err := d.serve(ctx, req)
	switch {
	case err == nil:
		d.Counters.Answered.Add(1)
		return resp, nil
	case err.Verdict == baobabtide.NotRun:
		d.Counters.NotRun.Add(1)
	case err.Verdict == baobabtide.MayHaveRun:
		d.Counters.MayHaveRun.Add(1)
	}
	return nil, err
}

func (d *Dispatcher) serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, *baobabtide.RequestError) {
	c, err := d.prepare(req)
	if err != nil {
		return nil, err
	}
	d.budget.Earn()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	for {
		resp, attemptErr := d.attempt(ctx, c)
		if attemptErr == nil {
			resp.Body = &endingBody{ReadCloser: resp.Body, end: cancel}
			return resp, nil
		}
		if !d.again(ctx, c, attemptErr) {
			cancel()
			return nil, attemptErr
		}
	}
}

// prepare matches a request to its route and chooses the version.
func (d *Dispatcher) prepare(req *baobabtide.Request) (*call, *baobabtide.RequestError) {
	table := d.Table()
	if table == nil || table.Offset == 0 {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoConfig, noConfigRetry, nil)
	}
	if !table.HasCustomer(req.Customer) {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoCustomer, 0, fmt.Errorf("customer %q has no contract", req.Customer))
	}
	route := table.Match(req.Customer, req.Host, req.Method, req.Target)
	if route == nil {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoRoute, 0, nil)
	}
	if req.Depth > maxDepth {
		return nil, baobabtide.Refuse(baobabtide.ReasonTooDeep, 0, fmt.Errorf("depth %d exceeds %d", req.Depth, maxDepth))
	}
	req.Service = route.Line.Service
	req.Route = route.Terms.Name
	req.Idempotent = route.Terms.Idempotent
	req.Priority = route.Terms.Priority
	if limit := time.Now().Add(route.Terms.Timeout); limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	c := &call{req: req, line: route.Line}
	if route.Line.Rollout != nil {
		req.Rollout = route.Line.Rollout.Offset
	}
	c.choose()
	return c, nil
}

// choose sets the version and, for a keyed request that must not run twice,
// the one node that knows its key.
func (c *call) choose() {
	if c.req.Key == "" || c.req.Idempotent {
		c.version = c.line.Choose(rand.Float64())
		return
	}
	hash := btroute.KeyHash(c.req.Key)
	c.version = c.line.Choose(float64(hash>>11) / (1 << 53))
	c.home = c.line.Home(hash, c.version)
	if c.home != nil && c.home.Version != c.version.Name {
		c.version = &c.line.Current
	}
}

// attempt sends the request to one target.
func (d *Dispatcher) attempt(ctx context.Context, c *call) (*baobabtide.Response, *baobabtide.RequestError) {
	target := c.target()
	if target == nil {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoTarget, noTargetRetry,
			fmt.Errorf("no target for version %q of service %q is known", c.version.Name, c.line.Service))
	}
	c.tried[c.count] = target
	c.count++
	c.req.Attempt = d.attemptID()
	c.req.Version = target.Version
	started := time.Now()
	target.Stats.Begin(started)
	resp, err := d.send(ctx, target, c.req)
	if err != nil {
		re := d.settle(ctx, target, c.req, baobabtide.AsRequestError(err))
		target.Stats.End(time.Now(), time.Since(started), blames(re))
		return nil, re
	}
	target.Stats.Report(resp.Load)
	took := time.Since(started)
	resp.Body = &endingBody{ReadCloser: resp.Body, end: func() {
		target.Stats.End(time.Now(), took, resp.Status >= 500)
	}}
	return resp, nil
}

func (c *call) target() *btroute.Target {
	if c.home != nil {
		return c.home
	}
	if t := c.version.Pool.Pick(time.Now(), globalRandom{}, c.tried[:c.count]); t != nil {
		return t
	}
	if c.version == &c.line.Current {
		return nil
	}
	c.version = &c.line.Current
	return c.version.Pool.Pick(time.Now(), globalRandom{}, c.tried[:c.count])
}

func (d *Dispatcher) attemptID() string {
	return d.Node + "." + strconv.FormatUint(d.Incarnation, 36) + "." + strconv.FormatUint(d.attempts.Add(1), 36)
}

func (d *Dispatcher) send(ctx context.Context, target *btroute.Target, req *baobabtide.Request) (*baobabtide.Response, error) {
	if target.Ref.Node != d.Node {
		return d.Peers.Forward(ctx, target.Ref, req)
	}
	resp, err := d.Local.Admit(ctx, target.Ref.Name, target.Ref.Incarnation, req)
	if err == nil {
		resp.Node = d.Node
	}
	return resp, err
}

// blames tells whether an error counts against the target's health.
func blames(err *baobabtide.RequestError) bool {
	switch err.Reason {
	case baobabtide.ReasonLost, baobabtide.ReasonBackend, baobabtide.ReasonDeadline, baobabtide.ReasonTruncated:
		return true
	default:
		return false
	}
}

// settle asks the admitting node what became of a non-idempotent attempt whose
// answer was lost. It also replaces the connection that may have gone silent.
func (d *Dispatcher) settle(ctx context.Context, target *btroute.Target, req *baobabtide.Request, err *baobabtide.RequestError) *baobabtide.RequestError {
	lost := err.Verdict == baobabtide.MayHaveRun && (err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonDeadline)
	if !lost || target.Ref.Node == d.Node {
		return err
	}
	if btretry.Decide(btretry.EventLost, req.Idempotent).Action != btretry.Settle {
		return err
	}
	d.Counters.Settled.Add(1)
	window := max(time.Until(req.Deadline)/settlePart, minSettleWindow)
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), window)
	defer cancel()
	verdict, askErr := d.Peers.Settle(ask, target.Ref, req.Attempt)
	if askErr != nil {
		return err
	}
	d.Peers.Replace(target.Ref.Address, silentGrace)
	settled := *err
	settled.Verdict = verdict
	return &settled
}

// event classifies how an attempt ended, after settle.
func event(err *baobabtide.RequestError) btretry.Event {
	lost := err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonDeadline
	switch {
	case err.Verdict == baobabtide.Ran && lost:
		return btretry.EventLostRan
	case err.Verdict == baobabtide.Ran:
		return btretry.EventTruncated
	case err.Verdict == baobabtide.NotRun && err.Reason == baobabtide.ReasonDeadline:
		return btretry.EventTimeoutUnrun
	case err.Verdict == baobabtide.NotRun && err.Reason == baobabtide.ReasonLost:
		return btretry.EventNotSent
	case err.Verdict == baobabtide.NotRun:
		return btretry.EventRefused
	case err.Reason == baobabtide.ReasonDeadline:
		return btretry.EventTimeout
	case err.Reason == baobabtide.ReasonBackend:
		return btretry.EventBackendLost
	default:
		return btretry.EventLost
	}
}

// again tells whether another attempt is made.
func (d *Dispatcher) again(ctx context.Context, c *call, err *baobabtide.RequestError) bool {
	row := btretry.Decide(event(err), c.req.Idempotent)
	if row.Action != btretry.Retry || ctx.Err() != nil {
		return false
	}
	if c.home != nil {
		err.RetryAfter = max(err.RetryAfter, keyHomeRetry)
		return false
	}
	if c.count == maxAttempts || (c.req.Retried && c.req.Depth > 0) || final(err.Reason) {
		return false
	}
	if c.req.Body != nil && !c.req.Body.Rewind() {
		return false
	}
	if !d.budget.Spend() {
		return false
	}
	d.Counters.Retries.Add(1)
	c.req.Retried = true
	return true
}

// final tells reasons that another target would give too.
func final(reason baobabtide.Reason) bool {
	switch reason {
	case baobabtide.ReasonNoTarget, baobabtide.ReasonBadRequest, baobabtide.ReasonRateLimit, baobabtide.ReasonDuplicateKey, baobabtide.ReasonCanceled:
		return true
	default:
		return false
	}
}
