package btroute

import (
	"time"

	"github.com/baobabtide/baobabtide/btadmit"
)

const (
	slowStartWindow      = 3 * time.Second // period after the first use in which the score of a target is raised
	slowStartPenalty     = 1.0             // relative increase of the score at the first use, falling linearly to 0
	failurePenalty       = 1.0             // seconds, cost of a failed request to its caller
	crossZonePenalty     = 0.005           // seconds, round trip between zones plus a small cost for the bytes of the headers
	crossRegionPenalty   = 0.03            // seconds, the same between regions
	crossZoneBytePenalty = 2.5e-6          // seconds per byte, cost of traffic between zones
	avoidPenalty         = 10.0            // seconds, for a target that did not respond recently
	suspectPenalty       = 100.0           // seconds, for a target whose node is suspect
	downPenalty          = 300.0           // seconds, for a target whose backend server has crashed
	ejectedPenalty       = 1000.0          // seconds, for an ejected target
)

// score is what makes one target preferable to another, in seconds. Fitness comes first, as its
// penalties exceed the others. Between fit targets, the time to respond decides, and the cost of
// the way is the time by which a target must respond earlier to be worth it.
type score struct {
	fitness  fitness
	response response
	cost     float64
}

// expected returns the time to respond and the costs, without the parts that only spread requests.
func (s *score) expected() float64 { return s.response.expected() + s.cost }

// total returns the sum by which targets are compared.
func (s *score) total() float64 {
	return s.expected() + (s.response.utilization + s.response.slowStart + s.fitness.penalty())
}

// fitness is the set of the reasons for which a target gets requests only if no other can.
type fitness uint8

// Reasons, from the least to the most severe.
const (
	avoided fitness = 1 << iota // did not respond recently
	suspect                     // its node is suspect
	down                        // the backend server has crashed
	ejected                     // failures in a row
)

// penalties holds the penalty of each set of reasons.
var penalties = sumPenalties()

func sumPenalties() [2 * ejected]float64 {
	var sums [2 * ejected]float64
	for f := range fitness(len(sums)) {
		for reason, penalty := range map[fitness]float64{avoided: avoidPenalty, suspect: suspectPenalty, down: downPenalty, ejected: ejectedPenalty} {
			if f&reason != 0 {
				sums[f] += penalty
			}
		}
	}
	return sums
}

// fit reports whether the target may get requests while others can.
func (f fitness) fit() bool { return f == 0 }

// penalty returns the penalty in seconds.
func (f fitness) penalty() float64 { return penalties[f] }

func (t *Target) fitness(now time.Time) fitness {
	var f fitness
	s := t.Stats
	if t.Suspect {
		f |= suspect
	}
	if s.avoidUntil.After(now) {
		f |= avoided
	}
	if s.downUntil.After(now) {
		f |= down
	}
	if s.ejectUntil.After(now) {
		f |= ejected
	}
	return f
}

// response is the expected time until a target responds, in seconds.
type response struct {
	run         float64
	slot        float64 // wait for a slot
	turn        float64 // wait for a turn under the rate limit of the backend server
	failure     float64 // cost of a failure to the caller, by the share of runs that fail
	utilization float64 // leaves slots free for the requests of other nodes
	slowStart   float64 // of a target that is new to the node
}

func newResponse(e *estimate, policy *Policy, s *Stats, now time.Time) response {
	utilization := e.backlog() / e.slots
	if e.limit > 0 && policy.LimitTakesSlots {
		utilization += max(0, 1-e.limit*e.run/e.slots)
	}
	r := response{
		run:         e.run,
		slot:        e.slotWait(),
		turn:        e.turn.Seconds(),
		failure:     e.failing * failurePenalty,
		utilization: e.run * policy.UtilizationPenalty * utilization * utilization,
	}
	if sinceFirstUse, ok := s.firstUse.Since(now); ok && sinceFirstUse < slowStartWindow {
		r.slowStart = (r.utilization + r.run + r.slot + r.turn) * slowStartPenalty * (1 - float64(sinceFirstUse)/float64(slowStartWindow))
	}
	return r
}

func (r *response) expected() float64 { return r.run + r.slot + r.turn + r.failure }

// latest returns the time within which nearly all responses arrive, as the admitting node judges.
func (r *response) latest() float64 { return btadmit.OnTimeMargin*r.run + r.slot + r.turn }

// wayCost returns the cost of the way to a target, in seconds. The slack is the time that the best
// target of the own zone leaves before the objective.
func wayCost(distance Distance, info *PickInfo, r *response, slack float64) float64 {
	switch distance {
	case SameRegion:
		gain := info.Objective.Seconds()
		if info.Policy.CrossZoneSlack && r.latest() < gain { // otherwise the request is late there too
			gain = slack
		}
		return crossZonePenalty + crossZoneBytePenalty*info.Bytes + info.Policy.CrossZoneShare*gain
	case OtherRegion:
		return crossRegionPenalty + crossZoneBytePenalty*info.Bytes
	default:
		return 0
	}
}
