package btsettings

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A misspelled value must not silently select the default.
func TestPlacement(t *testing.T) {
	tests := map[Placement]string{
		PlacementDefault:  "",
		PlacementFastest:  "",
		PlacementBalanced: "",
		"balanced":        `Placement: "balanced" is neither "Fastest" nor "Balanced"`,
	}
	for value, want := range tests {
		t.Run(string(value), func(t *testing.T) {
			got := ""
			if err := value.Check(); err != nil {
				got = baobabtide.Within("Placement", err).Error()
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}
