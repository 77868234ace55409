package btnode

import (
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btsettings"
)

// Reload puts changed settings in force. The backend server beside the node may
// become another one while the process runs; its addresses and those of its
// peers may not, so a change of other sections waits for the next start.
func (n *Node) Reload(next *btsettings.Settings) {
	before := n.backendSettings()
	n.backend.Store(&next.Backend)
	n.log.Info().Str("event", string(btlog.SettingsReloaded)).
		Bool("backend-changed", before != next.Backend).
		Str("service", next.Backend.Service).Str("address", next.Backend.Address).
		Bool("restart-needed", n.settings.Caller != next.Caller || n.settings.Node != next.Node || n.settings.Metrics != next.Metrics).
		Send()
}
