package btnode

import (
	"slices"
	"testing"
	"time"
)

// The waits of the readers must end by turns: a change of which no reader is told, because
// the connections that wait for it are silent, must be found by the next read that begins.
func TestReadersTakeTurns(t *testing.T) {
	const longest = 4 * time.Second
	tests := map[string]struct {
		readers int64
		gap     time.Duration // longest time without the end of a wait
	}{
		"one":      {1, readInterval},
		"two":      {2, readInterval},
		"six":      {6, readInterval},
		"fourteen": {14, longest / 14}, // several periods do not fit into the longest wait
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(1_700_000_000, 0)
			var ends []time.Time
			for slot := range tt.readers {
				now := begin.Add(time.Duration(slot) * 137 * time.Millisecond) // the readers start at different times
				for now.Before(begin.Add(time.Minute)) {
					wait := readWait(now, slot, tt.readers, longest)
					if wait <= 0 || wait > longest {
						t.Fatalf("wait of %s", wait)
					}
					now = now.Add(wait)
					ends = append(ends, now)
				}
			}
			slices.SortFunc(ends, time.Time.Compare)
			for i := 1; i < len(ends); i++ {
				early := ends[i-1].Before(begin.Add(longest * 2)) // until all have taken their turns
				late := ends[i].After(begin.Add(time.Minute))
				if gap := ends[i].Sub(ends[i-1]); !early && !late && gap > tt.gap+time.Millisecond {
					t.Fatalf("no wait ends for %s", gap)
				}
			}
		})
	}
}

// A record wakes all readers at the same moment. Whatever the moment, the next wait must end within
// readInterval and the shortest wait.
func TestReadersTakeTurnsAfterRecord(t *testing.T) {
	const longest = 4 * time.Second
	for _, readers := range []int64{1, 2, 4, 6} {
		worst := time.Duration(0)
		for phase := time.Duration(0); phase < longest; phase += 10 * time.Millisecond {
			now := time.Unix(1_700_000_000, 0).Add(phase)
			first := longest
			for slot := range readers {
				first = min(first, readWait(now, slot, readers, longest))
			}
			worst = max(worst, first)
		}
		if worst > readInterval+readInterval/minWaitDivisor {
			t.Errorf("%d readers: no wait ends for %s after a record", readers, worst)
		}
	}
}
