package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btroute"
)

// markDirty requests a rebuild of the route table. It does not block.
func (n *Node) markDirty() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// rebuildLoop builds the route table after changes of the configuration or the
// membership.
func (n *Node) rebuildLoop() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.dirty:
		}
		n.rebuild()
		n.sleep(rebuildPeriod)
	}
}

// rebuild puts a route table for the current configuration and membership in force,
// with the traffic shares and rate limits. The first table waits for catchUp.
func (n *Node) rebuild() {
	state := n.config.State()
	n.members.mu.Lock()
	members := n.members.table.Members()
	others := n.members.table.Live() - 1
	n.members.mu.Unlock()
	old := n.routes.Load()
	if old == nil && !n.catchUp.done(state.Position(), others, time.Since(n.started), n.edges.connected) {
		return
	}
	table := btroute.Build(state, members, n.locality, old)
	now := time.Now()
	_, newTrips := n.rollouts.setShares(state.Running(), table, now)
	n.sendTrips(newTrips)
	n.local.Limiter.Set(rateLimits(state))
	n.local.SetColdLimits(coldLimits(state))
	n.routes.Store(table)
	if old != nil && old.Offset == table.Offset && old.Revision == table.Revision {
		return
	}
	n.setAccountLimits(accountLimits(state), now)
	n.inForceAt.Store(now.UnixMicro())
	n.log.Info().Str("event", "config.in-force").Uint64("offset", uint64(table.Offset)).Uint64("revision", table.Revision).Send()
	n.changed.signal()
}

// rateLimits returns the limits of all contracts, in requests per second. A service
// without a limit is left out.
func rateLimits(state *btconfig.State) map[btadmit.RateKey]float64 {
	limits := make(map[btadmit.RateKey]float64)
	for customer, c := range state.Contracts {
		for i := range c.Contract.Services {
			terms := &c.Contract.Services[i]
			if terms.RequestsPerSecond > 0 {
				limits[btadmit.RateKey{Customer: customer, Service: terms.Service}] = terms.RequestsPerSecond
			}
		}
	}
	return limits
}

// coldLimits returns the lowest limits of all contracts on requests to a cold backend server,
// by service, in requests per second. A service without a limit is left out.
func coldLimits(state *btconfig.State) map[string]float64 {
	limits := make(map[string]float64)
	for _, c := range state.Contracts {
		for i := range c.Contract.Services {
			terms := &c.Contract.Services[i]
			if lowest, ok := limits[terms.Service]; terms.ColdPerSecond > 0 && (!ok || terms.ColdPerSecond < lowest) {
				limits[terms.Service] = terms.ColdPerSecond
			}
		}
	}
	return limits
}
