package btrollout

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

var startTime = time.Unix(10_000, 0)

func rollout() *baobabtide.Rollout {
	return &baobabtide.Rollout{Offset: 7, Customer: "c", Service: "s", From: "v1", To: "v2", Started: startTime, Terms: btfixture.RolloutTerms()}
}

func counts(requests, failures int) baobabtide.Counts {
	return baobabtide.Counts{Requests: requests, Failures: failures}
}

func route(name string, old, next baobabtide.Counts) baobabtide.RouteEvidence {
	return baobabtide.RouteEvidence{Route: name, Old: old, New: next}
}

func TestEvaluate(t *testing.T) {
	tests := map[string]struct {
		evidence []baobabtide.RouteEvidence
		want     Evaluation
	}{
		"no evidence":                             {nil, Undecided},
		"too few requests":                        {[]baobabtide.RouteEvidence{route("a", counts(100, 0), counts(10, 0))}, Undecided},
		"no failures":                             {[]baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0))}, Good},
		"all fail":                                {[]baobabtide.RouteEvidence{route("a", counts(100, 0), counts(4, 4))}, Bad},
		"half fail":                               {[]baobabtide.RouteEvidence{route("a", counts(100, 0), counts(8, 4))}, Bad},
		"one route of two is bad":                 {[]baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0)), route("b", counts(100, 0), counts(8, 6))}, Bad},
		"one route of two is undecided":           {[]baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0)), route("b", counts(100, 0), counts(3, 0))}, Undecided},
		"undecided route with few requests":       {[]baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0)), route("b", counts(10, 0), counts(1, 0))}, Good},
		"failing route with few requests":         {[]baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0)), route("b", counts(10, 0), counts(1, 1))}, Undecided},
		"both versions fail alike":                {[]baobabtide.RouteEvidence{route("a", counts(1000, 300), counts(100, 30))}, Undecided},
		"both versions fail alike, more evidence": {[]baobabtide.RouteEvidence{route("a", counts(10000, 3000), counts(700, 210))}, Good},
		"outage of both versions":                 {[]baobabtide.RouteEvidence{route("a", counts(500, 500), counts(50, 50))}, Undecided},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			terms := btfixture.RolloutTerms()
			got, _ := Evaluate(&terms, tt.evidence)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("evaluation (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDecide(t *testing.T) {
	at := func(fraction float64) time.Time {
		return startTime.Add(time.Duration(fraction * float64(btfixture.RolloutTerms().CompleteWithin)))
	}
	tooFew := []baobabtide.RouteEvidence{route("a", counts(100, 0), counts(10, 0))}
	clearedTogether := []baobabtide.RouteEvidence{route("a", counts(200, 0), counts(30, 0)), route("b", counts(200, 0), counts(30, 0))}
	oneRouteFails := []baobabtide.RouteEvidence{route("a", counts(900, 0), counts(90, 0)), route("b", counts(50, 0), counts(2, 1))}
	requestsUsedUp := []baobabtide.RouteEvidence{route("a", counts(2000, 0), counts(200, 0))}
	tests := map[string]struct {
		evidence []baobabtide.RouteEvidence
		tripped  bool
		cleared  time.Time
		now      time.Time
		want     Phase
		minShare float64
		maxShare float64
		result   baobabtide.Result
	}{
		"start":                              {nil, false, time.Time{}, at(0), PhaseProbe, 0.001, 0.02, ""},
		"probe":                              {tooFew, false, time.Time{}, at(0.3), PhaseProbe, 0.1, 0.1, ""},
		"MaxBadRequests used up":             {requestsUsedUp, false, time.Time{}, at(0.3), PhaseProbe, 0, 0, ""},
		"just cleared":                       {tooFew, false, at(0.3), at(0.3), PhaseRamp, 0.1, 0.1, ""},
		"cleared, before the ramp":           {tooFew, false, at(0.3), at(0.69), PhaseRamp, 0.1, 0.1, ""},
		"half of the ramp":                   {tooFew, false, at(0.3), at(0.74), PhaseRamp, 0.4, 0.7, ""},
		"end of the ramp":                    {tooFew, false, at(0.3), at(0.79), PhaseRamp, 1, 1, ""},
		"confirmed with all traffic":         {tooFew, false, at(0.3), at(0.87), PhaseDone, 1, 1, baobabtide.Completed},
		"cleared late":                       {tooFew, false, at(0.8), at(0.97), PhaseDone, 1, 1, baobabtide.Completed},
		"cleared by the sum of all routes":   {clearedTogether, false, time.Time{}, at(0.87), PhaseDone, 1, 1, baobabtide.Completed},
		"sum clears, one route fails":        {oneRouteFails, false, time.Time{}, at(0.87), PhaseProbe, 0.1, 0.1, ""},
		"tripped":                            {tooFew, true, at(0.3), at(0.9), PhaseTripped, 0, 0, baobabtide.Reverted},
		"tripped after the deadline":         {tooFew, true, at(0.3), at(1.5), PhaseTripped, 0, 0, baobabtide.Reverted},
		"shortly before the deadline":        {tooFew, false, time.Time{}, at(0.98), PhaseProbe, 0.1, 0.1, baobabtide.Reverted},
		"deadline passed without an outcome": {tooFew, false, at(0.3), at(1.01), PhaseLate, 0, 0, baobabtide.Reverted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := Decide(rollout(), tt.evidence, tt.tripped, tt.cleared, tt.now)
			if got.Phase != tt.want || got.Result != tt.result || got.Share < tt.minShare-1e-9 || got.Share > tt.maxShare+1e-9 {
				t.Errorf("decision %+v, want phase %s, share %g to %g, result %q", got, tt.want, tt.minShare, tt.maxShare, tt.result)
			}
		})
	}
}

