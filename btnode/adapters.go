package btnode

import (
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btplatform"
	"github.com/baobabtide/baobabtide/btroute"
	"github.com/baobabtide/baobabtide/btsettings"
)

// AnnounceServerFunc creates the server that receives the announcements of the backend
// server beside the node and records them in registry. It also returns a function
// that stops the server. backend returns the settings in force, which may change
// while the server runs.
type AnnounceServerFunc func(registry *btbackend.Registry, backend func() btsettings.Backend) (*fasthttp.Server, func())

// Adapters holds the parts of a node that depend on the platform it runs on.
type Adapters struct {
	Log               baobabtide.Log
	Outcomes          baobabtide.OutcomeLog         // nil if outcomes are stored in the configuration log
	Directory         baobabtide.Directory          // nil if the platform has none and only the seeds of the settings are used
	Quarantine        baobabtide.QuarantineLog      // nil if it is stored in QuarantineStream of Log
	Calls             func() (reads, appends int64) // number of calls sent to the platform so far
	NewAnnounceServer AnnounceServerFunc

	CallerNames  btcaller.HeaderNames
	BackendNames btbackend.HeaderNames

	Placement btsettings.Placement // if the settings hold none
}

// defaultAdapters returns the adapters for the product's own platform log, and a
// function that closes their connections.
func defaultAdapters(settings *btsettings.Settings) (Adapters, func()) {
	client, closeClient := btplatform.NewClient(settings.Platform.Addresses, settings.Platform.Timeout)
	return Adapters{
		Log: client,
		Calls: func() (int64, int64) {
			calls := client.Calls()
			return calls.Reads, calls.Appends
		},
		NewAnnounceServer: func(registry *btbackend.Registry, _ func() btsettings.Backend) (*fasthttp.Server, func()) {
			return btbackend.NewAnnounceServer(registry)
		},
		CallerNames:  btcaller.DefaultNames(),
		BackendNames: btbackend.DefaultNames(),
	}, closeClient
}

// origin returns the service of the backend server beside the node, empty if the
// settings name none.
func (n *Node) origin() string { return n.reloaded.Load().Backend.Service }

// backendSettings returns the settings in force of the backend server beside the
// node.
func (n *Node) backendSettings() btsettings.Backend { return n.reloaded.Load().Backend }

// callerLimits returns the limits on callers' requests that the contract of the
// default customer sets, nil if there are none or no route table exists yet.
func (n *Node) callerLimits() *baobabtide.CallerLimits {
	table := n.routes.Load()
	if table == nil {
		return nil
	}
	return table.CallerLimits(n.settings.Caller.DefaultCustomer)
}

// placement returns the policy for the choice of targets: that of the settings, or else of the
// adapters.
func placement(settings *btsettings.Settings, adapters *Adapters) *btroute.Policy {
	p := settings.Placement
	if p == btsettings.PlacementDefault {
		p = adapters.Placement
	}
	if p == btsettings.PlacementBalanced {
		return btroute.Balanced
	}
	return btroute.Fastest
}
