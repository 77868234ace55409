// Package btdispatch sends requests of callers to targets and decides after a failed
// attempt whether to try another target or to return the error.
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
	"github.com/baobabtide/baobabtide/btquarantine"
	"github.com/baobabtide/baobabtide/btquota"
	"github.com/baobabtide/baobabtide/btretry"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	defaultAttempts     = 3                                   // targets that one request may reach if its route sets no MaxAttempts
	maxRedirects        = 3                                   // refusals by busy targets, after which the request waits at one
	maxRedirectBody     = 16 << 10                            // bytes of body that are sent again for such a refusal
	maxHeldBody         = 16 << 10                            // bytes of the body of a failed response that is kept during the next attempt
	maxMoves            = 4                                   // refusals after which a request is not moved again
	maxTargets          = baobabtide.MaxAttempts + 2*maxMoves // targets tried in one round
	maxDepth            = 32                                  // calls that may lead to a request, bounds loops between services
	noTargetRetryAfter  = time.Second
	noConfigRetryAfter  = time.Second
	keyHomeRetryAfter   = 2 * time.Second
	settleWindowDivisor = 4 // an attempt whose response was lost is settled within 1/4 of the time left
	minSettleWindow     = 20 * time.Millisecond
	moveWindowDivisor   = 8                      // a request that overloaded targets refuse is moved only within 1/8 of its objective
	minMoveWindow       = 20 * time.Millisecond  // lower bound of that time, enough for one or two moves between zones
	gatewayTimeout      = 504                    // status of a backend server's response at the deadline; another attempt would be no faster
	minRetryTime        = 100 * time.Millisecond // time left before the deadline that justifies another attempt
	minFailureStatus    = 500                    // lowest status of a response that counts as a failure
	minAccountJitter    = 200 * time.Millisecond // wait from which the random increase after a refusal for an account's limit is computed at least
	retryJitter         = 0.5                    // maximum relative random increase of RetryAfter, spreads the retries of callers over time
)

// Observer collects the results of requests as evidence on versions. It must be safe
// for concurrent use.
type Observer interface {
	// Observe records the time to the backend server's response and whether the
	// request failed. Requests that are no evidence on the version, such as those
	// canceled by their caller, are not observed.
	Observe(req *baobabtide.Request, took time.Duration, failed bool)
}

// Recorder collects the results of requests as callers see them. It must be safe for
// concurrent use.
type Recorder interface {
	// RecordResult records the result of a request, either an error or the header of a
	// response, and the time until then; the reason is empty for a response.
	RecordResult(req *baobabtide.Request, verdict baobabtide.Verdict, reason baobabtide.Reason, took time.Duration)
	// RecordMove records that a request is moved because an attempt failed for the reason.
	RecordMove(reason baobabtide.Reason)
	// RecordRetry records that a request is retried because an attempt failed for the reason.
	RecordRetry(reason baobabtide.Reason)
}

// Accounts enforces the limits of client accounts. It must be safe for concurrent use.
type Accounts interface {
	// Take admits a request of an account, or refuses one over the limit, and sets its AccountUse.
	Take(req *baobabtide.Request, now time.Time) btquota.Admission
	// Return takes back that a request was counted, which did not run.
	Return(req *baobabtide.Request)
}

// Dispatcher implements baobabtide.Handler: it sends each request to targets until one
// responds or no further attempt is allowed. Its fields must be set before Serve, which is
// safe for concurrent use.
type Dispatcher struct {
	Node        string
	Incarnation uint64
	Table       func() *btroute.Table // nil before the first configuration
	Peers       baobabtide.Forwarder
	Local       baobabtide.Admitter
	Budgets     btretry.Budgets
	Quarantine  *btquarantine.Table            // nil for none
	OnEntry     func(entry btquarantine.Entry) // called with each change of Quarantine that the dispatcher makes, nil for none
	Accounts    Accounts                       // nil for accounts without limits
	Observer    Observer                       // nil for none
	Recorder    Recorder                       // nil for none
	Log         *btlog.DecisionLog
	Placement   *btroute.Policy     // how targets are chosen, nil for btroute.Fastest
	CallFailed  func(now time.Time) // called when a request on a call route has failed, nil for none

	sizes      btroute.Sizes
	callRoutes sync.Map      // names of the call routes: routes used only by calls that running requests make
	attempts   atomic.Uint64 // number of attempts so far, part of their IDs
	Counters   Counters
}

// Counters counts requests, their verdicts, their moves and retries, and the attempts
// that were settled. FailedLost, MovesLost and RetriesLost count the failed requests
// (those that are not NotRun), moves and retries with the reason connection-lost. No field
// ever decreases.
type Counters struct {
	Requests, Answered, NotRun, MayHaveRun, Moves, Retries, Settled atomic.Int64
	FailedLost, MovesLost, RetriesLost                              atomic.Int64
	InvalidLoads                                                    atomic.Int64 // reports of load that no target can have
	UnknownKeys                                                     atomic.Int64 // requests refused with ReasonUnknownKey
}

