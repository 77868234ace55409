package baobabtide

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDrainWithinEveryGraceTime guards against drain terms that end after the platform kills the process, or
// that break off requests before the last sixth of its grace time.
func TestDrainWithinEveryGraceTime(t *testing.T) {
	for grace := time.Second; grace < 10*time.Minute; grace += 37 * time.Millisecond {
		terms := DrainWithin(grace)
		if err := terms.Check(); err != nil {
			t.Fatalf("grace time %s: %v", grace, err)
		}
		end := terms.Notice + terms.Finish
		if end >= grace || end-refusalTime < grace-grace/exitShare-time.Microsecond || terms.Notice > grace/2 {
			t.Fatalf("grace time %s: notice %s, finish %s", grace, terms.Notice, terms.Finish)
		}
	}
	for grace, want := range map[time.Duration]DrainTerms{
		600 * time.Millisecond: {Notice: 220 * time.Millisecond, Finish: 350 * time.Millisecond},
		6 * time.Second:        {Notice: 2200 * time.Millisecond, Finish: 3 * time.Second},
		10 * time.Second:       {Notice: 2200 * time.Millisecond, Finish: 7 * time.Second},
		time.Hour:              {Notice: 2200 * time.Millisecond, Finish: maxFinish},
	} {
		if diff := cmp.Diff(want, DrainWithin(grace)); diff != "" {
			t.Errorf("grace time %s (-want +got):\n%s", grace, diff)
		}
	}
}
