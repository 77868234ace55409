// Package btdispatch takes a caller's request to a target and decides what to
// do when an attempt goes wrong.
package btdispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btretry"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	defaultAttempts = 3 // targets that one request may reach, where its route does not say
	maxMoves        = 4 // targets that may refuse a request before it reaches one
	maxTargets      = 16 + 2*maxMoves
	maxDepth        = 32
	noTargetRetry   = time.Second
	noConfigRetry   = time.Second
	keyHomeRetry    = 2 * time.Second
	silentGrace     = 30 * time.Second // calls on a replaced connection may go on for this long
	settlePart      = 4                // a lost attempt is settled within 1/4 of the time left
	minSettleWindow = 20 * time.Millisecond
	decidePart      = 8                      // a request that finds no room is refused within 1/8 of its objective
	minDecideWindow = 20 * time.Millisecond  // time for a move or two between zones
	timedOut        = 504                    // a backend server's answer at the deadline, which another attempt can't beat
	minRetryTime    = 100 * time.Millisecond // time left that makes another attempt worth its cost
	minFailure      = 500                    // lowest status of an answer that counts as a failure
	retrySpread     = 0.5                    // part of Retry-After that is random, so that callers do not return together
)

// Peers carries requests to other nodes.
type Peers interface {
	baobabtide.Forwarder
	// Replace drops the connection to a node for new calls.
	Replace(address string, grace time.Duration)
}

// Observer counts what requests show of a version.
type Observer interface {
	// Observe notes an answer. A request that says nothing of the version, such
	// as one whose caller went away, is not observed.
	Observe(req *baobabtide.Request, took time.Duration, failed bool)
}

// Dispatcher is the baobabtide.Handler of a node.
type Dispatcher struct {
	Node        string
	Incarnation uint64
	Table       func() *btroute.Table // nil before the first configuration
	Peers       Peers
	Local       baobabtide.Admitter
	Budgets     btretry.Budgets
	Observer    Observer // nil for none
	Log         *btlog.Decisions
	CallFailed  func(now time.Time) // told of failed calls of running work, nil for nobody

	sizes    btroute.Sizes
	calls    sync.Map // routes for calls of running work, by name
	attempts atomic.Uint64
	Counters Counters
}

// Counters count what became of requests. All fields only grow.
type Counters struct {
	Requests, Answered, NotRun, MayHaveRun, Moves, Retries, Settled atomic.Int64
}

// globalRandom draws from math/rand/v2's shared source.
type globalRandom struct{}

// IntN implements btroute.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// call is one request on its way.
type call struct {
	req     *baobabtide.Request
	line    *btroute.Line
	want    btroute.Want
	version *btroute.Version
	home    *btroute.Target // the only target allowed, nil for any
	began   time.Time
	reach   int // targets that the request may reach

	tried   [maxTargets]*btroute.Target
	count   int                      // targets tried in this round
	reached int                      // targets that may have seen the request
	moves   int                      // refusals that cost no target anything
	doubt   *baobabtide.RequestError // latest attempt that may have run, nil for none
	back    time.Duration            // shortest Retry-After of the refusals, 0 for none
}

// Serve implements baobabtide.Handler.
func (d *Dispatcher) Serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
	d.Counters.Requests.Add(1)
	resp, err := d.serve(ctx, req)
	if err != nil || resp.Status >= minFailure {
		d.noteFailedCall(req.Route)
	}
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
	d.Budgets.Earn(c.line.Service)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	for {
		resp, attemptErr := d.attempt(ctx, c)
		if attemptErr == nil && d.discard(c, resp) {
			continue
		}
		if attemptErr == nil {
			resp.Body = &endingBody{ReadCloser: resp.Body, end: cancel}
			return resp, nil
		}
		if !d.again(ctx, c, attemptErr) {
			cancel()
			told := c.final(attemptErr)
			d.logFinal(c, attemptErr, told)
			return nil, told
		}
	}
}

