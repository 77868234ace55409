package btadmit

import (
	"slices"
	"time"
)

const (
	initialRunTime   = 50 * time.Millisecond // expected run time before the first response
	runTimeSmoothing = 12                    // the newest run time contributes 1/12 to the moving average
	maxRunSample     = 3                     // expected run times that a run counts at most: one run of seven times the usual length raised the estimate by half
	failureSmoothing = 12                    // the newest outcome contributes 1/12 to the share of failures
	slowAgeFactor    = 1.2                   // expected run times; a higher mean age of the running requests means a slow backend server
	maxTrackedRoutes = 1 << 10               // routes with a separate estimate
)

// RunStats estimates the run times of a backend server, by route, and the share
// of its runs that fail. The zero value has no samples. It is not safe for
// concurrent use.
type RunStats struct {
	mean    float64            // nanoseconds, over all routes, 0 before the first sample
	routes  map[string]float64 // nanoseconds, by route
	failing float64            // share of runs, 0 to 1
}

// RecordRun records the run time and the outcome of one run. The time of a failed
// run is ignored, since it says nothing about the time that a complete run takes.
func (s *RunStats) RecordRun(route string, took time.Duration, failed bool) {
	s.updateFailing(failed)
	if failed {
		return
	}
	s.mean = smooth(s.mean, float64(took))
	if s.routes == nil {
		s.routes = make(map[string]float64)
	}
	if old, ok := s.routes[route]; ok || len(s.routes) < maxTrackedRoutes {
		s.routes[route] = smooth(old, float64(took))
	}
}

// routeCounts counts running requests by route. The routes of the requests that run at one
// time are few. It allocates only when there are more of them than ever before.
type routeCounts []routeCount

type routeCount struct {
	route string
	count int // at least 1
}

func (c *routeCounts) add(route string) {
	for i := range *c {
		if (*c)[i].route == route {
			(*c)[i].count++
			return
		}
	}
	*c = append(*c, routeCount{route, 1})
}

func (c *routeCounts) remove(route string) {
	for i := range *c {
		if (*c)[i].route != route {
			continue
		}
		if (*c)[i].count--; (*c)[i].count == 0 {
			*c = slices.Delete(*c, i, i+1)
		}
		return
	}
}

// runningTime returns the mean expected run time of running requests, or of all routes if
// none runs.
func (s *RunStats) runningTime(running routeCounts) time.Duration {
	sum, count := time.Duration(0), 0
	for _, r := range running {
		sum += time.Duration(r.count) * s.RunTime(r.route)
		count += r.count
	}
	if count == 0 {
		return s.MeanRunTime()
	}
	return sum / time.Duration(count)
}

// scale multiplies all run times by a factor.
func (s *RunStats) scale(factor float64) {
	s.mean *= factor
	for route := range s.routes {
		s.routes[route] *= factor
	}
}

// RecordFailure records a request that the backend server refused to run.
func (s *RunStats) RecordFailure() { s.updateFailing(true) }

func (s *RunStats) updateFailing(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failing += (sample - s.failing) / failureSmoothing
}

func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/runTimeSmoothing
}

// RunTime returns the expected run time of a route, or that of all routes if the
// route has no estimate.
func (s *RunStats) RunTime(route string) time.Duration {
	if mean, ok := s.routes[route]; ok {
		return time.Duration(mean)
	}
	return s.MeanRunTime()
}

// MeanRunTime returns the expected run time over all routes.
func (s *RunStats) MeanRunTime() time.Duration {
	if s.mean == 0 {
		return initialRunTime
	}
	return time.Duration(s.mean)
}

// hasRun reports whether there is a sample of the run time.
func (s *RunStats) hasRun() bool { return s.mean != 0 }

// Failing returns the share of runs that fail, in thousandths.
func (s *RunStats) Failing() int { return int(s.failing * 1000) }
