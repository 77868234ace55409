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

// call is one request on its way.
type call struct {
	req     *baobabtide.Request
	line    *btroute.Destination
	want    btroute.PickInfo
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
	c.want = btroute.PickInfo{Route: req.Route, Bytes: d.sizes.Expect(req.Route)}
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