// discard gives up an answer of failure to an idempotent request in favor of
// another attempt, where one is allowed.
func (d *Dispatcher) discard(c *call, resp *baobabtide.Response) bool {
	failed := resp.Status >= minFailure && resp.Status != timedOut
	if !failed || !c.req.Idempotent || time.Until(c.req.Deadline) < minRetryTime || !d.retry(c) {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// noteLoad takes in the load of a target that came with an answer or a refusal.
func (d *Dispatcher) noteLoad(target *btroute.Target, route string, load baobabtide.Load) {
	if load.Call {
		d.calls.Store(route, true)
	}
	target.Stats.Report(route, load, time.Now())
}

// noteFailedCall tells of a request that failed if its route is one for calls.
func (d *Dispatcher) noteFailedCall(route string) {
	if _, call := d.calls.Load(route); call && d.CallFailed != nil {
		d.CallFailed(time.Now())
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
	c := &call{req: req, line: route.Choose(), began: time.Now(), reach: route.Terms.MaxAttempts}
	if c.reach == 0 {
		c.reach = defaultAttempts
	}
	req.Service = c.line.Service
	req.Route = route.Terms.Name
	req.Idempotent = route.Terms.Idempotent
	req.Priority = route.Terms.Priority
	if limit := c.began.Add(route.Terms.Timeout); limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	if route.Terms.Objective > 0 {
		req.Objective = c.began.Add(route.Terms.Objective)
	}
	if c.line.Rollout != nil {
		req.Rollout = c.line.Rollout.Offset
	}
	c.want = btroute.Want{Route: req.Route, Bytes: d.sizes.Expect(req.Route)}
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
			fmt.Errorf("no target for version %q of service %q is left", c.version.Name, c.line.Service))
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
		d.noteFailure(target, *c.req, re, started)
		return nil, re
	}
	d.noteLoad(target, c.req.Route, resp.Load)
	if resp.Length >= 0 {
		d.sizes.Learn(c.req.Route, resp.Length)
	}
	took := time.Since(started)
	shown := *c.req // the version is that of this attempt
	body := &answerBody{ReadCloser: resp.Body}
	body.end = func() {
		target.Stats.End(time.Now(), took, false)
		if !resp.Excused {
			d.observe(&shown, resp.Took, body.broken || resp.Status >= minFailure)
		}
	}
	resp.Body = body
	return resp, nil
}

func (d *Dispatcher) observe(req *baobabtide.Request, took time.Duration, failed bool) {
	if d.Observer != nil {
		d.Observer.Observe(req, took, failed)
	}
}

// noteFailure takes in what an attempt without an answer shows of its target.
func (d *Dispatcher) noteFailure(target *btroute.Target, shown baobabtide.Request, err *baobabtide.RequestError, started time.Time) {
	now := time.Now()
	target.Stats.End(now, now.Sub(started), blames(err))
	if err.Reason == baobabtide.ReasonBackend && err.Verdict != baobabtide.NotRun {
		d.observe(&shown, now.Sub(started), true)
	}
	if err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonUnreached {
		target.Stats.Silent(now)
		return
	}
	d.noteLoad(target, shown.Route, err.Load)
}

func (c *call) target() *btroute.Target {
	if c.home != nil {
		return c.home
	}
	now := time.Now()
	if t := c.version.Pool.Pick(now, globalRandom{}, c.want, c.tried[:c.count]); t != nil {
		return t
	}
	if c.version == &c.line.Current {
		return nil
	}
	c.version = &c.line.Current
	return c.version.Pool.Pick(now, globalRandom{}, c.want, c.tried[:c.count])
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
	case baobabtide.ReasonLost, baobabtide.ReasonBackend, baobabtide.ReasonTruncated:
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
	d.Log.Request(btlog.RequestSettled, req).Str("node", target.Ref.Node).Stringer("verdict", verdict).Send()
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
	if err.Verdict != baobabtide.NotRun {
		c.doubt = err
	}
	if err.RetryAfter > 0 && (c.back == 0 || err.RetryAfter < c.back) {
		c.back = err.RetryAfter
	}
	row := btretry.Decide(event(err), c.req.Idempotent)
	if row.Action != btretry.Retry || ctx.Err() != nil {
		return false
	}
	if c.home != nil {
		err.RetryAfter = max(err.RetryAfter, keyHomeRetry)
		return false
	}
	if err.Reason == baobabtide.ReasonNoTarget {
		return c.late()
	}
	if final(err.Reason) {
		return false
	}
	if err.Verdict == baobabtide.NotRun && !err.Reached {
		return d.move(c, err)
	}
	return d.retry(c)
}

// move tells whether a request that touched no target goes to another one.
func (d *Dispatcher) move(c *call, err *baobabtide.RequestError) bool {
	c.moves++
	window := minDecideWindow
	if !c.req.Objective.IsZero() {
		window = max(window, c.req.Objective.Sub(c.began)/decidePart)
	}
	crowded := err.Reason == baobabtide.ReasonOverload || err.Reason == baobabtide.ReasonTooSlow
	if crowded && c.req.Late {
		return false
	}
	if c.moves >= maxMoves || c.count >= len(c.tried) || (crowded && time.Since(c.began) > window) {
		return c.late()
	}
	if !c.rewind() {
		return false
	}
	d.Counters.Moves.Add(1)
	d.Log.Request(btlog.RequestMoved, c.req).Str("from", c.tried[c.count-1].Ref.Node).Str("reason", string(err.Reason)).
		Int("running", err.Load.InFlight).Int("waiting", err.Load.Queued).Dur("work-ms", err.Load.Work).Send()
	return true
}

// late gives a request that has found no room to meet its objective one more
// chance, in which the objective no longer counts.
func (c *call) late() bool {
	if c.req.Objective.IsZero() || c.req.Late || c.moves == 0 || !c.rewind() {
		return false
	}
	c.req.Late = true
	c.count = 0
	return true
}

// retry tells whether a request that may have reached a target is sent to
// another one, which draws on the service's budget.
func (d *Dispatcher) retry(c *call) bool {
	c.reached++
	if c.reached >= c.reach || c.count >= len(c.tried) || (c.req.Retried && c.req.Depth > 0) {
		return false
	}
	if !c.rewind() || !d.Budgets.Spend(c.line.Service) {
		return false
	}
	d.Counters.Retries.Add(1)
	d.Log.Request(btlog.RequestRetried, c.req).Str("from", c.tried[c.count-1].Ref.Node).Int("reached", c.reached).Send()
	c.req.Retried = true
	return true
}

// logFinal writes what a caller is told after the last attempt, and why.
func (d *Dispatcher) logFinal(c *call, last, told *baobabtide.RequestError) {
	event := btlog.RequestFailed
	if told.Verdict == baobabtide.NotRun {
		event = btlog.RequestRefused
	}
	line := d.Log.Request(event, c.req).Stringer("verdict", told.Verdict).Str("reason", string(told.Reason)).
		Str("last", string(last.Reason)).Int("moves", c.moves).Int("reached", c.reached).Bool("late", c.req.Late).
		Dur("took-ms", time.Since(c.began)).Dur("retry-after-ms", told.RetryAfter)
	if last.Err != nil {
		line = line.Str("cause", last.Err.Error())
	}
	line.Send()
}

func (c *call) rewind() bool { return c.req.Body == nil || c.req.Body.Rewind() }

// final returns what the caller is told after the last attempt.
func (c *call) final(err *baobabtide.RequestError) *baobabtide.RequestError {
	if c.doubt != nil && err.Verdict == baobabtide.NotRun {
		return c.doubt
	}
	if err.Verdict != baobabtide.NotRun {
		return err
	}
	told := *err
	if c.moves > 0 && err.Reason == baobabtide.ReasonNoTarget {
		told.Reason = baobabtide.ReasonOverload
		told.Err = errors.New("no target has room")
	}
	if c.back > 0 {
		told.RetryAfter = c.back + time.Duration(rand.Float64()*retrySpread*float64(c.back))
	}
	return &told
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
