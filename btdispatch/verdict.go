package btdispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btretry"
	"github.com/baobabtide/baobabtide/btroute"
)

// reasonFailedResponse is the reason of a retry after a response with a status of
// minFailureStatus or more. No caller gets it.
const reasonFailedResponse baobabtide.Reason = "failed-response"

// discard reports whether another attempt replaces a failed response to an idempotent
// request, and then closes the response. Otherwise the response goes to the caller. A short
// response is kept for the case that no other one follows.
func (d *Dispatcher) discard(s *requestState, resp *baobabtide.Response) bool {
	failed := resp.Status >= minFailureStatus && resp.Status != gatewayTimeout
	if !failed || !s.req.Idempotent || time.Until(s.req.Deadline) < minRetryTime {
		return false
	}
	if !d.retry(s, reasonFailedResponse, fmt.Errorf("status %d", resp.Status)) {
		return false
	}
	s.held = hold(resp)
	_ = resp.Body.Close()
	s.mayHaveRunErr, s.mayHaveRunAt = &baobabtide.RequestError{
		Verdict: baobabtide.Ran, Reason: baobabtide.ReasonBackend, Reached: true, Err: fmt.Errorf("status %d", resp.Status),
	}, s.last
	return true
}

// hold returns a copy of a response with its body in memory, nil if the body is longer than
// maxHeldBody, of unknown length or incomplete.
func hold(resp *baobabtide.Response) *baobabtide.Response {
	if resp.Length < 0 || resp.Length > maxHeldBody {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBody+1))
	if err != nil || int64(len(data)) != resp.Length {
		return nil
	}
	held := *resp
	held.Body = io.NopCloser(bytes.NewReader(data))
	return &held
}

// countsAgainstTarget reports whether an error counts as a failure of the target.
func countsAgainstTarget(err *baobabtide.RequestError) bool {
	switch err.Reason {
	case baobabtide.ReasonLost, baobabtide.ReasonBackend, baobabtide.ReasonTruncated:
		return true
	default:
		return false
	}
}

// settle asks the admitting node whether a non-idempotent attempt ran whose response was
// lost, and returns the error with the verdict of that node. It returns err unchanged if
// there is nothing to settle or the node can't be reached. It goes on after the deadline of the
// request, but not if its caller has left or this node stops, which then has no time to wait.
func (d *Dispatcher) settle(ctx context.Context, target *btroute.Target, req *baobabtide.Request, err *baobabtide.RequestError) *baobabtide.RequestError {
	lost := err.Verdict == baobabtide.MayHaveRun && (err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonDeadline)
	if !lost || target.Ref.Node == d.Node {
		return err
	}
	if btretry.Decide(btretry.EventLost, req.Idempotent).Action != btretry.Settle {
		return err
	}
	d.Counters.Settled.Add(1)
	window := max(time.Until(req.Deadline)/settleWindowDivisor, minSettleWindow)
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), window)
	defer cancel()
	stopWatching := context.AfterFunc(ctx, func() {
		if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			cancel()
		}
	})
	defer stopWatching()
	started := time.Now()
	verdict, settleErr := d.Peers.Settle(settleCtx, target.Ref, req.Attempt)
	line := d.Log.Request(btlog.RequestSettled, req).Str("to", target.Ref.Node).Stringer("verdict", verdict).
		Str("reason", string(err.Reason)).Dur("took-ms", time.Since(started))
	line = btlog.AddError(line, "cause", err.Err)
	btlog.AddError(line, "settle-error", settleErr).Send()
	if settleErr != nil {
		return err
	}
	settled := *err
	settled.Verdict = verdict
	return &settled
}