// refuseQuarantined returns the refusal of a request that has crashed the backend servers that
// ran it, nil for any other.
func (d *Dispatcher) refuseQuarantined(s *requestState) *baobabtide.RequestError {
	if d.Quarantine == nil {
		return nil
	}
	return btquarantine.Refuse(d.Quarantine.Standing(s.req.Digest, time.Now()))
}

// recordCrash records that a target has crashed while it ran a request, as the node beside it
// has done. This one may hear of it in no other way.
func (d *Dispatcher) recordCrash(target *btroute.Target, sent *baobabtide.Request, now time.Time) {
	if d.Quarantine == nil {
		return
	}
	crash := btquarantine.Crash{Server: target.Ref.Name, Incarnation: target.Ref.Incarnation}
	if entry, changed := d.Quarantine.RecordCrash(sent, crash, now); changed && d.OnEntry != nil {
		d.OnEntry(entry)
	}
}

// errNoTurn is the cause of refusals for want of a turn under rate limits.
var errNoTurn = errors.New("the rate limits of all backend servers leave no turn in time")

// globalRandom uses the global source of math/rand/v2.
type globalRandom struct{}

// IntN implements btroute.Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// Serve implements baobabtide.Handler. Its error is always a *baobabtide.RequestError.
func (d *Dispatcher) Serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
	d.Counters.Requests.Add(1)
	began := time.Now()
	resp, err := d.serve(ctx, req)
	d.recordResult(req, err, time.Since(began))
	if err != nil || resp.Status >= minFailureStatus {
		d.reportFailedCall(req.Route)
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
	if err.Reason == baobabtide.ReasonUnknownKey {
		d.Counters.UnknownKeys.Add(1)
	}
	if err.Verdict != baobabtide.NotRun && err.Reason == baobabtide.ReasonLost {
		d.Counters.FailedLost.Add(1)
	}
	return nil, err
}

// recordResult reports the result of a request to the Recorder, if there is one.
func (d *Dispatcher) recordResult(req *baobabtide.Request, err *baobabtide.RequestError, took time.Duration) {
	switch {
	case d.Recorder == nil:
	case err == nil:
		d.Recorder.RecordResult(req, baobabtide.Ran, "", took)
	default:
		d.Recorder.RecordResult(req, err.Verdict, err.Reason, took)
	}
}

// countMove counts a move that follows an attempt that failed for the reason.
func (d *Dispatcher) countMove(reason baobabtide.Reason) {
	d.Counters.Moves.Add(1)
	if reason == baobabtide.ReasonLost {
		d.Counters.MovesLost.Add(1)
	}
	if d.Recorder != nil {
		d.Recorder.RecordMove(reason)
	}
}

// countRetry is like countMove, for a retry.
func (d *Dispatcher) countRetry(reason baobabtide.Reason) {
	d.Counters.Retries.Add(1)
	if reason == baobabtide.ReasonLost {
		d.Counters.RetriesLost.Add(1)
	}
	if d.Recorder != nil {
		d.Recorder.RecordRetry(reason)
	}
}

// serve makes attempts until one succeeds or no other is allowed.
func (d *Dispatcher) serve(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, *baobabtide.RequestError) {
	s, err := d.prepare(req)
	if err != nil {
		return nil, err
	}
	if err := d.takeAccount(s); err != nil {
		return nil, err
	}
	d.Budgets.Earn(s.destination.Service)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	for {
		resp, attemptErr := d.attempt(ctx, s)
		if attemptErr == nil && d.discard(s, resp) {
			continue
		}
		if attemptErr == nil {
			resp.Body = &closeHookBody{ReadCloser: resp.Body, onClose: cancel}
			return resp, nil
		}
		if !d.nextAttempt(ctx, s, attemptErr) {
			cancel()
			if s.held != nil {
				return s.held, nil
			}
			final := s.finalError(attemptErr)
			if final.Verdict == baobabtide.NotRun {
				d.returnAccount(s)
			}
			d.logFinal(s, attemptErr, final)
			return nil, final
		}
	}
}

// takeAccount returns the refusal of a request over the limit of its account, nil for any other.
func (d *Dispatcher) takeAccount(s *requestState) *baobabtide.RequestError {
	if d.Accounts == nil || s.req.Account == "" {
		return nil
	}
	admission := d.Accounts.Take(s.req, time.Now())
	s.counted = admission.Counted
	if admission.OK {
		return nil
	}
	wait := admission.Wait
	// Callers that retry at the same moment would use up the limit at once and be refused again.
	wait += time.Duration(rand.Float64() * retryJitter * float64(max(wait, minAccountJitter)))
	return baobabtide.Refuse(baobabtide.ReasonAccountLimit, wait, nil)
}

// returnAccount gives back what takeAccount took for a request that did not run.
func (d *Dispatcher) returnAccount(s *requestState) {
	if s.counted {
		d.Accounts.Return(s.req)
	}
}

