package btdispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btroute"
)

// call holds the state of a request while it is dispatched.
type call struct {
	req         *baobabtide.Request
	destination *btroute.Destination
	info        btroute.PickInfo
	version     *btroute.Version
	home        *btroute.Target // home target of the key and the only one allowed, nil if any target is
	began       time.Time
	maxReached  int // upper bound of reached

	tried         [maxTargets]*btroute.Target
	triedCount    int                      // number of targets tried in the present round
	reached       int                      // number of attempts that may have reached a backend server
	moves         int                      // number of attempts refused before they reached a backend server
	mayHaveRunErr *baobabtide.RequestError // error of the latest attempt that ran or may have run, nil for none
	minRetryAfter time.Duration            // shortest RetryAfter of the failed attempts, 0 for none
}

// prepare matches a request to its route, sets the fields that follow from the route
// and chooses the version. It refuses requests that no route serves and those with a
// depth above maxDepth.
func (d *Dispatcher) prepare(req *baobabtide.Request) (*call, *baobabtide.RequestError) {
	table := d.Table()
	if table == nil || table.Offset == 0 {
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
	c := &call{req: req, destination: route.Choose(), began: time.Now(), maxReached: route.Terms.MaxAttempts}
	if c.maxReached == 0 {
		c.maxReached = defaultAttempts
	}
	req.Service = c.destination.Service
	req.Route = route.Terms.Name
	req.Idempotent = route.Terms.Idempotent
	req.Priority = route.Terms.Priority
	if routeDeadline := c.began.Add(route.Terms.Timeout); routeDeadline.Before(req.Deadline) {
		req.Deadline = routeDeadline
	}
	if route.Terms.Objective > 0 {
		req.Objective = c.began.Add(route.Terms.Objective)
	}
	if c.destination.Rollout != nil {
		req.Rollout = c.destination.Rollout.Offset
	}
	c.info = btroute.PickInfo{Route: req.Route, Bytes: d.sizes.Expect(req.Route)}
	c.chooseVersion()
	return c, nil
}

// chooseVersion sets the version. For a non-idempotent request with a key, the version
// follows from the hash of the key, and the key's home target becomes the only target
// allowed, because its node holds the record of the key.
func (c *call) chooseVersion() {
	if c.req.Key == "" || c.req.Idempotent {
		c.version = c.destination.Choose(rand.Float64())
		return
	}
	hash := btroute.KeyHash(c.req.Key)
	c.version = c.destination.Choose(float64(hash>>11) / (1 << 53))
	c.home = c.destination.Home(hash, c.version)
	if c.home != nil && c.home.Version != c.version.Name {
		c.version = &c.destination.Current
	}
}

// target returns the target of the next attempt: the home target of the key, if there is
// one, or the best target that was not tried yet. If the chosen version has no target
// left, it switches to the current version. It returns nil if no target is left.
func (c *call) target() *btroute.Target {
	if c.home != nil {
		return c.home
	}
	now := time.Now()
	if t := c.version.Pool.Pick(now, globalRandom{}, c.info, c.tried[:c.triedCount]); t != nil {
		return t
	}
	if c.version == &c.destination.Current {
		return nil
	}
	c.version = &c.destination.Current
	return c.version.Pool.Pick(now, globalRandom{}, c.info, c.tried[:c.triedCount])
}

// startLateRound marks a request as late, so that its objective no longer counts, and
// lets it try all targets again. It returns false if the request has no objective, is
// already late, was not refused by any target or has a body that can't be rewound.
func (c *call) startLateRound() bool {
	if c.req.Objective.IsZero() || c.req.Late || c.moves == 0 || !c.rewind() {
		return false
	}
	c.req.Late = true
	c.triedCount = 0
	return true
}

// logFinal logs the error that the caller gets, and the error of the last attempt as its
// cause.
func (d *Dispatcher) logFinal(c *call, last, final *baobabtide.RequestError) {
	event := btlog.RequestFailed
	if final.Verdict == baobabtide.NotRun {
		event = btlog.RequestRefused
	}
	line := d.Log.Request(event, c.req).Stringer("verdict", final.Verdict).Str("reason", string(final.Reason)).
		Str("last", string(last.Reason)).Int("moves", c.moves).Int("reached", c.reached).Bool("late", c.req.Late).
		Dur("took-ms", time.Since(c.began)).Dur("retry-after-ms", final.RetryAfter)
	if last.Err != nil {
		line = line.Str("cause", last.Err.Error())
	}
	line.Send()
}

// rewind prepares the body for another attempt. It returns false if the body can't be
// read again.
func (c *call) rewind() bool { return c.req.Body == nil || c.req.Body.Rewind() }

// finalError returns the error that the caller gets after the last attempt has failed
// with err. If an earlier attempt ran or may have run, its error takes precedence over a
// refusal. The RetryAfter of a refusal is the shortest of all attempts plus a random part.
func (c *call) finalError(err *baobabtide.RequestError) *baobabtide.RequestError {
	if c.mayHaveRunErr != nil && err.Verdict == baobabtide.NotRun {
		return c.mayHaveRunErr
	}
	if err.Verdict != baobabtide.NotRun {
		return err
	}
	final := *err
	if c.moves > 0 && err.Reason == baobabtide.ReasonNoTarget {
		final.Reason = baobabtide.ReasonOverload
		final.Err = errors.New("all targets refused the request")
	}
	if c.minRetryAfter > 0 {
		final.RetryAfter = c.minRetryAfter + time.Duration(rand.Float64()*retryJitter*float64(c.minRetryAfter))
	}
	return &final
}
