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
	rampStart      = 0.7  // part of the time before which the share stays at the cap, so that a version that turns bad later does little harm
	rampShortest   = 0.08 // length of the ramp as a part of the time; a version that is bad under load gets half of the traffic, on average, in it
	provePart      = 0.08 // part of the time for which all traffic stays on the version before completion is proposed
	settlePart     = 0.9  // part of the time at which the ramp has ended
	recordPart     = 0.97 // part of the time at which an outcome is proposed in any case
	minorPart      = 0.02 // part of a service's requests below which a route alone keeps no version from being cleared
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
	at := rampStart
	if !cleared.IsZero() {
		at = max(at, part(r, cleared))
	} else if elapsed < rampStart || !acceptable(&r.Terms, evidence) {
		return probe(r, evidence, elapsed)
	}
	share := rampShare(r, at, elapsed)
	d := Decision{Phase: PhaseRamp, Share: share, Reason: "the new version is as good as the old one"}
	if share >= 1 && elapsed >= min(recordPart, rampEnd(at)+provePart) {
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

// rampEnd returns the part of the time at which a ramp that began at a part has
// ended.
func rampEnd(begun float64) float64 {
	return min(begun+rampShortest, max(settlePart, begun))
}

// rampShare stays at the cap until the ramp begins and then grows linearly to 1.
func rampShare(r *baobabtide.Rollout, begun, elapsed float64) float64 {
	end := rampEnd(begun)
	if elapsed >= end {
		return 1
	}
	grown := (elapsed - begun) / (end - begun)
	return min(1, r.Terms.MaxBadShare+(1-r.Terms.MaxBadShare)*max(0, grown))
}

// acceptable tells whether the evidence of all routes together clears a
// version and none speaks against it. It decides for a version whose routes
// have too little traffic to be cleared one by one in time.
func acceptable(terms *baobabtide.RolloutTerms, evidence []baobabtide.RouteEvidence) bool {
	var sum baobabtide.RouteEvidence
	for _, e := range evidence {
		if logLikelihoodRatio(terms, e) > 0 {
			return false
		}
		sum.Old = addCounts(sum.Old, e.Old)
		sum.New = addCounts(sum.New, e.New)
	}
	return logLikelihoodRatio(terms, sum) <= clearBound(terms)
}

// clearBound is the logarithm of the likelihood ratio at which a version is
// cleared.
func clearBound(terms *baobabtide.RolloutTerms) float64 {
	return math.Log(terms.MissedBadRate / (1 - terms.FalseRevertRate))
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
	lower := clearBound(terms)
	judgment := Undecided
	undecided := false
	minor := minorRequests(evidence)
	for _, e := range evidence {
		ratio := logLikelihoodRatio(terms, e)
		switch {
		case ratio >= upper:
			return Bad, fmt.Sprintf("route %q: %d of %d failed, %d of %d on the old version",
				e.Route, e.New.Failures, e.New.Requests, e.Old.Failures, e.Old.Requests)
		case ratio <= lower:
			judgment = Good
		case ratio > 0 || requests(e) >= minor:
			undecided = true
		}
	}
	if undecided {
		return Undecided, ""
	}
	return judgment, ""
}

// minorRequests returns the number of requests below which a route is a minor
// one of its service.
func minorRequests(evidence []baobabtide.RouteEvidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		sum += requests(e)
	}
	return minorPart * sum
}

func requests(e baobabtide.RouteEvidence) float64 { return float64(e.Old.Requests + e.New.Requests) }

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
	lower := clearBound(terms)
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
