// Package btcontract tells whether a contract can be met: whether its limits
// leave enough requests and enough time for the evidence that they ask for.
package btcontract

import (
	"fmt"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btrollout"
)

// Finding is one reason why a contract can't be met.
type Finding struct {
	Path    string // JSON path of the field
	Message string // with the figures
}

// String returns the finding in one line.
func (f Finding) String() string { return f.Path + ": " + f.Message }

// Analyze returns the reasons why a contract can't be met. The rate is the
// requests a second that each route gets, 0 where it is not known.
func Analyze(c *baobabtide.Contract, rate float64) []Finding {
	var findings []Finding
	for i := range c.Services {
		path := fmt.Sprintf("Services[%d].Rollout", i)
		findings = append(findings, analyzeRollout(path, &c.Services[i].Rollout, rate)...)
	}
	return findings
}

func analyzeRollout(path string, r *baobabtide.RolloutTerms, rate float64) []Finding {
	needed := btrollout.RequestsToClear(r)
	if needed > r.MaxBadRequests {
		return []Finding{{
			Path: path + ".MaxBadRequests",
			Message: fmt.Sprintf("%d requests on a route are not enough, a version without a failure is cleared after %d",
				r.MaxBadRequests, needed),
		}}
	}
	if rate <= 0 {
		return nil
	}
	took := btrollout.TimeToClear(r, rate)
	left := time.Duration(float64(r.CompleteWithin) * btrollout.LatestClearFraction)
	if took <= left {
		return nil
	}
	return []Finding{{
		Path: path + ".CompleteWithin",
		Message: fmt.Sprintf("%s is too short, %d requests at %g a second and a share of %g take %s and must be there after %s",
			r.CompleteWithin, needed, rate, r.MaxBadShare, took.Round(time.Second), left.Round(time.Second)),
	}}
}

// MinimumRate returns the requests a second on a route below which a rollout
// ends without enough evidence.
func MinimumRate(r *baobabtide.RolloutTerms) float64 {
	left := float64(r.CompleteWithin) * btrollout.LatestClearFraction / float64(time.Second)
	return math.Ceil(100*float64(btrollout.RequestsToClear(r))/(r.MaxBadShare*left)) / 100
}
