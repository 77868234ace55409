package btdispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btquarantine"
	"github.com/baobabtide/baobabtide/btroute"
)

// requestState holds the state of a request while it is dispatched.
type requestState struct {
	req         *baobabtide.Request
	destination *btroute.Destination
	info        btroute.PickInfo
	version     *btroute.Version
	home        *btroute.Target // home target of the key and the only one allowed, nil if any target is
	began       time.Time
	maxReached  int  // number of attempts that may reach a backend server
	counted     bool // against the limit of the account

	tried         [maxTargets]*btroute.Target
	triedCount    int                      // number of targets tried in the present round
	last          *btroute.Target          // target of the latest attempt, nil before the first
	reached       int                      // number of attempts that may have reached a backend server
	moves         int                      // number of attempts refused before they reached a backend server
	overloads     int                      // number of them refused by overloaded targets
	mayHaveRunErr *baobabtide.RequestError // error of the latest attempt that ran or may have run, nil for none
	mayHaveRunAt  *btroute.Target          // target of that attempt
	held          *baobabtide.Response     // failed response of an earlier attempt, nil for none
	unsent        bool                     // the latest attempt was refused without being sent
	minRetryAfter time.Duration            // shortest RetryAfter of the failed attempts, 0 for none

	busy      [maxRedirects]*btroute.Target // targets that refused with ReasonBusy, tried until forgetBusy
	redirects int                           // refusals with ReasonBusy
}

