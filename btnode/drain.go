package btnode

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btrollout"
)

const (
	defaultNotice = time.Second      // time in which the node still accepts requests, until callers go elsewhere
	defaultFinish = 20 * time.Second // time for the requests in flight after the notice; both apply if neither a contract nor the settings set them

	callTimeDivisor   = 4                      // requests of any duration are admitted for 1/4 of the time to finish if some still run beside the node; those that are admitted last need the rest
	maxCallTime       = 750 * time.Millisecond // the same, at most, on a platform with a grace time: callers that come later are told to come back rather than broken off
	announceStopTime  = 200 * time.Millisecond // for the server of the backend servers' announcements to stop
	drainCheckPeriod  = 20 * time.Millisecond  // between checks whether requests are still in flight
	disseminationTime = 50 * time.Millisecond  // for the other nodes to learn that the targets are draining, before the node refuses requests
	leaveFlushTime    = 100 * time.Millisecond // for the last messages to be sent before the edges close
)

// Drain implements btpeer.Node. It starts a planned stop in the background, unless
// one has begun, and returns the number of requests in flight to the backend
// servers beside the node.
//
// The node reports itself as not ready, but serves requests for the notice period, so
// that callers can go elsewhere. Then it announces its targets as draining and refuses new
// requests to them. It serves callers until those in flight have ended, because these make
// calls through the node. Once a quarter of the time to finish has passed, it refuses callers'
// new requests that may last longer than the stop. It leaves when its callers have their
// responses, the other nodes have received theirs and the key partners know the results.
func (n *Node) Drain(reason string) int {
	n.stopOnce.Do(func() {
		n.log.Info().Str("event", "node.draining").Str("reason", reason).Send()
		n.draining.Store(true)
		n.wg.Go(n.finishDrain)
	})
	return n.local.Active()
}

// finishDrain runs a planned stop until nothing is pending, or the deadline of the drain
// terms has passed, and closes n.drained. A caller that doesn't finish must not take up
// the time of the requests of other nodes.
func (n *Node) finishDrain() {
	defer close(n.drained)
	terms := n.drainTerms()
	n.stopBy = time.Now().Add(terms.Notice + terms.Finish)
	n.callers.StartDraining()
	n.sleep(terms.Notice)
	n.refusing.Store(true)
	n.announceTargets()
	n.sleep(disseminationTime)
	n.local.Drain()
	announceStop := time.AfterFunc(time.Until(n.stopBy)-announceStopTime, n.stopAnnounce) // leave needs it stopped
	defer announceStop.Stop()
	idle := func() bool { return n.local.Active() == 0 }
	n.await(idle, n.stopBy.Add(n.callTime(terms.Finish)-terms.Finish))
	n.callers.AdmitUntil(n.stopBy.Add(-btcaller.RefusalTimeout))
	n.await(idle, n.stopBy.Add(-btcaller.RefusalTimeout))
	n.finishCallers()
	n.await(func() bool { return n.pending() == 0 }, n.stopBy)
	n.log.Info().Str("event", "node.drained").Int("unfinished", n.local.Active()).Int("undelivered", n.server.Undelivered()).Send()
}

// callTime returns how long requests of any duration are admitted in the time to finish.
func (n *Node) callTime(finish time.Duration) time.Duration {
	if n.reloaded.Load().Limits.Grace() > 0 {
		return min(finish/callTimeDivisor, maxCallTime)
	}
	return finish / callTimeDivisor
}

// await returns when a condition holds or a time has come.
func (n *Node) await(holds func() bool, until time.Time) {
	for !holds() && time.Now().Before(until) {
		n.sleep(drainCheckPeriod)
	}
}

// pending returns the number of requests in flight, undelivered responses and calls to
// key partners.
func (n *Node) pending() int {
	return n.local.Active() + n.server.Undelivered() + int(n.resolving.Load())
}

// drainTerms returns the terms of a planned stop of this node. On a platform with a grace time
// they follow from it. The backend server beside the node may have ended before, so the service that
// the settings name counts as well as those of the targets. Without a contract for any of them the
// terms of the settings apply, or the defaults if they have none.
func (n *Node) drainTerms() baobabtide.DrainTerms {
	if settings := n.reloaded.Load(); settings.Limits.Grace() > 0 {
		return settings.DrainTerms()
	}
	terms := baobabtide.DrainTerms{Notice: defaultNotice, Finish: defaultFinish}
	if n.settings.Terms.Customer != "" {
		terms = n.settings.Terms.Drain
	}
	services := []string{n.origin()}
	for _, t := range n.registry.Targets() {
		services = append(services, t.Service)
	}
	return contractDrainTerms(n.config.State(), services, terms)
}

// contractDrainTerms returns the shortest notice and the longest time to finish in the
// contracts for the given services, or otherwise if there are none.
func contractDrainTerms(state *btconfig.State, services []string, otherwise baobabtide.DrainTerms) baobabtide.DrainTerms {
	terms, found := otherwise, false
	for customer := range state.Contracts {
		for _, service := range services {
			t, ok := state.Terms(customer, service)
			if !ok {
				continue
			}
			if !found {
				terms, found = t.Drain, true
			}
			terms.Notice = min(terms.Notice, t.Drain.Notice)
			terms.Finish = max(terms.Finish, t.Drain.Finish)
		}
	}
	return terms
}

// leave marks this node as left, announces that and its last counts of rollouts to the
// neighbors and closes all edges. The neighbors keep the targets for the next process, so
// no message of a backend server may be acknowledged after they have been sent.
func (n *Node) leave() {
	n.stopAnnounce()
	running := n.config.State().Running()
	for i := range running {
		n.sendCounts(btrollout.IDOf(&running[i]))
	}
	n.members.mu.Lock()
	delta := n.members.table.Leave(n.registry.Targets(), time.Now())
	n.members.mu.Unlock()
	n.sendToAll(&btpeer.Gossip{Members: delta.Members}, nil)
	n.sleep(leaveFlushTime)
	n.edges.closeAll()
}

// serverTLS returns the configuration of listeners for nodes and operators, or
// nil for plaintext.
func (n *Node) serverTLS() *tls.Config {
	if n.tls == nil {
		return nil
	}
	return n.tls.Server(true)
}

// callerTLS returns the configuration of the listener for callers, or nil for
// plaintext.
func (n *Node) callerTLS() *tls.Config {
	if n.tls == nil || !n.settings.TLS.Callers {
		return nil
	}
	return n.tls.Server(false)
}

// Admit implements baobabtide.Admitter.
func (n *Node) Admit(ctx context.Context, target string, incarnation uint64, req *baobabtide.Request) (*baobabtide.Response, error) {
	return n.local.Admit(ctx, target, incarnation, req)
}

// SettleLocal implements baobabtide.Admitter.
func (n *Node) SettleLocal(attempt string) baobabtide.Verdict { return n.local.SettleLocal(attempt) }
