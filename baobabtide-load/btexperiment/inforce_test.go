package btexperiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
)

// at returns a time in seconds after the start of the load.
func at(seconds float64) time.Time {
	return time.UnixMicro(1_800_000_000_000_000 + int64(seconds*1e6))
}

func during(from, to float64) *span { return &span{from: at(from), to: at(to)} }

// starving returns the starvation of a node, of the log if its name is empty.
func starving(from, to float64, node string) starvation {
	return starvation{span: *during(from, to), all: node == "", nodes: map[string]bool{node: true}}
}

// A change that is not in force in time is reported with the node and how late it was, unless
// the node was disturbed or the log was down.
func TestFindLate(t *testing.T) {
	const end = 30
	tests := map[string]struct {
		steps   []step
		nodes   []*span // disturbances of the node
		log     []*span
		starved []starvation
		want    []string // of a change at offset 5 that is acknowledged at 10 s
	}{
		"in force at once":               {steps: []step{{at(1), 4}, {at(10), 5}}},
		"in force at the bound":          {steps: []step{{at(12), 5}}},
		"a later one is in force":        {steps: []step{{at(11), 9}}},
		"late":                           {steps: []step{{at(1), 4}, {at(12.25), 5}}, want: []string{"n 250ms late"}},
		"passed over, late":              {steps: []step{{at(1), 4}, {at(15), 7}}, want: []string{"n 3s late"}},
		"never":                          {steps: []step{{at(1), 4}}, want: []string{"n not after 18s"}},
		"no configuration at all":        {want: []string{"n not after 18s"}},
		"forgotten by a restart":         {steps: []step{{at(10), 5}, {at(11), 0}, {at(11), 4}}, want: []string{"n not after 18s"}},
		"log down":                       {steps: []step{{at(17), 5}}, log: []*span{during(11, 12.5)}},
		"log down, too late":             {steps: []step{{at(17.5), 5}}, log: []*span{during(11, 12.5)}, want: []string{"n 500ms late"}},
		"log down before":                {steps: []step{{at(13), 5}}, log: []*span{during(8, 9.9)}, want: []string{"n 1s late"}},
		"log down afterwards":            {steps: []step{{at(13), 5}}, log: []*span{during(12, 14)}, want: []string{"n 1s late"}},
		"log still down":                 {steps: []step{{at(17), 5}}, log: []*span{{from: at(9)}}},
		"disturbed":                      {steps: []step{{at(14), 5}}, nodes: []*span{during(10, 11)}},
		"disturbed, too late":            {steps: []step{{at(14.5), 5}}, nodes: []*span{during(10, 11)}, want: []string{"n 500ms late"}},
		"disturbed long before":          {steps: []step{{at(13), 5}}, nodes: []*span{during(7, 8.9)}, want: []string{"n 1s late"}},
		"disturbed after the bound":      {steps: []step{{at(14), 5}}, nodes: []*span{during(12, 13)}, want: []string{"n 2s late"}},
		"disturbed again and again":      {steps: []step{{at(19), 5}}, nodes: []*span{during(15, 16), during(9, 11), during(13, 14)}},
		"disturbed again, too late":      {steps: []step{{at(20), 5}}, nodes: []*span{during(15, 16), during(9, 11), during(13, 14)}, want: []string{"n 1s late"}},
		"still disturbed":                {nodes: []*span{{from: at(11)}}},
		"restarts in time":               {steps: []step{{at(1), 4}, {at(9), 0}, {at(11), 5}}, nodes: []*span{during(8, 9)}},
		"restarts, then not":             {steps: []step{{at(1), 5}, {at(9), 0}, {at(11), 4}}, nodes: []*span{during(8, 9)}, want: []string{"n not after 18s"}},
		"starved":                        {steps: []step{{at(14), 5}}, starved: []starvation{starving(11, 12, "n"), starving(12, 13, "n")}},
		"starved, too late":              {steps: []step{{at(14.5), 5}}, starved: []starvation{starving(11, 12, "n"), starving(12, 13, "n")}, want: []string{"n 500ms late"}},
		"starved at the acknowledgement": {steps: []step{{at(13), 5}}, starved: []starvation{starving(9.5, 10.5, "n")}, want: []string{"n 500ms late"}},
		"starved before and after":       {steps: []step{{at(13), 5}}, starved: []starvation{starving(8, 9, "n"), starving(12.5, 13, "n")}, want: []string{"n 1s late"}},
		"starved while the log is down":  {steps: []step{{at(18.5), 5}}, log: []*span{during(11, 12)}, starved: []starvation{starving(16, 17, "n")}, want: []string{"n 500ms late"}},
		"log starved":                    {steps: []step{{at(13), 5}}, starved: []starvation{starving(11, 12, "")}},
		"another node starved":           {steps: []step{{at(13), 5}}, starved: []starvation{starving(11, 12, "m")}, want: []string{"n 1s late"}},
		"starved after a disturbance":    {steps: []step{{at(15.5), 5}}, nodes: []*span{during(10, 11)}, starved: []starvation{starving(12, 13, "n")}, want: []string{"n 500ms late"}},
		"due after the end of the load":  {nodes: []*span{during(9, 28)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &disturbances{log: tt.log, nodes: map[string][]*span{"n": tt.nodes}, starved: tt.starved}
			nodes := map[string][]step{"n": tt.steps, "other": {{at(10), 5}}}
			got := findLate("offset", []btlogstandin.Ack{{Offset: 5, Time: at(10)}}, nodes, d, at(0), at(end))
			var want []string
			for _, late := range tt.want {
				want = append(want, "change at offset 5, acknowledged at 10s: "+late)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("late changes (-want +got):\n%s", diff)
			}
		})
	}
}

