package btadmit

import "time"

const (
	initialWork   = 50 * time.Millisecond // expected run before the first answer
	workWeight    = 12                    // smoothing of run times: one part in 12 from the newest
	failWeight    = 12                    // smoothing of the share of failures
	slowAge       = 1.2                   // runs older, on average, than so many expected runs show a slow server
	maxPaceRoutes = 1 << 10               // routes with an estimate of their own
)

// Pace is what a backend server's answers show: how long runs take, by route,
// and how many fail. The zero value knows nothing. Its owner serializes calls.
type Pace struct {
	mean    float64 // nanoseconds, over all routes
	routes  map[string]float64
	failing float64 // share of runs, 0 to 1
}

// Learn takes in one run. A failed one says nothing of the time that runs take.
func (p *Pace) Learn(route string, took time.Duration, failed bool) {
	p.observe(failed)
	if failed {
		return
	}
	p.mean = smooth(p.mean, float64(took))
	if p.routes == nil {
		p.routes = make(map[string]float64)
	}
	if old, ok := p.routes[route]; ok || len(p.routes) < maxPaceRoutes {
		p.routes[route] = smooth(old, float64(took))
	}
}

// Fail takes in a request that the backend server refused to run.
func (p *Pace) Fail() { p.observe(true) }

func (p *Pace) observe(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	p.failing += (sample - p.failing) / failWeight
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/workWeight
}

// Work returns how long a run of a route is expected to take.
func (p *Pace) Work(route string) time.Duration {
	if own, ok := p.routes[route]; ok {
		return time.Duration(own)
	}
	return p.Mean()
}

// Mean returns how long a run of any route is expected to take.
func (p *Pace) Mean() time.Duration {
	if p.mean == 0 {
		return initialWork
	}
	return time.Duration(p.mean)
}

// Failing returns the share of runs that fail, in thousandths.
func (p *Pace) Failing() int { return int(p.failing * 1000) }
