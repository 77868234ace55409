package btnode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A restarted node must not put an older configuration in force than before its
// restart. This happened to one of 200 nodes that restarted while changes were
// published, because its first neighbor lagged.
func TestCatchUp(t *testing.T) {
	tests := map[string]struct {
		offsets map[string]baobabtide.Offset
		own     baobabtide.Offset
		others  int
		uptime  time.Duration
		want    bool
	}{
		"no configuration":                     {nil, 0, 5, time.Minute, false},
		"alone":                                {nil, 3, 0, 0, true},
		"one neighbor of many":                 {map[string]baobabtide.Offset{"a": 3}, 3, 5, 0, false},
		"the only neighbor":                    {map[string]baobabtide.Offset{"a": 3}, 3, 1, 0, true},
		"two neighbors agree":                  {map[string]baobabtide.Offset{"a": 3, "b": 3}, 3, 5, 0, true},
		"second neighbor is ahead":             {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, 0, false},
		"neighbor is ahead, after the timeout": {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpTimeout, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c catchUp
			for neighbor, offset := range tt.offsets {
				c.recordOffset(neighbor, offset)
				c.recordOffset(neighbor, offset-1) // an older message that arrives late
			}
			if diff := cmp.Diff(tt.want, c.done(tt.own, tt.others, tt.uptime)); diff != "" {
				t.Errorf("done (-want +got):\n%s", diff)
			}
		})
	}
}
