package baobabtide

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Offsets of a later epoch are higher, whatever their numbers, and the first epoch gives plain numbers.
func TestOffsetsAreOrderedByEpoch(t *testing.T) {
	offsets := []Offset{0, 1, 9, NewOffset(0, 1<<epochShift-1), NewOffset(1, 0), NewOffset(1, 1), NewOffset(2, 0), NewOffset(MaxEpoch, 7)}
	texts := []string{"0", "1", "9", "1099511627775", "1:0", "1:1", "2:0", "16777215:7"}
	for i, o := range offsets {
		if i > 0 && o <= offsets[i-1] {
			t.Errorf("%s is not after %s", o, offsets[i-1])
		}
		if diff := cmp.Diff(texts[i], o.String()); diff != "" {
			t.Errorf("text (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(o, NewOffset(o.Epoch(), o.Number())); diff != "" {
			t.Errorf("offset of its parts (-want +got):\n%s", diff)
		}
		if start := o.EpochStart(); start > o || start.Epoch() != o.Epoch() || start.Number() != 0 {
			t.Errorf("the epoch of %s starts at %s", o, start)
		}
	}
	if diff := cmp.Diff(NewOffset(3, 0), NewOffset(2, 9).NextEpoch()); diff != "" {
		t.Errorf("next epoch (-want +got):\n%s", diff)
	}
}
