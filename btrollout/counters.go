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
	p95Quantile    = 0.95
	p95Step        = 0.05                 // relative step of the estimate per request
	minSlowLatency = 5 * time.Millisecond // requests up to this latency never count as slow
	warmUpRequests = 20                   // requests to the old version on a route before any request counts as slow
)

// Counters counts the requests to this node's backend servers per rollout, route
// and version. The zero value is empty. It is not safe for concurrent use.
type Counters struct {
	rollouts map[ID]map[string]*routeCounter
}

// routeCounter holds the counts of one rollout on one route.
type routeCounter struct {
	evidence baobabtide.RouteEvidence
	p95      float64 // estimated 95th percentile of the old version's latency, in nanoseconds
	samples  int     // requests that p95 is estimated from
}

// Observe counts one request and reports whether it counts as a failure: failed is
// true, or the latency took is high compared with the old version's 95th percentile.
// Both versions are compared with the same percentile, which only requests to the old
// version change.
func (c *Counters) Observe(id ID, terms *baobabtide.RolloutTerms, route string, isNew bool, took time.Duration, failed bool) bool {
	counter := c.counter(id, route)
	failed = failed || counter.isSlow(terms, took)
	counts := &counter.evidence.Old
	if isNew {
		counts = &counter.evidence.New
	} else {
		counter.updateP95(took)
	}
	counts.Requests++
	if failed {
		counts.Failures++
	}
	return failed
}

// counter returns the counts of a route and creates them if necessary.
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

// isSlow reports whether a latency exceeds SlowFactor times the old version's
// 95th percentile and minSlowLatency. It returns false until the old version has
// served warmUpRequests requests on the route.
func (r *routeCounter) isSlow(terms *baobabtide.RolloutTerms, took time.Duration) bool {
	if r.samples < warmUpRequests {
		return false
	}
	return took > max(minSlowLatency, time.Duration(terms.SlowFactor*r.p95))
}

// updateP95 moves the estimate of the old version's 95th percentile by one
// relative step: up by p95Step*0.95 for a higher latency and down by
// p95Step*0.05 for a lower one, so that 5% of the requests lie above it.
func (r *routeCounter) updateP95(took time.Duration) {
	r.samples++
	latency := float64(took)
	switch {
	case r.samples == 1:
		r.p95 = latency
	case latency > r.p95:
		r.p95 += r.p95 * p95Step * p95Quantile
	default:
		r.p95 -= r.p95 * p95Step * (1 - p95Quantile)
	}
}

// Routes returns the counts of a rollout, ordered by route.
func (c *Counters) Routes(id ID) []baobabtide.RouteEvidence {
	routes := make([]baobabtide.RouteEvidence, 0, len(c.rollouts[id]))
	for _, counter := range c.rollouts[id] {
		routes = append(routes, counter.evidence)
	}
	slices.SortFunc(routes, func(a, b baobabtide.RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
	return routes
}

// Move keeps the counts of a rollout under another ID of the same rollout, unless that has some already.
func (c *Counters) Move(from, to ID) {
	routes, ok := c.rollouts[from]
	if !ok {
		return
	}
	delete(c.rollouts, from)
	if _, counted := c.rollouts[to]; !counted {
		c.rollouts[to] = routes
	}
}

// Forget deletes the counts of every rollout for which keep returns false.
func (c *Counters) Forget(keep func(ID) bool) {
	for id := range c.rollouts {
		if !keep(id) {
			delete(c.rollouts, id)
		}
	}
}

// OutcomeID returns the ID of the record with which a node proposes the outcome
// of a rollout. It differs between nodes and, by the time in milliseconds,
// between the proposals of one node.
func OutcomeID(r *baobabtide.Rollout, node string, now time.Time) string {
	hash := xxhash.Sum64String(r.Customer + "/" + r.Service + "/" + node)
	return fmt.Sprintf("outcome.%d.%016x.%x", r.Offset, hash, now.UnixMilli())
}
