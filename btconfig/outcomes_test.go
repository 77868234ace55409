package btconfig

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
)

// orderEntry returns the entry of an order to move the traffic of the unversioned service "s" to a version.
func orderEntry(offset baobabtide.Offset, version string) baobabtide.Entry {
	terms := btfixture.RolloutTerms()
	data, err := btcodec.EncodeJSON(&baobabtide.Record{
		ID: fmt.Sprintf("order.%d", offset), Actor: "operator",
		Release: &baobabtide.Release{Service: "s", Version: version, Customers: []string{"c"}, Terms: &terms},
	})
	if err != nil {
		panic(err)
	}
	return baobabtide.Entry{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}
}

func outcomeOf(offset baobabtide.Offset, version string, result baobabtide.Result) baobabtide.OutcomeRecord {
	return baobabtide.OutcomeRecord{Rollout: offset, Customer: "c", Service: "s", Version: version, Result: result}
}

// versions is what nodes must agree on.
type versions struct {
	InForce string
	Refused []string
}

func versionsOf(s *State) versions {
	a := s.Assignments[AssignmentKey("c", "s")]
	return versions{a.InForce, a.Refused}
}

// A node that starts folds the newest order alone and gets the outcomes in any order. It must come
// to the same version in force as one that has seen everything happen.
func TestStartingNodeAgreesOnVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running, starting := new(State), new(State)
		var outcomes []baobabtide.OutcomeRecord
		orders := rapid.SliceOfN(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 8).Draw(t, "orders")
		want := ""
		for i, version := range orders {
			offset := baobabtide.Offset(i + 1)
			running = Fold(running, orderEntry(offset, version))
			result := rapid.SampledFrom([]baobabtide.Result{baobabtide.Completed, baobabtide.Reverted}).Draw(t, "result")
			o := outcomeOf(offset, version, result)
			outcomes = append(outcomes, o)
			running = running.WithOutcome(o)
			if result == baobabtide.Completed {
				want = version
			}
			if diff := cmp.Diff(want, versionsOf(running).InForce); diff != "" {
				t.Fatalf("version in force after rollout %d (-want +got):\n%s", offset, diff)
			}
		}
		starting = Fold(starting, orderEntry(baobabtide.Offset(len(orders)), orders[len(orders)-1]))
		for _, o := range rapid.Permutation(outcomes).Draw(t, "arrivals") {
			starting = starting.WithOutcome(o)
		}
		if diff := cmp.Diff(versionsOf(running), versionsOf(starting)); diff != "" {
			t.Fatalf("a node that starts (-running +starting):\n%s", diff)
		}
	})
}

// A state of an earlier version names no version in force and may refuse it.
func TestStateOfEarlierVersionGetsVersionInForce(t *testing.T) {
	s := Fold(new(State), orderEntry(1, "v3"))
	s.Outcomes = []baobabtide.OutcomeRecord{outcomeOf(1, "v3", baobabtide.Reverted)}
	s = Fold(s, orderEntry(4, "v3"))
	s.Outcomes = []baobabtide.OutcomeRecord{
		outcomeOf(2, "v2", baobabtide.Reverted), outcomeOf(3, "v2", baobabtide.Completed), outcomeOf(4, "v3", baobabtide.Reverted),
	}
	a := s.Assignments[AssignmentKey("c", "s")]
	a.Refused = []string{"v2", "v3"}
	s.Assignments[AssignmentKey("c", "s")] = a
	data, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(versions{"v2", []string{"v3"}}, versionsOf(decoded)); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
}