// recordLoad records the load of a target that came with a response or a refusal, unless it is
// impossible, and whether the route is a call route.
func (d *Dispatcher) recordLoad(target *btroute.Target, route string, load baobabtide.Load) {
	if load.Check() != nil {
		d.Counters.InvalidLoads.Add(1)
		load = baobabtide.Load{Call: load.Call, Leaving: load.Leaving}
	}
	if load.Call {
		d.callRoutes.Store(route, true)
	}
	target.Stats.RecordLoad(route, load, time.Now())
}

// reportFailedCall calls CallFailed for a failed request on a call route.
func (d *Dispatcher) reportFailedCall(route string) {
	if _, isCallRoute := d.callRoutes.Load(route); isCallRoute && d.CallFailed != nil {
		d.CallFailed(time.Now())
	}
}

// attempt sends the request to one target. If the response of a non-idempotent attempt was
// lost, the returned error has the verdict of the admitting node, if that node can be
// reached.
func (d *Dispatcher) attempt(ctx context.Context, s *requestState) (*baobabtide.Response, *baobabtide.RequestError) {
	s.unsent = false
	if refusal := d.refuseQuarantined(s); refusal != nil {
		return nil, refusal
	}
	choice, delay := d.targetInTime(s, time.Now())
	target := choice.Target
	if target == nil && delay > 0 {
		s.unsent = true
		return nil, baobabtide.Refuse(baobabtide.ReasonOverload, delay, errNoTurn)
	}
	if target == nil {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoTarget, noTargetRetryAfter,
			fmt.Errorf("no target for version %q of service %q is left", s.version.Name, s.destination.Service))
	}
	s.tried[s.triedCount] = target
	s.triedCount++
	s.last = target
	s.req.Attempt = d.attemptID()
	s.req.Version = target.Version
	s.req.RateLimit = target.Stats.RateLimit()
	s.req.MaxWait = choice.MaxWait
	started := time.Now()
	target.Stats.Begin(started)
	resp, err := d.send(ctx, target, s.req)
	if err != nil {
		requestErr := d.settle(ctx, target, s.req, baobabtide.AsRequestError(err))
		d.recordFailure(target, *s.req, requestErr, started)
		return nil, requestErr
	}
	target.Stats.RecordUp()
	d.recordLoad(target, s.req.Route, resp.Load)
	if resp.Length >= 0 {
		d.sizes.Record(s.req.Route, resp.Length)
	}
	took := time.Since(started)
	sent := *s.req // copy, because another attempt changes the version
	body := &responseBody{ReadCloser: resp.Body}
	body.onClose = func() {
		target.Stats.End(time.Now(), took, false)
		if !resp.Excused {
			d.observe(&sent, resp.Took, body.truncated || resp.Status >= minFailureStatus)
		}
	}
	resp.Body = body
	return resp, nil
}

// targetInTime returns the target of the next attempt. It passes over those that have no turn
// for the request in time under their rate limits, as their nodes would refuse it, a round trip
// later. If no other is left, it returns none and the shortest time by which a turn is too late.
func (d *Dispatcher) targetInTime(s *requestState, now time.Time) (btroute.Choice, time.Duration) {
	bound := s.req.Objective
	if _, isCallRoute := d.callRoutes.Load(s.req.Route); isCallRoute || s.req.Late || bound.IsZero() {
		bound = s.req.Deadline
	}
	shortest := time.Duration(0)
	for {
		choice := s.target(now)
		if choice.Target == nil {
			return choice, shortest
		}
		delay := choice.Target.TurnDelay(s.req.Route, bound.Sub(now), now)
		if delay == 0 {
			return choice, 0
		}
		if shortest == 0 || delay < shortest {
			shortest = delay
		}
		if choice.Target == s.home || s.triedCount >= len(s.tried)-1 {
			return btroute.Choice{}, shortest
		}
		s.tried[s.triedCount] = choice.Target
		s.triedCount++
	}
}

// observe passes a result to the Observer, if there is one.
func (d *Dispatcher) observe(req *baobabtide.Request, took time.Duration, failed bool) {
	if d.Observer != nil {
		d.Observer.Observe(req, took, failed)
	}
}

// recordFailure records an attempt without a response in the statistics of its target. A
// failure of the backend server after it got the request is also evidence on the version.
func (d *Dispatcher) recordFailure(target *btroute.Target, sent baobabtide.Request, err *baobabtide.RequestError, started time.Time) {
	now := time.Now()
	target.Stats.End(now, now.Sub(started), countsAgainstTarget(err))
	if err.Reason == baobabtide.ReasonBackend && err.Verdict != baobabtide.NotRun {
		d.observe(&sent, now.Sub(started), true)
	}
	if err.Crashed {
		d.recordCrash(target, &sent, now)
	}
	if err.Reason == baobabtide.ReasonLost || err.Reason == baobabtide.ReasonUnreached {
		target.Stats.RecordUnresponsive(now)
		return
	}
	d.recordLoad(target, sent.Route, err.Load)
}

// attemptID returns an ID that is unique among all nodes and their restarts.
func (d *Dispatcher) attemptID() string {
	return d.Node + "." + strconv.FormatUint(d.Incarnation, 36) + "." + strconv.FormatUint(d.attempts.Add(1), 36)
}

// send forwards the request to the target's node, or admits it here if the target is
// beside this node.
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
