package btadmit

import "sync"

const (
	minCallSeen  = 30      // requests of a route, and of all others, before it is judged
	minOrigin    = 0.15    // part of the other routes' requests from which an origin's absence means something
	maxCallStray = 0.02    // part of a route's requests that may come from an absent origin
	maxSeen      = 1 << 12 // requests that are counted before all counts are halved
)

// Calls tells the routes that only running work uses from those of callers.
// Callers sit beside every node, so a route of theirs is asked for beside all
// services; a route for calls only beside the services that make them. Refusing
// a call wastes what its parent has done, so calls go before new work. The zero
// value knows no routes. All methods are safe for concurrent use.
type Calls struct {
	mu     sync.Mutex
	all    origins
	routes map[string]*origins
}

// origins counts requests by the service beside the node where they began.
type origins struct {
	total float64
	by    map[string]float64
}

func (o *origins) add(origin string) {
	if o.by == nil {
		o.by = make(map[string]float64)
	}
	o.total++
	o.by[origin]++
}

func (o *origins) halve() {
	o.total /= 2
	for origin := range o.by {
		o.by[origin] /= 2
	}
}

// Observe notes a request and tells whether its route is one for calls.
func (c *Calls) Observe(route, origin string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes == nil {
		c.routes = make(map[string]*origins)
	}
	r := c.routes[route]
	if r == nil && len(c.routes) < maxPaceRoutes {
		r = &origins{}
		c.routes[route] = r
	}
	if r == nil {
		return false
	}
	r.add(origin)
	c.all.add(origin)
	if c.all.total > maxSeen {
		c.all.halve()
		for _, other := range c.routes {
			other.halve()
		}
	}
	return c.isCall(r)
}

// isCall compares a route with all others: its requests never begin beside a
// service beside which theirs often do.
func (c *Calls) isCall(r *origins) bool {
	others := c.all.total - r.total
	if r.total < minCallSeen || others < minCallSeen {
		return false
	}
	for origin, seen := range c.all.by {
		if seen-r.by[origin] >= minOrigin*others && r.by[origin] <= maxCallStray*r.total {
			return true
		}
	}
	return false
}
