package btnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/ants/v2"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btpanic"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	tickPeriod        = 500 * time.Millisecond
	serverStopTimeout = 300 * time.Millisecond // for the servers to stop after the drain terms have ended, if they have not before
	retryBurstShare   = 0.6                    // fraction of Terms.RetryBurst that the nodes share out; the rest allows for nodes that count different numbers of live members
)

// Run serves until a planned stop has finished. It starts a planned stop when
// the context ends. It fails only if a listener can't be opened.
func (n *Node) Run(ctx context.Context) error {
	stopServers, err := n.serve()
	if err != nil {
		return err
	}
	n.tick(time.Now()) // before readLoop starts, so that a reader starts to read at once
	for _, loop := range []func(){n.tickLoop, n.registryLoop, n.rebuildLoop, n.readLoop, n.snapshotLoop, n.directoryLoop, n.outcomeLoop, n.summaryLoop, n.quarantineLoop, n.usageLoop, n.coordinateLoop} {
		n.wg.Go(func() { n.runLoop(loop) })
	}
	n.log.Info().Str("event", "node.started").Str("zone", n.locality.Zone).Uint64("incarnation", n.incarnation).Send()
	select {
	case <-ctx.Done():
		n.Drain("signal")
	case <-n.drained:
	}
	<-n.drained
	n.leave()
	stopServers()
	n.cancel()
	n.wg.Wait()
	n.log.Info().Str("event", "node.stopped").Int64("refused", n.callers.Refused.Load()).
		Int64("unanswered", n.unanswered.Load()).Int64("caller-closed", n.callerClosed.Load()).Send()
	return nil
}

const panicPause = time.Second // before a loop that has panicked starts again

// runLoop runs a loop and starts it again after a panic.
func (n *Node) runLoop(loop func()) {
	for n.ctx.Err() == nil && btpanic.Catch("background loop", n.recordPanic, loop) != nil {
		n.sleep(panicPause)
	}
}

// recordPanic logs a panic and counts it.
func (n *Node) recordPanic(err *btpanic.Error) {
	n.panics.Add(1)
	n.log.Error().Str("event", "panic").Str("work", err.Work).Str("cause", fmt.Sprint(err.Cause)).Bytes("stack", err.Stack).Send()
}

// listener describes one address that the node listens on and its server.
type listener struct {
	name    string
	address string
	serve   func(net.Listener) error
	stop    func()
}

// serve opens all listeners, serves them in the background and returns a function
// that stops all servers in parallel, because a drained node has to exit quickly for
// its next process to start. The callers' server, which refuses requests until then, stops
// last. If a listener fails to open, serve closes the others.
func (n *Node) serve() (func(), error) {
	listeners := n.listeners()
	opened := make([]net.Listener, 0, len(listeners))
	for _, l := range listeners {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return nil, fmt.Errorf("listen for %s: %w", l.name, err)
		}
		opened = append(opened, socket)
	}
	for i, l := range listeners {
		go func() {
			if err := l.serve(opened[i]); err != nil && n.ctx.Err() == nil {
				n.log.Warn().Str("event", "listener.ended").Str("listener", l.name).Err(err).Send()
			}
		}()
	}
	return func() {
		stopListeners(listeners, time.Until(n.stopBy)+serverStopTimeout)
	}, nil
}

// stopListeners stops the servers of all listeners but the first in parallel, and then the
// first. It waits for the others no longer than the timeout.
func stopListeners(listeners []listener, timeout time.Duration) {
	stopped := make(chan struct{})
	go func() {
		var stopping sync.WaitGroup
		for _, l := range listeners[1:] {
			stopping.Go(l.stop)
		}
		stopping.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(timeout):
	}
	listeners[0].stop()
}

// listeners creates the servers of all addresses that the settings name. The callers'
// listener is first, the peer listener last.
func (n *Node) listeners() []listener {
	callers, _ := btcaller.NewServer(n.dispatch, btcaller.Limits{
		HeaderBytes:     n.settings.Caller.MaxHeaderBytes,
		BodyBytes:       n.settings.Caller.MaxBodyBytes,
		Connections:     n.settings.Limits.Connections(n.settings.Caller.MaxConnections),
		DefaultCustomer: n.settings.Caller.DefaultCustomer,
		Overrides:       n.callerLimits,
		Budget:          n.clientBudget,
		Strict:          n.settings.Limits.MemoryMegabytes > 0,
	})
	callers.Names = n.adapters.CallerNames
	callers.Origin = n.origin
	callers.HasRoute = n.hasRoute
	callers.OnRefusal = n.recordClientRefusal
	callers.OnUnanswered = n.recordUnanswered
	callers.OnPanic = n.recordPanic
	n.callers, n.finishCallers = callers, sync.OnceFunc(func() { callers.Finish(time.Until(n.stopBy) - btcaller.RefusalTimeout) })
	announce, stopAnnounce := n.adapters.NewAnnounceServer(&n.registry, n.backendSettings)
	announce.Handler = btpanic.Handler("announcement", n.recordPanic, announce.Handler)
	n.stopAnnounce = sync.OnceFunc(stopAnnounce)
	operators, stopOperators := btoperator.NewServer(operators{n})
	operators.OnPanic = n.recordPanic
	listeners := []listener{
		{"callers", n.settings.Caller.Listen, func(l net.Listener) error { return callers.Serve(l, n.callerTLS()) }, callers.Close},
		{"backend servers", n.settings.Backend.Listen, n.bounded("backend servers", maxAnnounceConns, announce.Serve), n.stopAnnounce},
		{"operators", n.settings.Operator.Listen, n.bounded("operators", maxOperatorConns, func(l net.Listener) error { return operators.Serve(l, n.serverTLS()) }), stopOperators},
	}
	if n.settings.Metrics.Listen != "" {
		server, stopMetrics := n.metricsServer()
		listeners = append(listeners, listener{"metrics", n.settings.Metrics.Listen, n.bounded("metrics", maxMetricsConns, server.Serve), stopMetrics})
	}
	if n.settings.Metrics.Ready != "" {
		ready, stopReady := n.metricsServer()
		listeners = append(listeners, listener{"readiness", n.settings.Metrics.Ready, n.bounded("readiness", maxMetricsConns, ready.Serve), stopReady})
	}
	n.server, _ = btpeer.NewServer(n, n.serverTLS(), &n.bytes)
	n.server.Pacer, n.server.OnPanic = n.peers.Pacer, n.recordPanic
	return append(listeners, listener{"peers", n.settings.Peer.Listen, n.server.Serve, func() {
		n.edges.closeAll()
		ctx, cancel := context.WithDeadline(context.Background(), n.stopBy)
		defer cancel()
		n.server.Stop(ctx)
	}})
}