// classify returns the event for the error of an attempt, as settle returned it.
func classify(err *baobabtide.RequestError) btretry.Event {
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

// nextAttempt reports whether another attempt follows one that failed with err, and
// updates the state for it. A non-idempotent request with a key is never sent to another
// target, because only its home target may run it.
func (d *Dispatcher) nextAttempt(ctx context.Context, s *requestState, err *baobabtide.RequestError) bool {
	if err.Verdict != baobabtide.NotRun {
		s.mayHaveRunErr, s.mayHaveRunAt = err, s.last
	}
	if err.RetryAfter > 0 && (s.minRetryAfter == 0 || err.RetryAfter < s.minRetryAfter) {
		s.minRetryAfter = err.RetryAfter
	}
	row := btretry.Decide(classify(err), s.req.Idempotent)
	if row.Action != btretry.Retry || ctx.Err() != nil {
		return false
	}
	if s.home != nil {
		err.RetryAfter = max(err.RetryAfter, keyHomeRetryAfter)
		return false
	}
	if err.Reason == baobabtide.ReasonNoTarget || s.unsent {
		return s.startLateRound()
	}
	if err.Reason == baobabtide.ReasonBusy {
		return d.redirect(s, err)
	}
	if isFinal(err.Reason) {
		return false
	}
	if err.Verdict == baobabtide.NotRun && !err.Reached {
		return d.move(s, err)
	}
	return d.retry(s, err.Reason, err.Err)
}

// redirect reports whether a request that a busy target refused is sent to another one.
func (d *Dispatcher) redirect(s *requestState, err *baobabtide.RequestError) bool {
	if s.redirects >= maxRedirects {
		return d.move(s, err)
	}
	if !s.rewind() {
		return false
	}
	s.busy[s.redirects] = s.last
	s.redirects++
	d.countMove(err.Reason)
	d.Log.Request(btlog.RequestMoved, s.req).Str("from", s.last.Ref.Node).Str("reason", string(err.Reason)).
		Int("running", err.Load.InFlight).Int("waiting", err.Load.Queued).Dur("work-ms", err.Load.Work).Dur("max-wait-ms", s.req.MaxWait).Send()
	return true
}

// move reports whether a request that reached no backend server is sent to another
// target. Moves don't draw on the retry budget; maxMoves bounds their number. A request
// that overloaded targets refuse is moved only for a part of the time to its objective.
// When no further move is allowed, its late round begins.
func (d *Dispatcher) move(s *requestState, err *baobabtide.RequestError) bool {
	s.moves++
	overloaded := err.Reason == baobabtide.ReasonOverload || err.Reason == baobabtide.ReasonTooSlow
	if overloaded && s.req.Late {
		return false
	}
	if overloaded {
		s.overloads++
	}
	if s.moves >= maxMoves || s.triedCount >= len(s.tried) || (overloaded && s.endsOverloadMoves()) {
		if !s.startLateRound() {
			return false
		}
	} else if !s.rewind() {
		return false
	}
	d.countMove(err.Reason)
	line := d.Log.Request(btlog.RequestMoved, s.req).Str("from", s.last.Ref.Node).Str("reason", string(err.Reason)).
		Int("running", err.Load.InFlight).Int("waiting", err.Load.Queued).Dur("work-ms", err.Load.Work).Bool("late", s.req.Late)
	if err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonUnreached {
		line = btlog.AddError(line, "cause", err.Err) // the other reasons say it all
	}
	line.Send()
	return true
}

// endsOverloadMoves reports whether overloaded targets no longer make the request move before its
// late round. Calls are moved for longer, because a refused one wastes the run that makes it.
func (s *requestState) endsOverloadMoves() bool {
	policy := s.info.Policy
	if policy != nil && policy.MaxOverloadMoves > 0 && s.overloads >= policy.MaxOverloadMoves && s.req.Depth == 0 && !s.req.Objective.IsZero() {
		return true
	}
	return time.Since(s.began) > s.moveWindow()
}

// retry reports whether a request that may have reached a backend server is sent to
// another target. Each retry draws on the retry budget of the service. A call (depth above
// 0) is retried at most once, counting retries by other layers. The reason and the cause
// are those of the failed attempt, for the log.
func (d *Dispatcher) retry(s *requestState, reason baobabtide.Reason, cause error) bool {
	s.reached++
	if s.reached >= s.maxReached || s.triedCount >= len(s.tried) || (s.req.Retried && s.req.Depth > 0) {
		return false
	}
	if !s.rewind() || !d.Budgets.Spend(s.destination.Service) {
		return false
	}
	d.countRetry(reason)
	line := d.Log.Request(btlog.RequestRetried, s.req).Str("from", s.last.Ref.Node).Int("reached", s.reached).Str("reason", string(reason))
	btlog.AddError(line, "cause", cause).Send()
	s.req.Retried = true
	return true
}

// isFinal reports whether any other target would give the same reason, so that another
// attempt can't help.
func isFinal(reason baobabtide.Reason) bool {
	switch reason {
	case baobabtide.ReasonQuarantined, baobabtide.ReasonNoTarget, baobabtide.ReasonBadRequest, baobabtide.ReasonRateLimit, baobabtide.ReasonUnknownKey, baobabtide.ReasonAccountLimit, baobabtide.ReasonDuplicateKey, baobabtide.ReasonCanceled:
		return true
	default:
		return false
	}
}
