package btnode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// One of 200 nodes that started anew while changes were published put an older
// version in force than it had before: its first neighbor lagged.
func TestCatchUp(t *testing.T) {
	tests := map[string]struct {
		heard  map[string]baobabtide.Offset
		own    baobabtide.Offset
		others int
		uptime time.Duration
		want   bool
	}{
		"no configuration":              {nil, 0, 5, time.Minute, false},
		"alone":                         {nil, 3, 0, 0, true},
		"one neighbor of many":          {map[string]baobabtide.Offset{"a": 3}, 3, 5, 0, false},
		"the only neighbor":             {map[string]baobabtide.Offset{"a": 3}, 3, 1, 0, true},
		"two neighbors agree":           {map[string]baobabtide.Offset{"a": 3, "b": 3}, 3, 5, 0, true},
		"the second one is further":     {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, 0, false},
		"further, after the grace time": {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpGrace, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c catchUp
			for neighbor, offset := range tt.heard {
				c.note(neighbor, offset)
				c.note(neighbor, offset-1) // an older message that comes late
			}
			if diff := cmp.Diff(tt.want, c.done(tt.own, tt.others, tt.uptime)); diff != "" {
				t.Errorf("done (-want +got):\n%s", diff)
			}
		})
	}
}