// TestOrderReplacesRunningRollout guards against a version that nothing has cleared and that counts as
// current as soon as another order replaces its rollout.
func TestOrderReplacesRunningRollout(t *testing.T) {
	completed, reverted := outcomeOf(1, "v2", baobabtide.Completed), outcomeOf(1, "v2", baobabtide.Reverted)
	tests := map[string]struct {
		before, after []baobabtide.OutcomeRecord // that a node learns before and after the second order
		want          versions
	}{
		"running":                      {nil, nil, versions{"", []string{"v2"}}},
		"taken back":                   {[]baobabtide.OutcomeRecord{reverted}, nil, versions{"", []string{"v2"}}},
		"completed":                    {[]baobabtide.OutcomeRecord{completed}, nil, versions{"v2", nil}},
		"completed, which comes late":  {nil, []baobabtide.OutcomeRecord{completed}, versions{"v2", nil}},
		"completed, and replaced late": {[]baobabtide.OutcomeRecord{completed}, []baobabtide.OutcomeRecord{reverted}, versions{"v2", nil}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Fold(new(State), orderEntry(1, "v2"))
			for _, o := range tt.before {
				s = s.WithOutcome(o)
			}
			s = Fold(s, orderEntry(2, "v1"))
			for _, o := range tt.after {
				s = s.WithOutcome(o)
			}
			if diff := cmp.Diff(tt.want, versionsOf(s)); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
		})
	}
}

// A node that starts folds the newest order only. The status of the older one tells it that there was one.
func TestOlderStartWasReplaced(t *testing.T) {
	var s Store
	s.ApplyAll([]baobabtide.Entry{orderEntry(9, "v1")})
	s.AddRolloutStart(baobabtide.RolloutStart{Rollout: 5, Customer: "c", Service: "s", Version: "v2", Started: time.Unix(5, 0)})
	if diff := cmp.Diff(versions{"", []string{"v2"}}, versionsOf(s.State())); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
}

func TestEarlierOutcomes(t *testing.T) {
	s := new(State)
	for _, o := range []baobabtide.OutcomeRecord{
		outcomeOf(1, "v1", baobabtide.Reverted), outcomeOf(2, "v2", baobabtide.Completed), outcomeOf(3, "v3", baobabtide.Reverted),
		outcomeOf(4, "v4", baobabtide.Completed), outcomeOf(5, "v5", baobabtide.Reverted), outcomeOf(6, "v6", baobabtide.Reverted),
	} {
		o.Reason, o.Evidence = "it failed", []baobabtide.RouteEvidence{{Route: "r"}}
		s = s.WithOutcome(o)
	}
	want := []baobabtide.OutcomeRecord{outcomeOf(4, "v4", baobabtide.Completed), outcomeOf(5, "v5", baobabtide.Reverted)}
	if diff := cmp.Diff(want, s.EarlierOutcomes("c", "s", 6)); diff != "" {
		t.Errorf("earlier outcomes (-want +got):\n%s", diff)
	}
	for i := range 2 * maxEarlier {
		s = s.WithOutcome(outcomeOf(baobabtide.Offset(10+i), "v9", baobabtide.Reverted))
	}
	earlier := s.EarlierOutcomes("c", "s", 1000)
	if diff := cmp.Diff([]baobabtide.Offset{maxEarlier, 4}, []baobabtide.Offset{baobabtide.Offset(len(earlier)), earlier[0].Rollout}); diff != "" {
		t.Errorf("number of earlier outcomes and the first one (-want +got):\n%s", diff)
	}
}

// TestRecordedOutcomeOfUnversionedService guards against a reverted version that gets traffic again on a platform
// whose outcomes are records of the configuration.
func TestRecordedOutcomeOfUnversionedService(t *testing.T) {
	tests := map[string]struct {
		result baobabtide.Result
		want   versions
	}{
		"reverted":  {baobabtide.Reverted, versions{"", []string{"v2"}}},
		"completed": {baobabtide.Completed, versions{"v2", nil}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Fold(new(State), orderEntry(1, "v2"))
			o := outcomeOf(1, "v2", tt.result)
			data, err := btcodec.EncodeJSON(&baobabtide.Record{ID: "outcome.1", Actor: "node/n", Outcome: &o})
			if err != nil {
				t.Fatal(err)
			}
			s = Fold(s, baobabtide.Entry{Offset: 2, Time: time.Unix(2, 0), Data: data})
			if diff := cmp.Diff(tt.want, versionsOf(s)); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
			a := s.Assignments[AssignmentKey("c", "s")]
			if diff := cmp.Diff([]string{baobabtide.AnyVersion, string(tt.result)}, []string{a.Current, string(a.Rollout.Result)}); diff != "" {
				t.Errorf("current version and result (-want +got):\n%s", diff)
			}
		})
	}
}
