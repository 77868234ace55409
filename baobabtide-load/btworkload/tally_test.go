package btworkload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A request that no node could take was counted as a whole answer, because that
// was the zero value of an ending.
func TestNoNodeIsNoAnswer(t *testing.T) {
	d := &Driver{Tally: NewTally(), Nodes: func() []string { return nil }}
	d.request(&Route{Method: "PUT"}, 0, false)
	s := d.Tally.Summarize(nil, true)
	if diff := cmp.Diff([]int{1, 0, 1}, []int{s.Requests, s.Whole, s.NoAnswer}); diff != "" {
		t.Errorf("requests, whole, no answer (-want +got):\n%s", diff)
	}
}

// counted is the part of a summary that the backend servers' records decide.
type counted struct {
	Doubled, Lost, FalseNotRun int
}

func TestSummarizeComparesWithWhatRan(t *testing.T) {
	tests := map[string]struct {
		ending     Ending
		told       baobabtide.Verdict
		executions []Execution
		complete   bool
		want       counted
	}{
		"answered and ran":         {Whole, baobabtide.Ran, []Execution{{"k", "c.0"}}, true, counted{}},
		"answered and did not run": {Whole, baobabtide.Ran, nil, true, counted{Lost: 1}},
		"a record is lost":         {Whole, baobabtide.Ran, nil, false, counted{}},
		"ran twice":                {Whole, baobabtide.Ran, []Execution{{"k", "c.0"}, {"k", "c.1"}}, true, counted{Doubled: 1}},
		"told not-run and ran":     {NotRun, baobabtide.NotRun, []Execution{{"k", "c.0"}}, true, counted{FalseNotRun: 1}},
		"told not-run, did not":    {NotRun, baobabtide.NotRun, nil, true, counted{}},
		"in doubt and ran":         {MayHaveRun, baobabtide.MayHaveRun, []Execution{{"k", "c.0"}}, true, counted{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tally := NewTally()
			tally.try("c.0", tt.told, tt.told != baobabtide.Ran)
			tally.end("k", tt.ending, "v1", time.Millisecond)
			s := tally.Summarize(tt.executions, tt.complete)
			if diff := cmp.Diff(tt.want, counted{s.Doubled, s.Lost, s.FalseNotRun}); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
		})
	}
}