// TestRolloutWithoutTargetsIsNotCompleted guards against a rollout that is reported as completed although its
// version has no target, so that the operator stops all targets that there are.
func TestRolloutWithoutTargetsIsNotCompleted(t *testing.T) {
	good := []baobabtide.RouteEvidence{route("a", counts(1000, 0), counts(60, 0))}
	tests := map[string]struct {
		elapsed    float64
		evidence   []baobabtide.RouteEvidence
		hasTargets bool
		want       baobabtide.Result
	}{
		"no evidence, targets":               {0.98, nil, true, baobabtide.Completed},
		"no evidence, no targets yet":        {0.98, nil, false, ""},
		"no evidence, no targets at the end": {0.99, nil, false, baobabtide.Reverted},
		"cleared, targets":                   {0.95, good, true, baobabtide.Completed},
		"cleared, its targets are lost":      {0.95, good, false, ""},
		"cleared, lost until the end":        {0.99, good, false, baobabtide.Reverted},
		"late":                               {1.1, good, true, baobabtide.Reverted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout()
			r.Terms.WhenUndecided = baobabtide.UndecidedComplete
			at := func(fraction float64) time.Time {
				return startTime.Add(time.Duration(fraction * float64(r.Terms.CompleteWithin)))
			}
			var cleared time.Time
			if tt.evidence != nil {
				cleared = at(0.5)
			}
			d := Decide(r, tt.evidence, false, cleared, at(tt.elapsed)).ForTargets(r, tt.hasTargets, false, at(tt.elapsed))
			if diff := cmp.Diff(tt.want, d.Result); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOnlyVersionIsNotTakenBack guards against an order for the version that carries all traffic that ends with
// the service having no version.
func TestOnlyVersionIsNotTakenBack(t *testing.T) {
	tests := map[string]struct {
		elapsed float64
		tripped bool
		want    baobabtide.Result
	}{
		"running":     {0.9, false, ""},
		"at the end":  {0.98, false, baobabtide.Completed},
		"late":        {1.1, false, baobabtide.Completed},
		"found bad":   {0.5, true, baobabtide.Reverted},
		"bad, at end": {0.98, true, baobabtide.Reverted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout()
			r.Terms.WhenUndecided = baobabtide.UndecidedRevert
			now := startTime.Add(time.Duration(tt.elapsed * float64(r.Terms.CompleteWithin)))
			d := Decide(r, nil, tt.tripped, time.Time{}, now).ForTargets(r, false, true, now)
			if diff := cmp.Diff(tt.want, d.Result); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReportsMergeInAnyOrder(t *testing.T) {
	id := IDOf(rollout())
	report := func(node string, requests int) Report {
		return Report{Rollout: id, Node: node, Incarnation: 1, Routes: []baobabtide.RouteEvidence{route("a", counts(requests, 0), counts(requests, 1))}}
	}
	reports := []Report{report("n1", 5), report("n1", 9), report("n2", 3)}
	want := []baobabtide.RouteEvidence{route("a", counts(12, 0), counts(12, 2))}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2, 1, 0}} {
		var store ReportStore
		for _, i := range order {
			store.Merge(reports[i])
		}
		if diff := cmp.Diff(want, store.Evidence(id)); diff != "" {
			t.Errorf("order %v (-want +got):\n%s", order, diff)
		}
	}
}

func TestTripsAgreeInAnyOrder(t *testing.T) {
	id := IDOf(rollout())
	for _, order := range [][]string{{"n1", "n2"}, {"n2", "n1"}} {
		var store ReportStore
		for _, node := range order {
			store.AddTrip(Trip{Rollout: id, Node: node})
		}
		trip, _ := store.Trip(id)
		if diff := cmp.Diff("n1", trip.Node); diff != "" {
			t.Errorf("order %v (-want +got):\n%s", order, diff)
		}
	}
}

// A request that is slow compared with the old version's requests at the same node
// counts as a failure, for both versions alike.
func TestCountersCountSlowRequestsAsFailures(t *testing.T) {
	var c Counters
	id, terms := IDOf(rollout()), btfixture.RolloutTerms()
	for range 100 {
		c.Observe(id, &terms, "a", false, 10*time.Millisecond, false)
	}
	c.Observe(id, &terms, "a", true, 20*time.Millisecond, false)
	c.Observe(id, &terms, "a", true, 100*time.Millisecond, false)
	c.Observe(id, &terms, "a", false, 100*time.Millisecond, false)
	want := []baobabtide.RouteEvidence{route("a", counts(101, 1), counts(2, 1))}
	if diff := cmp.Diff(want, c.Routes(id)); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

// TestQuietServiceIsProbed guards against a version of a service with few requests that is completed blindly,
// and against a larger share where there are enough requests.
func TestQuietServiceIsProbed(t *testing.T) {
	r := rollout()
	r.Terms.CompleteWithin, r.Terms.MaxBadShare, r.Terms.MaxBadRequests, r.Terms.FailureMargin = 16*time.Second, 0.04, 1000, 0.2
	r.Terms.FalseRevertRate, r.Terms.MissedBadRate, r.Terms.WhenUndecided = 0.001, 0.02, baobabtide.UndecidedComplete
	at := func(seconds float64) time.Time { return startTime.Add(time.Duration(seconds * float64(time.Second))) }
	const most = 20
	tests := map[string]struct {
		evidence []baobabtide.RouteEvidence
		seconds  float64
		most     int
		want     float64
	}{
		"before the share has grown":      {[]baobabtide.RouteEvidence{route("a", counts(2, 0), counts(0, 0))}, 1, most, 0.035},
		"two requests a second":           {[]baobabtide.RouteEvidence{route("a", counts(4, 0), counts(0, 0))}, 2, most, 18 / (2 * 9.2)},
		"on two routes":                   {[]baobabtide.RouteEvidence{route("a", counts(2, 0), counts(0, 0)), route("b", counts(2, 0), counts(0, 0))}, 2, most, 18 / (2 * 9.2)},
		"half a request a second":         {[]baobabtide.RouteEvidence{route("a", counts(1, 0), counts(0, 0))}, 2, most, 1},
		"later, with some requests to go": {[]baobabtide.RouteEvidence{route("a", counts(8, 0), counts(12, 0))}, 10, most, 1},
		"enough requests":                 {[]baobabtide.RouteEvidence{route("a", counts(60, 0), counts(2, 0))}, 2, most, 0.04},
		"the version has had them":        {[]baobabtide.RouteEvidence{route("a", counts(4, 0), counts(18, 1))}, 8, most, 0.04},
		"the settings allow fewer":        {[]baobabtide.RouteEvidence{route("a", counts(4, 0), counts(5, 0))}, 4, 5, 0.04},
		"the settings allow none":         {[]baobabtide.RouteEvidence{route("a", counts(4, 0), counts(0, 0))}, 2, 0, 0.04},
		"no request yet":                  {nil, 4, most, 0.04},
		"MaxBadRequests on another route": {[]baobabtide.RouteEvidence{route("a", counts(4, 0), counts(0, 0)), route("b", counts(0, 0), counts(1000, 0))}, 4, most, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := Decide(r, tt.evidence, false, time.Time{}, at(tt.seconds)).ForQuietService(r, tt.evidence, tt.most, at(tt.seconds)).Share
			if math.Abs(tt.want-got) > 1e-9 {
				t.Errorf("share %g, %g is wanted", got, tt.want)
			}
		})
	}
}
