package btrollout

import (
	"fmt"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Phase is the stage of a rollout.
type Phase string

// Phases of a rollout.
const (
	PhaseProbe   Phase = "probe"   // the share is at most MaxBadShare until the sequential test clears the version
	PhaseRamp    Phase = "ramp"    // the version is cleared, the share grows to 1
	PhaseDone    Phase = "done"    // all traffic is on the new version and completion is proposed
	PhaseTripped Phase = "tripped" // the version is bad, its share is 0
	PhaseLate    Phase = "late"    // the deadline has passed and no outcome is known to this node
)

// Decision holds the phase of a rollout, the new version's share of traffic and the
// outcome to propose, at one point in time.
type Decision struct {
	Phase  Phase
	Share  float64           // of traffic for the new version, 0 to 1
	Result baobabtide.Result // outcome to propose, empty while there is none
	Reason string
}

// Fractions are of a rollout's CompleteWithin unless stated otherwise.
const (
	probeRampFraction   = 0.1   // time in which the share grows from initialShare to MaxBadShare
	initialShare        = 0.01  // share of traffic at the start, capped by MaxBadShare
	rampStartFraction   = 0.7   // earliest start of the ramp; until then a version that turns bad gets at most MaxBadShare of the traffic
	maxRampFraction     = 0.08  // longest duration of the ramp; short, as a version that fails only under load gets half of the traffic on average while the share grows
	fullTrafficFraction = 0.08  // time with all traffic on the new version before completion is proposed
	rampEndFraction     = 0.9   // time at which a ramp that began earlier ends at the latest
	proposeFraction     = 0.97  // time from which an outcome is proposed in any case, also without enough evidence or fullTrafficFraction
	noTargetsFraction   = 0.985 // time from which a version without targets is taken back; later than proposeFraction, as other nodes may know its targets
	minorRouteFraction  = 0.02  // fraction of the service's requests below which an undecided route doesn't keep a version from being cleared
	minFailureRate      = 0.001 // lower bound of estimated failure rates; the likelihood ratio is undefined at 0 and 1
	maxFailureRate      = 0.999 // upper bound of estimated failure rates
	quietFactor         = 3     // a service is quiet if this multiple of the requests that MaxBadShare gives the version doesn't clear it
	minOldRequests      = 10    // with fewer requests, the old version's failure rate is taken as minFailureRate
	smoothing           = 0.5   // pseudo-count that smooths the estimate of the old version's failure rate
)

// Decide returns the decision on a rollout at the time now. cleared is the time
// at which the evidence first cleared the version at this node, zero if it has
// not. tripped means that a node has found the version bad.
func Decide(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence, tripped bool, cleared, now time.Time) Decision {
	if tripped {
		return Decision{Phase: PhaseTripped, Result: baobabtide.Reverted, Reason: "the new version is bad"}
	}
	elapsed := elapsedFraction(r, now)
	if elapsed >= 1 {
		return decideLate(r)
	}
	rampBegun := rampStartFraction
	if !cleared.IsZero() {
		rampBegun = max(rampBegun, elapsedFraction(r, cleared))
	} else if elapsed < rampStartFraction || !clearedInTotal(&r.Terms, evidence) {
		return decideProbe(r, evidence, elapsed)
	}
	share := rampShare(r, rampBegun, elapsed)
	d := Decision{Phase: PhaseRamp, Share: share, Reason: "the new version is as good as the old one"}
	if share >= 1 && elapsed >= min(proposeFraction, rampEnd(rampBegun)+fullTrafficFraction) {
		d.Phase = PhaseDone
		d.Result = baobabtide.Completed
	}
	return d
}

// elapsedFraction returns the fraction of the rollout's CompleteWithin that has
// passed at a time. It exceeds 1 after the deadline.
func elapsedFraction(r *baobabtide.Rollout, at time.Time) float64 {
	return float64(at.Sub(r.Started)) / float64(r.Terms.CompleteWithin)
}

// decideLate returns the decision after the deadline when no outcome is known:
// all traffic goes to the old version, which does the least harm whatever the
// outcome turns out to be.
func decideLate(r *baobabtide.Rollout) Decision {
	return Decision{
		Phase:  PhaseLate,
		Result: baobabtide.Reverted,
		Reason: fmt.Sprintf("no outcome by the deadline %s", r.Deadline().UTC().Format(time.RFC3339)),
	}
}

// decideProbe returns the decision before the evidence has cleared the version.
// From proposeFraction on it proposes the outcome that the contract's
// WhenUndecided asks for.
func decideProbe(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence, elapsed float64) Decision {
	limit := r.Terms.MaxBadShare
	share := min(limit, initialShare+limit*max(0, elapsed)/probeRampFraction)
	if requestsExhausted(r, evidence) {
		share = 0
	}
	d := Decision{Phase: PhaseProbe, Share: share, Reason: "not enough evidence yet"}
	if elapsed < proposeFraction {
		return d
	}
	d.Reason = "time ran out without enough evidence"
	d.Result = baobabtide.Reverted
	if r.Terms.WhenUndecided == baobabtide.UndecidedComplete {
		d.Result = baobabtide.Completed
	}
	return d
}

// ForTargets returns the decision if the node knows which versions have targets. A rollout is not
// completed as long as its version has none: the operator would stop the targets of the others. If no
// other version has any, the version carries all traffic, and there is nothing to return to.
func (d Decision) ForTargets(r *baobabtide.Rollout, hasTargets, isOnly bool, now time.Time) Decision {
	elapsed := elapsedFraction(r, now)
	switch {
	case d.Phase == PhaseTripped:
	case isOnly:
		d = Decision{Phase: PhaseProbe, Share: 1, Reason: "no other version has targets"}
		if elapsed >= proposeFraction {
			d.Phase, d.Result = PhaseDone, baobabtide.Completed
		}
	case !hasTargets && d.Result == baobabtide.Completed:
		d.Result = ""
		if elapsed >= noTargetsFraction {
			d.Result, d.Reason = baobabtide.Reverted, "the new version has no targets"
		}
	}
	return d
}

// ForQuietService returns the decision for a service with so few requests that MaxBadShare of them can't clear
// or trip the version in time: the share grows as far as that needs, until the version has had probeRequests
// requests. Without evidence it would be completed or taken back blindly.
func (d Decision) ForQuietService(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence, probeRequests int, now time.Time) Decision {
	elapsed := elapsedFraction(r, now)
	if d.Phase != PhaseProbe || d.Result != "" || elapsed < probeRampFraction || requestsExhausted(r, evidence) {
		return d
	}
	total, probed := 0.0, 0
	for _, e := range evidence {
		total += requests(e)
		probed += e.New.Requests
	}
	needed := float64(min(RequestsToClear(&r.Terms), probeRequests) - probed)
	expected := total / elapsed * max(rampStartFraction-elapsed, probeRampFraction)
	if needed <= 0 || expected <= 0 || expected*r.Terms.MaxBadShare*quietFactor >= needed {
		return d
	}
	if share := min(1, needed/expected); share > d.Share {
		d.Share, d.Reason = share, "the service has too few requests for a small share"
	}
	return d
}

// requestsExhausted reports whether the new version has had MaxBadRequests
// requests on a route, the most that it may get before it is cleared.
func requestsExhausted(r *baobabtide.Rollout, evidence []baobabtide.RouteEvidence) bool {
	for _, e := range evidence {
		if e.New.Requests >= r.Terms.MaxBadRequests {
			return true
		}
	}
	return false
}

// rampEnd returns the fraction of the time at which a ramp ends that began at
// the fraction begun.
func rampEnd(begun float64) float64 {
	return min(begun+maxRampFraction, max(rampEndFraction, begun))
}

// rampShare returns the share during and after the ramp: it stays at
// MaxBadShare until the ramp begins and then grows linearly to 1.
func rampShare(r *baobabtide.Rollout, begun, elapsed float64) float64 {
	end := rampEnd(begun)
	if elapsed >= end {
		return 1
	}
	progress := (elapsed - begun) / (end - begun)
	return min(1, r.Terms.MaxBadShare+(1-r.Terms.MaxBadShare)*max(0, progress))
}

// clearedInTotal reports whether the summed evidence of all routes clears a version
// and no single route favors the hypothesis that it is bad. It applies to versions
// whose routes have too little traffic to be cleared one by one in time.
func clearedInTotal(terms *baobabtide.RolloutTerms, evidence []baobabtide.RouteEvidence) bool {
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

// clearBound returns the logarithm of the likelihood ratio at or below which a
// version is cleared, the lower bound of the sequential test.
func clearBound(terms *baobabtide.RolloutTerms) float64 {
	return math.Log(terms.MissedBadRate / (1 - terms.FalseRevertRate))
}

// Evaluation is the result of the sequential test on a version.
type Evaluation uint8

// Results of the sequential test.
const (
	Undecided Evaluation = iota // more evidence is needed
	Good                        // cleared, as good as the old version
	Bad                         // fails more often than the old version by FailureMargin
)

// Evaluate runs a sequential probability ratio test on each route: the failure
// rate of the old version against that rate plus the contract's FailureMargin.
// A version is bad once the test fails on one route. It is good once the test
// passes on at least one route and every other route either passes or is a minor
// one whose evidence does not favor a bad version. For a bad version it also
// returns the reason.
func Evaluate(terms *baobabtide.RolloutTerms, evidence []baobabtide.RouteEvidence) (Evaluation, string) {
	upper := math.Log((1 - terms.MissedBadRate) / terms.FalseRevertRate)
	lower := clearBound(terms)
	evaluation := Undecided
	undecided := false
	minor := minorRequests(evidence)
	for _, e := range evidence {
		ratio := logLikelihoodRatio(terms, e)
		switch {
		case ratio >= upper:
			return Bad, fmt.Sprintf("route %q: %d of %d failed, %d of %d on the old version",
				e.Route, e.New.Failures, e.New.Requests, e.Old.Failures, e.Old.Requests)
		case ratio <= lower:
			evaluation = Good
		case ratio > 0 || requests(e) >= minor:
			undecided = true
		}
	}
	if undecided {
		return Undecided, ""
	}
	return evaluation, ""
}

// minorRequests returns the number of requests to both versions below which a
// route is a minor one of its service.
func minorRequests(evidence []baobabtide.RouteEvidence) float64 {
	sum := 0.0
	for _, e := range evidence {
		sum += requests(e)
	}
	return minorRouteFraction * sum
}

func requests(e baobabtide.RouteEvidence) float64 { return float64(e.Old.Requests + e.New.Requests) }

// logLikelihoodRatio returns the logarithm of the likelihood ratio of a route's
// evidence: positive when a failure rate of FailureMargin above the old
// version's explains it better than the old version's rate.
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

// LatestClearFraction is the fraction of a rollout's CompleteWithin by which the
// version must be cleared for a ramp of full length to end in time.
const LatestClearFraction = rampEndFraction - maxRampFraction

// RequestsToClear returns the number of requests without a failure to the new
// version after which a route is cleared when the old version has no failures
// either.
func RequestsToClear(terms *baobabtide.RolloutTerms) int {
	lower := clearBound(terms)
	perRequest := logLikelihoodRatio(terms, baobabtide.RouteEvidence{New: baobabtide.Counts{Requests: 1}})
	return int(math.Ceil(lower / perRequest))
}

// TimeToClear returns the time in which the new version gets RequestsToClear
// requests on a route with the given rate of requests per second. It includes
// the time lost while the share grows to MaxBadShare.
func TimeToClear(terms *baobabtide.RolloutTerms, rate float64) time.Duration {
	seconds := float64(RequestsToClear(terms)) / (rate * terms.MaxBadShare)
	rampUp := float64(terms.CompleteWithin) * probeRampFraction / 2
	return time.Duration(seconds*float64(time.Second) + rampUp)
}
