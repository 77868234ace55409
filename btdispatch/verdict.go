package btdispatch

import (
	"context"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btretry"
	"github.com/baobabtide/baobabtide/btroute"
)

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
		return btretry.EventTimeoutNotRun
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

// final tells reasons that another target would give too.
func final(reason baobabtide.Reason) bool {
	switch reason {
	case baobabtide.ReasonNoTarget, baobabtide.ReasonBadRequest, baobabtide.ReasonRateLimit, baobabtide.ReasonDuplicateKey, baobabtide.ReasonCanceled:
		return true
	default:
		return false
	}
}
