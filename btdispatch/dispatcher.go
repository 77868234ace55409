// Package btdispatch takes a caller's request to a target and decides what to
// do when an attempt goes wrong.
package btdispatch

import (
	"context"
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

// Recorder counts what callers are told.
type Recorder interface {
	// Done notes the end of a request, or the head of its answer; the reason is
	// empty for an answer.
	Done(req *baobabtide.Request, verdict baobabtide.Verdict, reason baobabtide.Reason, took time.Duration)
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
	Recorder    Recorder // nil for none
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

// Serve implements baobabtide.Handler.
func (d *Dispatcher) Serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
	d.Counters.Requests.Add(1)
	began := time.Now()
	resp, err := d.serve(ctx, req)
	d.record(req, err, time.Since(began))
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

func (d *Dispatcher) record(req *baobabtide.Request, err *baobabtide.RequestError, took time.Duration) {
	switch {
	case d.Recorder == nil:
	case err == nil:
		d.Recorder.Done(req, baobabtide.Ran, "", took)
	default:
		d.Recorder.Done(req, err.Verdict, err.Reason, took)
	}
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
		d.sizes.Record(c.req.Route, resp.Length)
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
		target.Stats.RecordUnresponsive(now)
		return
	}
	d.noteLoad(target, shown.Route, err.Load)
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
