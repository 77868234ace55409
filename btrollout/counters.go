package btrollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
)

const (
	quantile       = 0.95
	quantileStep   = 0.05                 // relative step of the estimate
	minSlow        = 5 * time.Millisecond // an answer faster than this is never slow
	warmUpRequests = 20                   // answers of the old version before any counts as slow
)

// Counters counts what this node's backend servers show of running rollouts.
// The zero value is empty. Its owner serializes calls.
type Counters struct {
	rollouts map[ID]map[string]*routeCounter
}

// routeCounter counts one route.
type routeCounter struct {
	evidence baobabtide.RouteEvidence
	p95      float64 // of the old version's latency, in nanoseconds
	seen     int     // answers behind p95
}

// Observe counts one answer and tells whether it counts as a failure. An answer
// that is slow against the old version does, for both versions alike.
func (c *Counters) Observe(id ID, terms *baobabtide.RolloutTerms, route string, isNew bool, took time.Duration, failed bool) bool {
	counter := c.counter(id, route)
	failed = failed || counter.slow(terms, took)
	counts := &counter.evidence.Old
	if isNew {
		counts = &counter.evidence.New
	} else {
		counter.learn(took)
	}
	counts.Requests++
	if failed {
		counts.Failures++
	}
	return failed
}

func (c *Counters) counter(id ID, route string) *routeCounter {
	if c.rollouts == nil {
		c.rollouts = make(map[ID]map[string]*routeCounter)
	}
	routes := c.rollouts[id]
	if routes == nil {
		routes = make(map[string]*routeCounter)
		c.rollouts[id] = routes
	}
	counter := routes[route]
	if counter == nil {
		counter = &routeCounter{evidence: baobabtide.RouteEvidence{Route: route}}
		routes[route] = counter
	}
	return counter
}

func (r *routeCounter) slow(terms *baobabtide.RolloutTerms, took time.Duration) bool {
	if r.seen < warmUpRequests {
		return false
	}
	return took > max(minSlow, time.Duration(terms.SlowFactor*r.p95))
}

// learn moves the estimate of the old version's 95th percentile.
func (r *routeCounter) learn(took time.Duration) {
	r.seen++
	x := float64(took)
	switch {
	case r.seen == 1:
		r.p95 = x
	case x > r.p95:
		r.p95 += r.p95 * quantileStep * quantile
	default:
		r.p95 -= r.p95 * quantileStep * (1 - quantile)
	}
}

// Routes returns the counts of a rollout ordered by route.
func (c *Counters) Routes(id ID) []baobabtide.RouteEvidence {
	routes := make([]baobabtide.RouteEvidence, 0, len(c.rollouts[id]))
	for _, counter := range c.rollouts[id] {
		routes = append(routes, counter.evidence)
	}
	slices.SortFunc(routes, func(a, b baobabtide.RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
	return routes
}

// Forget drops the counts of rollouts that keep does not name.
func (c *Counters) Forget(keep func(ID) bool) {
	for id := range c.rollouts {
		if !keep(id) {
			delete(c.rollouts, id)
		}
	}
}

// OutcomeID returns the ID of a record that ends a rollout.
func OutcomeID(r *baobabtide.Rollout, node string, now time.Time) string {
	who := xxhash.Sum64String(r.Customer + "/" + r.Service + "/" + node)
	return fmt.Sprintf("outcome.%d.%016x.%x", r.Offset, who, now.UnixMilli())
}
