// Package btcontract analyzes whether a contract's limits leave a rollout enough
// requests and enough time to collect the evidence that clears a new version.
package btcontract

import (
	"fmt"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btrollout"
)

// Finding is one reason why a contract's rollouts can't collect enough evidence.
type Finding struct {
	Path    string // JSON path of the field
	Message string // with the numbers that conflict
}

// String returns the path and the message in one line.
func (f Finding) String() string { return f.Path + ": " + f.Message }

// Analyze returns the reasons why a contract's rollouts can't collect enough
// evidence, at most one per service. rate is the number of requests per second that
// each route gets, 0 if unknown; limits on time are checked only if it is known.
func Analyze(c *baobabtide.Contract, rate float64) []Finding {
	var findings []Finding
	for i := range c.Services {
		path := fmt.Sprintf("Services[%d].Rollout", i)
		findings = append(findings, analyzeRollout(path, &c.Services[i].Rollout, rate)...)
	}
	return findings
}

// analyzeRollout returns the finding on the terms of one service, if any. path is
// the JSON path of the terms.
func analyzeRollout(path string, r *baobabtide.RolloutTerms, rate float64) []Finding {
	needed := btrollout.RequestsToClear(r)
	if needed > r.MaxBadRequests {
		return []Finding{{
			Path: path + ".MaxBadRequests",
			Message: fmt.Sprintf("%d requests per route are not enough, a version without failures is cleared after %d",
				r.MaxBadRequests, needed),
		}}
	}
	if rate <= 0 {
		return nil
	}
	timeToClear := btrollout.TimeToClear(r, rate)
	available := time.Duration(float64(r.CompleteWithin) * btrollout.LatestClearFraction)
	if timeToClear <= available {
		return nil
	}
	return []Finding{{
		Path: path + ".CompleteWithin",
		Message: fmt.Sprintf("%s is too short, %d requests at %g per second and a share of %g take %s, at most %s are allowed",
			r.CompleteWithin, needed, rate, r.MaxBadShare, timeToClear.Round(time.Second), available.Round(time.Second)),
	}}
}

// MinimumRate returns the number of requests per second on a route below which a
// rollout ends without enough evidence, rounded up to hundredths. It leaves out
// the time in which the share grows to MaxBadShare, which Analyze counts.
func MinimumRate(r *baobabtide.RolloutTerms) float64 {
	available := float64(r.CompleteWithin) * btrollout.LatestClearFraction / float64(time.Second)
	return math.Ceil(100*float64(btrollout.RequestsToClear(r))/(r.MaxBadShare*available)) / 100
}
