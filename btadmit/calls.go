package btadmit

import "sync"

const (
	minRouteRequests   = 30      // requests of a route, and of all others, needed to classify it
	minOriginFraction  = 0.15    // fraction of the other routes' requests that makes an origin significant
	maxStrayFraction   = 0.02    // fraction of a call route's requests that may come from a significant origin
	maxCountedRequests = 1 << 12 // requests counted before all counts are halved
)

// CallDetector detects the call routes: routes that are requested only by backend
// servers while they run another request, never directly by callers. Callers
// run beside every node, so requests to their routes originate beside every
// service. Requests to a call route originate only beside the services that
// make the call. Refusing a call wastes the work already done on its parent
// request, so the queue admits calls before new work. The zero value has no
// routes. All methods are safe for concurrent use.
type CallDetector struct {
	mu     sync.Mutex
	all    originCounts
	routes map[string]*originCounts
}

// originCounts counts requests by origin: the service beside the node that
// received the request from its caller.
type originCounts struct {
	total    float64
	byOrigin map[string]float64
}

func (o *originCounts) add(origin string) {
	if o.byOrigin == nil {
		o.byOrigin = make(map[string]float64)
	}
	o.total++
	o.byOrigin[origin]++
}

func (o *originCounts) halve() {
	o.total /= 2
	for origin := range o.byOrigin {
		o.byOrigin[origin] /= 2
	}
}

// Observe counts a request and reports whether its route is a call route. It
// tracks at most maxTrackedRoutes routes and returns false for any other.
func (c *CallDetector) Observe(route, origin string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes == nil {
		c.routes = make(map[string]*originCounts)
	}
	r := c.routes[route]
	if r == nil && len(c.routes) < maxTrackedRoutes {
		r = &originCounts{}
		c.routes[route] = r
	}
	if r == nil {
		return false
	}
	r.add(origin)
	c.all.add(origin)
	if c.all.total > maxCountedRequests {
		c.all.halve()
		for _, other := range c.routes {
			other.halve()
		}
	}
	return c.isCall(r)
}

// IsCall reports whether a route is a call route.
func (c *CallDetector) IsCall(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	return r != nil && c.isCall(r)
}

// isCall reports whether the route's requests almost never originate beside some
// service from which requests to the other routes often originate.
func (c *CallDetector) isCall(r *originCounts) bool {
	others := c.all.total - r.total
	if r.total < minRouteRequests || others < minRouteRequests {
		return false
	}
	for origin, count := range c.all.byOrigin {
		if count-r.byOrigin[origin] >= minOriginFraction*others && r.byOrigin[origin] <= maxStrayFraction*r.total {
			return true
		}
	}
	return false
}