// The latest nodes are named first, and only some of them.
func TestFindLateNames(t *testing.T) {
	nodes := map[string][]step{"a": {{at(13), 5}}, "b": {{at(16), 5}}, "c": {{at(14), 5}}, "d": {{at(1), 4}}, "e": {{at(14), 5}}, "f": {{at(11), 5}}}
	acks := []btlogstandin.Ack{{Offset: 4, Time: at(0.5)}, {Offset: 5, Time: at(10)}}
	got := findLate("offset", acks, nodes, &disturbances{}, at(0), at(30))
	want := []string{
		"change at offset 4, acknowledged at 500ms: b 13.5s late, c 11.5s late, e 11.5s late and 2 more nodes",
		"change at offset 5, acknowledged at 10s: d not after 18s, b 4s late, c 2s late and 2 more nodes",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("late changes (-want +got):\n%s", diff)
	}
}

// The log of a node tells what its processes put in force. A process that goes back to an
// older configuration is counted, a restarted one is not.
func TestReadSteps(t *testing.T) {
	const (
		started = `{"level":"info","node":"n","event":"node.started","zone":"a","incarnation":7,"time":1000000}`
		four    = `{"level":"info","node":"n","event":"config.in-force","offset":4,"time":2000000}`
		five    = `{"level":"info","node":"n","event":"config.in-force","offset":5,"time":3000000}`
		other   = `{"level":"info","node":"n","event":"member.status","member":"config.in-force","time":3000000}`
		cut     = `{"level":"info","node":"n","event":"config.in-force","off`
	)
	start, first, second := step{time.UnixMicro(1e6), 0}, step{time.UnixMicro(2e6), 4}, step{time.UnixMicro(3e6), 5}
	tests := map[string]struct {
		lines []string
		steps []step
		back  int
	}{
		"in order":         {[]string{started, four, other, five}, []step{start, first, second}, 0},
		"back":             {[]string{started, five, four}, []step{start, second, first}, 1},
		"back and forth":   {[]string{started, five, four, five, four}, []step{start, second, first, second, first}, 2},
		"restarted":        {[]string{started, five, started, four}, []step{start, second, start, first}, 0},
		"killed in a line": {[]string{started, five, cut + started, four}, []step{start, second, start, first}, 0},
		"killed at last":   {[]string{started, five, cut}, []step{start, second}, 0},
		"empty":            {nil, nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "n.log")
			if err := os.WriteFile(path, []byte(strings.Join(tt.lines, "\n")), 0o600); err != nil {
				t.Fatal(err)
			}
			steps, err := readSteps(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.steps, steps, cmp.AllowUnexported(step{})); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
			if got := wentBack(steps); got != tt.back {
				t.Errorf("went back %d times, want %d", got, tt.back)
			}
		})
	}
}

// A late change makes a run fail, and the violation says which change, where and how late.
func TestLateIsViolation(t *testing.T) {
	tests := map[string]struct {
		late []string
		want string
	}{
		"none": {nil, ""},
		"one":  {[]string{"change at offset 5, acknowledged at 10s: n 1s late"}, "Late is 1; change at offset 5, acknowledged at 10s: n 1s late"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			count := len(tt.late)
			result := &Result{Late: &count, LateChanges: tt.late}
			if diff := cmp.Diff(tt.want, result.FirstViolation()); diff != "" {
				t.Errorf("violation (-want +got):\n%s", diff)
			}
		})
	}
}

// The revisions that a node logs are a history of their own, in which a restored log that nodes follow too far back
// shows. Nodes of earlier versions log none.
func TestReadRevisions(t *testing.T) {
	const (
		started = `{"event":"node.started","time":1000000}`
		fifth   = `{"event":"config.in-force","offset":9,"revision":5,"time":2000000}`
		fourth  = `{"event":"config.in-force","offset":1099511627777,"revision":4,"time":3000000}`
		none    = `{"event":"config.in-force","offset":10,"time":4000000}`
	)
	start, first, second := step{time.UnixMicro(1e6), 0}, step{time.UnixMicro(2e6), 5}, step{time.UnixMicro(3e6), 4}
	tests := map[string]struct {
		lines     []string
		revisions []step
		back      int
		unrevised bool
	}{
		"back while the offset rises": {[]string{started, fifth, fourth}, []step{start, first, second}, 1, false},
		"restarted":                   {[]string{started, fifth, started, fourth}, []step{start, first, start, second}, 0, false},
		"earlier version":             {[]string{started, fifth, none}, []step{start, first, {time.UnixMicro(4e6), 0}}, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "n.log")
			if err := os.WriteFile(path, []byte(strings.Join(tt.lines, "\n")), 0o600); err != nil {
				t.Fatal(err)
			}
			inForce, err := readInForce(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.revisions, inForce.revisions, cmp.AllowUnexported(step{})); diff != "" {
				t.Errorf("revisions (-want +got):\n%s", diff)
			}
			if got := wentBack(inForce.revisions); got != tt.back || inForce.unrevised != tt.unrevised {
				t.Errorf("went back %d times, unrevised %t", got, inForce.unrevised)
			}
		})
	}
}
