package btnode

import (
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btsettings"
)

// Reload puts the Backend section and the grace time of changed settings in force, because the
// backend server beside the node may be replaced while the process runs, and its stop has to fit
// the platform. The addresses of the node and its peers may not change, so changes of the other
// sections take effect at the next start.
func (n *Node) Reload(next *btsettings.Settings) {
	before := n.backendSettings()
	limits := next.Limits
	limits.GraceSeconds = n.settings.Limits.GraceSeconds
	n.reloaded.Store(next)
	n.log.Info().Str("event", string(btlog.SettingsReloaded)).
		Bool("backend-changed", before != next.Backend).
		Str("service", next.Backend.Service).Str("address", next.Backend.Address).
		Bool("restart-needed", n.settings.Caller != next.Caller || n.settings.Node != next.Node || n.settings.Metrics != next.Metrics || n.settings.Limits != limits).
		Send()
}