// prepare matches a request to its route, sets the fields that follow from the route
// and chooses the version. It refuses requests that no route serves, those with a depth
// above maxDepth and those without an account that need one.
func (d *Dispatcher) prepare(req *baobabtide.Request) (*requestState, *baobabtide.RequestError) {
	table := d.Table()
	if !table.Configured() {
		return nil, baobabtide.Refuse(baobabtide.ReasonNoConfig, noConfigRetryAfter, nil)
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
	if refusal := identify(req, table.Accounts(req.Customer), &route.Terms); refusal != nil {
		return nil, refusal
	}
	req.Digest = btquarantine.DigestOf(req, route.Terms.Host)
	s := &requestState{req: req, destination: route.Choose(), began: time.Now(), maxReached: route.Terms.MaxAttempts}
	if s.maxReached == 0 {
		s.maxReached = defaultAttempts
	}
	req.Service = s.destination.Service
	req.Route = route.Terms.Name
	req.Idempotent = route.Terms.Idempotent
	if routeDeadline := s.began.Add(route.Terms.Timeout); routeDeadline.Before(req.Deadline) {
		req.Deadline = routeDeadline
	}
	if route.Terms.Objective > 0 {
		req.Objective = s.began.Add(route.Terms.Objective)
	}
	if s.destination.Rollout != nil {
		req.Rollout = s.destination.Rollout.Offset
	}
	s.info = btroute.PickInfo{
		Route:     req.Route,
		Bytes:     d.sizes.Expected(req.Route) + float64(max(0, req.BodyLength)),
		Objective: route.Terms.Objective,
		Policy:    d.Placement,
	}
	s.chooseVersion()
	return s, nil
}

// chooseVersion sets the version. For a non-idempotent request with a key, the version
// follows from the hash of the key, and the key's home target becomes the only target
// allowed, because its node holds the record of the key.
func (s *requestState) chooseVersion() {
	if s.req.Key == "" || s.req.Idempotent {
		s.version = s.destination.Choose(rand.Float64())
		return
	}
	hash := btroute.KeyHash(s.req.Key)
	s.version = s.destination.Choose(float64(hash>>11) / (1 << 53))
	s.home = s.destination.Home(hash, s.version)
	if s.home != nil && s.home.Version != s.version.Name {
		s.version = &s.destination.Current
	}
}

// target returns the target of the next attempt: the home target of the key, if there is
// one, or the best target that was not tried yet. If the chosen version has no target
// left, it switches to the current version. It returns no target if none is left.
func (s *requestState) target(now time.Time) btroute.Choice {
	if s.home != nil {
		return btroute.Choice{Target: s.home}
	}
	redirect := s.mayRedirect(now)
	if !redirect {
		s.forgetBusy()
	}
	choice := s.choose(now)
	if redirect && s.redirects > 0 && choice.MaxWait == 0 { // no other target is left, so the busy ones are compared with this one
		redirect = false
		s.forgetBusy()
		choice = s.choose(now)
	}
	if !redirect {
		choice.MaxWait = 0
	}
	return choice
}

func (s *requestState) choose(now time.Time) btroute.Choice {
	choice := s.version.Pool.Choose(now, globalRandom{}, s.info, s.tried[:s.triedCount])
	if choice.Target != nil || s.version == &s.destination.Current {
		return choice
	}
	s.version = &s.destination.Current
	return s.version.Pool.Choose(now, globalRandom{}, s.info, s.tried[:s.triedCount])
}

// mayRedirect reports whether a target may refuse the request because another one is expected to
// respond earlier. Sending a long body again would cost more than the wait.
func (s *requestState) mayRedirect(now time.Time) bool {
	short := s.req.Body == nil || (s.req.BodyLength >= 0 && s.req.BodyLength <= maxRedirectBody)
	return short && !s.req.Late && s.redirects < maxRedirects && now.Sub(s.began) <= s.moveWindow()
}

// moveWindow returns the time from the start of the request in which targets that have no free
// slot make it move.
func (s *requestState) moveWindow() time.Duration {
	if s.req.Objective.IsZero() {
		return minMoveWindow
	}
	return max(minMoveWindow, s.req.Objective.Sub(s.began)/moveWindowDivisor)
}

// forgetBusy lets the request wait at the targets that refused it with ReasonBusy, and ends
// such refusals.
func (s *requestState) forgetBusy() {
	busy := s.busy[:min(s.redirects, maxRedirects)]
	kept := slices.DeleteFunc(s.tried[:s.triedCount], func(t *btroute.Target) bool { return slices.Contains(busy, t) })
	s.triedCount = len(kept)
	s.redirects, s.busy = maxRedirects, [maxRedirects]*btroute.Target{}
}

// startLateRound marks a request as late, so that its objective no longer counts, and
// lets it try all targets again. It returns false if the request has no objective, is
// already late, was not refused or has a body that can't be rewound.
func (s *requestState) startLateRound() bool {
	if s.req.Objective.IsZero() || s.req.Late || (s.moves == 0 && !s.unsent) || !s.rewind() {
		return false
	}
	s.req.Late = true
	s.triedCount = 0
	return true
}

// logFinal logs the error that the caller gets with the reason of the last attempt's error,
// with that error as the cause and with the node that the attempt went to. If the caller
// gets the error of an earlier attempt, the line holds the node of that one too.
func (d *Dispatcher) logFinal(s *requestState, last, final *baobabtide.RequestError) {
	event := btlog.RequestFailed
	if final.Verdict == baobabtide.NotRun {
		event = btlog.RequestRefused
	}
	line := d.Log.Request(event, s.req).Stringer("verdict", final.Verdict).Str("reason", string(final.Reason)).
		Str("last", string(last.Reason)).Int("moves", s.moves).Int("reached", s.reached).Bool("late", s.req.Late).
		Dur("took-ms", time.Since(s.began)).Dur("retry-after-ms", final.RetryAfter)
	if s.last != nil {
		line = line.Str("to", s.last.Ref.Node)
	}
	if final == s.mayHaveRunErr && s.mayHaveRunAt != s.last {
		line = line.Str("reason-from", s.mayHaveRunAt.Ref.Node)
	}
	btlog.AddError(line, "cause", last.Err).Send()
}

// rewind prepares the body for another attempt. It returns false if the body can't be
// read again.
func (s *requestState) rewind() bool { return s.req.Body == nil || s.req.Body.Rewind() }

// finalError returns the error that the caller gets after the last attempt has failed
// with err. If an earlier attempt ran or may have run, its error takes precedence over a
// refusal. The RetryAfter of a refusal is the shortest of all attempts plus a random part.
func (s *requestState) finalError(err *baobabtide.RequestError) *baobabtide.RequestError {
	if s.mayHaveRunErr != nil && err.Verdict == baobabtide.NotRun {
		return s.mayHaveRunErr
	}
	if err.Verdict != baobabtide.NotRun {
		return err
	}
	final := *err
	if s.moves > 0 && err.Reason == baobabtide.ReasonNoTarget {
		final.Reason = baobabtide.ReasonOverload
		final.Err = errors.New("all targets refused the request")
	}
	if s.minRetryAfter > 0 {
		final.RetryAfter = s.minRetryAfter + time.Duration(rand.Float64()*retryJitter*float64(s.minRetryAfter))
	}
	return &final
}
