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
		"answered and ran":         {Whole, baobabtide.Ran, []Execution{{"k", "c.0"}}, true, anomalies{}},
		"answered and did not run": {Whole, baobabtide.Ran, nil, true, anomalies{Lost: 1}},
		"records are incomplete":   {Whole, baobabtide.Ran, nil, false, anomalies{}},
		"ran twice":                {Whole, baobabtide.Ran, []Execution{{"k", "c.0"}, {"k", "c.1"}}, true, anomalies{Doubled: 1}},
		"not-run and ran":          {NotRun, baobabtide.NotRun, []Execution{{"k", "c.0"}}, true, anomalies{FalseNotRun: 1}},
		"not-run and did not run":  {NotRun, baobabtide.NotRun, nil, true, anomalies{}},
		"may-have-run and ran":     {MayHaveRun, baobabtide.MayHaveRun, []Execution{{"k", "c.0"}}, true, anomalies{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tally := NewTally()
			tally.recordAttempt("c.0", tt.verdict, tt.verdict != baobabtide.Ran)
			tally.recordRequest("k", tt.outcome, "v1", time.Millisecond)
			s := tally.Summarize(tt.executions, tt.complete)
			if diff := cmp.Diff(tt.want, anomalies{s.Doubled, s.Lost, s.FalseNotRun}); diff != "" {
				t.Errorf("anomalies (-want +got):\n%s", diff)
			}
		})
	}
}
