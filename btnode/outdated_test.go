package btnode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpeer"
)

// Nodes of an earlier version that got a configuration of a later epoch of the log from a new one read nothing
// more, and nobody did in their place.
func TestNodeReadsBesideOutdatedReaders(t *testing.T) {
	first, later := baobabtide.Offset(3), baobabtide.NewOffset(1, 3)
	for name, tt := range map[string]struct {
		own      baobabtide.Offset
		neighbor btpeer.Heartbeat
		want     bool
	}{
		"outdated, later epoch": {later, btpeer.Heartbeat{Offset: later}, true},
		"outdated, first epoch": {first, btpeer.Heartbeat{Offset: first}, false},
		"same version":          {later, btpeer.Heartbeat{Offset: later, Revision: 3}, false},
		"no configuration yet":  {later, btpeer.Heartbeat{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := configNodes(t, "a", "b", "c", "d")["d"]
			n.settings.Platform.ReadersPerZone = 0
			if _, err := n.config.Apply(btconfig.Link{Entry: contractEntry(t, tt.own)}); err != nil {
				t.Fatal(err)
			}
			for _, e := range n.Node.edges.all() {
				n.handleHeartbeat(e, &tt.neighbor, time.Now())
			}
			n.updateReadDuty(time.Now())
			if diff := cmp.Diff(tt.want, n.reader.Load()); diff != "" {
				t.Errorf("reader (-want +got):\n%s", diff)
			}
		})
	}
}
