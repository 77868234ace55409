package btnode

import (
	"testing"

	"github.com/baobabtide/baobabtide/btroute"
	"github.com/baobabtide/baobabtide/btsettings"
)

// The settings of the node take precedence over the platform, and without either nothing changes.
func TestPlacement(t *testing.T) {
	tests := map[string]struct {
		settings, adapters btsettings.Placement
		want               *btroute.Policy
	}{
		"neither":                  {btsettings.PlacementDefault, btsettings.PlacementDefault, btroute.Fastest},
		"platform":                 {btsettings.PlacementDefault, btsettings.PlacementBalanced, btroute.Balanced},
		"settings":                 {btsettings.PlacementBalanced, btsettings.PlacementDefault, btroute.Balanced},
		"settings take precedence": {btsettings.PlacementFastest, btsettings.PlacementBalanced, btroute.Fastest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if placement(&btsettings.Settings{Placement: tt.settings}, &Adapters{Placement: tt.adapters}) != tt.want {
				t.Error("another policy")
			}
		})
	}
}
