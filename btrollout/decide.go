package btrollout

import (
	"fmt"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Phase says how far a rollout has got.
type Phase string

// Phases of a rollout.
const (
	PhaseProbe   Phase = "probe"   // the share is capped until there is enough evidence
	PhaseRamp    Phase = "ramp"    // the version looks good, the share grows
	PhaseDone    Phase = "done"    // all traffic is moved, the outcome can be recorded
	PhaseTripped Phase = "tripped" // the version is bad
	PhaseLate    Phase = "late"    // the deadline passed and the outcome is not known here
)

// Decision is the state of a rollout at one time.
type Decision struct {
	Phase  Phase
	Share  float64           // share of traffic for the new version
	Result baobabtide.Result // proposed outcome, empty for none yet
	Reason string
}

const (
	probeRampPart  = 0.1  // part of the time in which the share grows to the cap
	firstShareCap  = 0.01 // share at the start, below the contract's cap
	finishPart     = 0.8  // part of the time at which all traffic is moved
	settlePart     = 0.9  // part of the time at which completion is proposed
	recordPart     = 0.97 // part of the time at which an outcome is proposed in any case
	rampShortest   = 0.25 // shortest ramp, as a part of the time
	minFailureRate = 0.001
	maxFailureRate = 0.999
	minOldRequests = 10 // below, the old version's rate is taken as minFailureRate
	smoothing      = 0.5
)

// Decide returns the state of a rollout. cleared is the time at which the
// evidence first cleared the version here, zero if it has not.
func Decide(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence, tripped bool, cleared, now time.Time) Decision {
	if tripped {
		return Decision{Phase: PhaseTripped, Result: baobabtide.Reverted, Reason: "the new version is bad"}
	}
	elapsed := part(r, now)
	if elapsed >= 1 {
		return late(r)
	}
	if cleared.IsZero() {
		return probe(r, evidence, elapsed)
	}
	share := rampShare(r, part(r, cleared), elapsed)
	d := Decision{Phase: PhaseRamp, Share: share, Reason: "the new version is as good as the old one"}
	if share >= 1 && elapsed >= min(settlePart, doneAt(part(r, cleared))) {
		d.Phase = PhaseDone
		d.Result = baobabtide.Completed
	}
	return d
}

// part returns the part of the rollout's time that has passed.
func part(r *baobabtide.Rollout, at time.Time) float64 {
	return float64(at.Sub(r.Started)) / float64(r.Terms.CompleteWithin)
}

// late stops a rollout whose outcome is not known: all traffic goes where the
// outcome, once known, is least likely to do harm, which is the old version.
func late(r *baobabtide.Rollout) Decision {
	return Decision{
		Phase:  PhaseLate,
		Result: baobabtide.Reverted,
		Reason: fmt.Sprintf("no outcome by the deadline %s", r.Deadline().UTC().Format(time.RFC3339)),
	}
}

// probe returns the decision before the evidence has cleared the version.
func probe(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence, elapsed float64) Decision {
	limit := r.Terms.MaxBadShare
	share := min(limit, firstShareCap+limit*max(0, elapsed)/probeRampPart)
	if exhausted(r, evidence) {
		share = 0
	}
	d := Decision{Phase: PhaseProbe, Share: share, Reason: "not enough evidence yet"}
	if elapsed < recordPart {
		return d
	}
	d.Reason = "time ran out without enough evidence"
	d.Result = baobabtide.Reverted
	if r.Terms.WhenUndecided == baobabtide.UndecidedComplete {
		d.Result = baobabtide.Completed
	}
	return d
}

// exhausted tells whether a route has had the requests that the contract
// grants before there is enough evidence.
func exhausted(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence) bool {
	for _, e := range evidence {
		if e.New.Requests >= r.Terms.MaxBadRequests {
			return true
		}
	}
	return false
}

// doneAt returns the part of the time at which the ramp that began at a part
// has ended.
func doneAt(cleared float64) float64 {
	return max(finishPart, min(settlePart, cleared+rampShortest))
}

// rampShare grows linearly from the cap to 1.
func rampShare(r *baobabtide.Rollout, cleared, elapsed float64) float64 {
	end := max(cleared+rampShortest, min(finishPart, cleared+2*rampShortest))
	end = min(end, settlePart)
	if elapsed >= end {
		return 1
	}
	grown := (elapsed - cleared) / (end - cleared)
	return min(1, r.Terms.MaxBadShare+(1-r.Terms.MaxBadShare)*max(0, grown))
}

// Judgment is what the evidence says of a version.
type Judgment uint8

// Judgments.
const (
	Undecided Judgment = iota
	Good
	Bad
)

// Judge runs a sequential probability ratio test on each route: the rate of
// failures of the old version against that rate plus the contract's margin. A
// version is bad once one route says so, and good once all routes that the old
// version served say so.
func Judge(terms *baobabtide.RolloutTerms, evidence []baobabtide.RouteEvidence) (Judgment, string) {
	upper := math.Log((1 - terms.MissedBadRate) / terms.FalseRevertRate)
	lower := math.Log(terms.MissedBadRate / (1 - terms.FalseRevertRate))
	judgment := Undecided
	undecided := false
	for _, e := range evidence {
		ratio := logLikelihoodRatio(terms, e)
		switch {
		case ratio >= upper:
			return Bad, fmt.Sprintf("route %q: %d of %d failed, %d of %d on the old version",
				e.Route, e.New.Failures, e.New.Requests, e.Old.Failures, e.Old.Requests)
		case ratio <= lower:
			judgment = Good
		default:
			undecided = true
		}
	}
	if undecided {
		return Undecided, ""
	}
	return judgment, ""
}

func logLikelihoodRatio(terms *baobabtide.RolloutTerms, e baobabtide.RouteEvidence) float64 {
	p0 := minFailureRate
	if e.Old.Requests >= minOldRequests {
		p0 = (float64(e.Old.Failures) + smoothing) / (float64(e.Old.Requests) + 1)
	}
	p0 = min(max(p0, minFailureRate), maxFailureRate-terms.FailureMargin)
	p0 = max(p0, minFailureRate)
	p1 := min(p0+terms.FailureMargin, maxFailureRate)
	failed := float64(e.New.Failures)
	passed := float64(e.New.Requests - e.New.Failures)
	return failed*math.Log(p1/p0) + passed*math.Log((1-p1)/(1-p0))
}

// LatestClearPart is the part of a rollout's time at which the version must be
// cleared for the ramp to end in time.
const LatestClearPart = settlePart - rampShortest

// RequestsToClear returns the number of requests without a failure after which
// a route of the new version is cleared, next to an old version without one.
func RequestsToClear(terms *baobabtide.RolloutTerms) int {
	lower := math.Log(terms.MissedBadRate / (1 - terms.FalseRevertRate))
	one := logLikelihoodRatio(terms, baobabtide.RouteEvidence{New: baobabtide.Counts{Requests: 1}})
	return int(math.Ceil(lower / one))
}

// TimeToClear returns the time until RequestsToClear requests have come at a
// rate per second, all but the ramp-up of the share included.
func TimeToClear(terms *baobabtide.RolloutTerms, rate float64) time.Duration {
	seconds := float64(RequestsToClear(terms)) / (rate * terms.MaxBadShare)
	rampUp := float64(terms.CompleteWithin) * probeRampPart / 2
	return time.Duration(seconds*float64(time.Second) + rampUp)
}