// tick runs the periodic tasks: it expires leases of backend servers, advances
// failure detection, maintains edges and decides on rollouts. While the node has
// no route table, each tick requests a rebuild.
func (n *Node) tick(now time.Time) {
	n.registry.Expire(now)
	n.tickMembers(now)
	n.tickEdges(now)
	n.tickRollouts(now)
	if n.routes.Load() == nil {
		n.markDirty()
	}
}

// tickLoop calls tick every tickPeriod. It handles new addresses from the
// directory and failures of a new version without waiting for the next tick.
func (n *Node) tickLoop() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.tick(now)
		case addresses := <-n.directoryAddresses:
			n.seeds.Add(addresses)
			n.dialSeeds(time.Now())
		case <-n.rollouts.failing:
			n.tickRollouts(time.Now())
		}
	}
}

// registryLoop announces the backend servers beside the node after every change
// of the registry.
func (n *Node) registryLoop() {
	for {
		changed := n.registry.Changed()
		n.announceTargets()
		select {
		case <-n.ctx.Done():
			return
		case <-changed:
		}
	}
}

// announceTargets passes the registered backend servers to the admitter, announces the
// targets to the other nodes and logs them if they have changed.
func (n *Node) announceTargets() {
	n.local.Update(n.registry.Servers())
	n.members.mu.Lock()
	delta := n.members.table.Announce(n.targetsToAnnounce(), n.registry.Departures(), time.Now()) // read under the lock, so that the last call announces the latest state
	n.members.mu.Unlock()
	if targets := n.registry.Targets(); len(delta.Members) > 0 || len(targets) == 0 {
		n.logTargets(targets)
	}
	n.disseminate(delta, nil)
}

// targetsToAnnounce returns the registered targets. Once the node refuses requests, all of
// them are draining.
func (n *Node) targetsToAnnounce() []baobabtide.Target {
	targets := n.registry.Targets()
	if n.refusing.Load() {
		for i := range targets {
			targets[i].State = baobabtide.TargetDraining
		}
	}
	return targets
}

func (n *Node) logTargets(targets []baobabtide.Target) {
	for i := range targets {
		n.log.Info().Str("event", string(btlog.TargetChanged)).Str("target", targets[i].Name).Str("service", targets[i].Service).
			Str("version", targets[i].Version).Stringer("state", targets[i].State).Int("slots", targets[i].Slots).Uint64("incarnation", targets[i].Incarnation).Send()
	}
	if len(targets) == 0 {
		n.log.Info().Str("event", string(btlog.TargetChanged)).Bool("none", true).Send()
	}
}

// tickMembers advances failure detection, sets this node's share of the retry
// burst, updates its part in reading the log and disseminates status changes.
func (n *Node) tickMembers(now time.Time) {
	n.members.mu.Lock()
	delta := n.members.table.Tick(now)
	live := n.members.table.Live()
	n.members.mu.Unlock()
	if burst := n.settings.Terms.RetryBurst; burst > 0 {
		n.dispatch.Budgets.SetBurst(burst * retryBurstShare / float64(live))
	}
	n.cutOff.Store(n.isCutOff(now))
	n.updateReadDuty(now)
	for _, s := range delta.Statuses {
		n.log.Info().Str("event", "member.status").Str("member", s.Name).Stringer("status", s.Status).Send()
	}
	n.disseminate(delta, nil)
}

// jitterFraction returns a number in [0, 1) that is derived from the node's name.
func (n *Node) jitterFraction() float64 {
	return float64(xxhash.Sum64String(n.locality.Node)>>11) / (1 << 53)
}

// jitter returns a duration below joinGrace that is derived from the node's name.
func (n *Node) jitter() time.Duration {
	return time.Duration(n.jitterFraction() * float64(joinGrace))
}

// submit runs a job on a worker. It blocks while all workers are busy, and drops
// the job if the pool is closed.
func (n *Node) submit(job func()) {
	guarded := func() { _ = btpanic.Catch("job", n.recordPanic, job) }
	if err := n.workers.Submit(guarded); err != nil && !errors.Is(err, ants.ErrPoolClosed) {
		n.log.Error().Str("event", "worker.refused").Err(err).Send()
	}
}
