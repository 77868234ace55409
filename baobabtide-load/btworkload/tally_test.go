package btworkload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// Without a running node no attempt is made, and the request keeps the zero value
// of its outcome. It must not count as a complete response.
func TestRequestWithoutNodesGetsNoAnswer(t *testing.T) {
	d := &Driver{Tally: NewTally(), Nodes: func() []string { return nil }}
	d.request(&Route{Method: "PUT"}, 0, false)
	s := d.Tally.Summarize(nil, true)
	if diff := cmp.Diff([]int{1, 0, 1}, []int{s.Requests, s.Whole, s.NoAnswer}); diff != "" {
		t.Errorf("requests, whole, no answer (-want +got):\n%s", diff)
	}
}

// anomalies holds the counts of a summary that depend on the backend servers'
// records.
type anomalies struct {
	Doubled, Lost, FalseNotRun int
}

func TestSummarizeComparesExecutions(t *testing.T) {
	tests := map[string]struct {
		outcome    Outcome
		verdict    baobabtide.Verdict
		executions []Execution
		complete   bool
		want       anomalies
	}{
		"answered and ran":         {Whole, baobabtide.Ran, []Execution{{Key: "k", Caller: "c.0"}}, true, anomalies{}},
		"answered and did not run": {Whole, baobabtide.Ran, nil, true, anomalies{Lost: 1}},
		"records are incomplete":   {Whole, baobabtide.Ran, nil, false, anomalies{}},
		"ran twice":                {Whole, baobabtide.Ran, []Execution{{Key: "k", Caller: "c.0"}, {Key: "k", Caller: "c.1"}}, true, anomalies{Doubled: 1}},
		"not-run and ran":          {NotRun, baobabtide.NotRun, []Execution{{Key: "k", Caller: "c.0"}}, true, anomalies{FalseNotRun: 1}},
		"not-run and did not run":  {NotRun, baobabtide.NotRun, nil, true, anomalies{}},
		"may-have-run and ran":     {MayHaveRun, baobabtide.MayHaveRun, []Execution{{Key: "k", Caller: "c.0"}}, true, anomalies{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tally := NewTally()
			reason := baobabtide.Reason("")
			if tt.verdict != baobabtide.Ran {
				reason = baobabtide.ReasonOverload
			}
			tally.recordAttempt("c.0", tt.verdict, reason)
			tally.recordRequest("k", attemptResult{outcome: tt.outcome, reason: reason, version: "v1"}, time.Millisecond)
			s := tally.Summarize(tt.executions, tt.complete)
			if diff := cmp.Diff(tt.want, anomalies{s.Doubled, s.Lost, s.FalseNotRun}); diff != "" {
				t.Errorf("anomalies (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSummarizeCountsGivenUp(t *testing.T) {
	type counts struct{ GivenUp, GivenUpRun, GivenUpCut, RunsCanceled int }
	ran, cut := Execution{Caller: "c.0", Read: true}, Execution{Caller: "c.0", Read: true, Canceled: true}
	tests := map[string]struct {
		verdict    baobabtide.Verdict
		reason     baobabtide.Reason
		executions []Execution
		want       counts
	}{
		"reached no server":  {baobabtide.MayHaveRun, baobabtide.ReasonLost, nil, counts{GivenUp: 1}},
		"ran to the end":     {baobabtide.MayHaveRun, baobabtide.ReasonLost, []Execution{cut, ran}, counts{GivenUp: 1, GivenUpRun: 1, RunsCanceled: 1}},
		"was running":        {baobabtide.MayHaveRun, baobabtide.ReasonLost, []Execution{cut}, counts{GivenUp: 1, GivenUpCut: 1, RunsCanceled: 1}},
		"ran, lost":          {baobabtide.Ran, baobabtide.ReasonLost, []Execution{ran}, counts{GivenUp: 1, GivenUpRun: 1}},
		"deadline":           {baobabtide.MayHaveRun, baobabtide.ReasonDeadline, []Execution{cut}, counts{RunsCanceled: 1}},
		"refused, not run":   {baobabtide.NotRun, baobabtide.ReasonLost, nil, counts{}},
		"answered elsewhere": {baobabtide.Ran, "", []Execution{cut, ran}, counts{RunsCanceled: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tally := NewTally()
			tally.recordAttempt("c.0", tt.verdict, tt.reason)
			s := tally.Summarize(tt.executions, true)
			if diff := cmp.Diff(tt.want, counts{s.GivenUp, s.GivenUpRun, s.GivenUpCut, s.RunsCanceled}); diff != "" {
				t.Errorf("given up (-want +got):\n%s", diff)
			}
		})
	}
}
