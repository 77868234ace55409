package btnode

import (
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btplatform"
	"github.com/baobabtide/baobabtide/btsettings"
)

// Announcer returns the server that takes the announcements of the backend
// server beside the node, and a function that stops it. The settings of that
// backend server may change while it runs.
type Announcer func(registry *btbackend.Registry, backend func() btsettings.Backend) (*fasthttp.Server, func())

// Adapters are what differs between the platforms that a node may run on.
type Adapters struct {
	Log       baobabtide.Log
	Outcomes  baobabtide.OutcomeLog         // nil where outcomes go into the configuration's log
	Directory baobabtide.Directory          // nil where only the seeds of the settings are known
	Calls     func() (reads, appends int64) // sent to the platform
	Announce  Announcer

	CallerNames  btcaller.HeaderNames
	BackendNames btbackend.HeaderNames
}

// ownAdapters returns those of the product's own platform log, and a function
// that closes its connections.
func ownAdapters(settings *btsettings.Settings) (Adapters, func()) {
	client, closeClient := btplatform.NewClient(settings.Platform.Addresses, settings.Platform.Timeout)
	return Adapters{
		Log: client,
		Calls: func() (int64, int64) {
			calls := client.Calls()
			return calls.Reads, calls.Appends
		},
		Announce: func(registry *btbackend.Registry, _ func() btsettings.Backend) (*fasthttp.Server, func()) {
			return btbackend.NewAnnounceServer(registry)
		},
		CallerNames:  btcaller.DefaultNames(),
		BackendNames: btbackend.DefaultNames(),
	}, closeClient
}

// origin returns the service beside the node.
func (n *Node) origin() string { return n.backend.Load().Service }

// backendSettings returns the settings of the backend server beside the node.
func (n *Node) backendSettings() btsettings.Backend { return *n.backend.Load() }

// callerLimits returns the bounds of the default customer's contract on what
// callers may send, nil for none.
func (n *Node) callerLimits() *baobabtide.CallerLimits {
	table := n.routes.Load()
	if table == nil {
		return nil
	}
	return table.Callers(n.settings.Caller.DefaultCustomer)
}
