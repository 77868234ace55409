package btnode

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	defaultNotice = time.Second      // other nodes learn in this time that no new work goes here
	defaultFinish = 20 * time.Second // for requests under way, where no contract says more

	drainCheck   = 20 * time.Millisecond
	announceTime = 50 * time.Millisecond  // for the other nodes to hear that the node refuses work
	farewellTime = 100 * time.Millisecond // for the last messages to leave
)

// Drain implements btpeer.Node. The stop goes on in the background: the node is
// not ready any more and serves on for a short notice, in which callers go
// elsewhere; the backend server beside it gets work all the while. Then it
// tells the other nodes, refuses new work, waits for the requests under way and
// leaves.
func (n *Node) Drain(reason string) int {
	n.stopOnce.Do(func() {
		n.log.Info().Str("event", "node.draining").Str("reason", reason).Send()
		n.draining.Store(true)
		n.wg.Go(n.finishDrain)
	})
	return n.local.Active()
}

func (n *Node) finishDrain() {
	defer close(n.drained)
	terms := drainTerms(n.config.State(), n.registry.Targets())
	deadline := time.Now().Add(terms.Notice + terms.Finish)
	n.callers.StartDraining()
	n.sleep(terms.Notice)
	n.stopCallers()
	n.refusing.Store(true)
	n.announceTargets()
	n.sleep(announceTime)
	n.local.Drain()
	for n.local.Active() > 0 && time.Now().Before(deadline) {
		n.sleep(drainCheck)
	}
	n.log.Info().Str("event", "node.drained").Int("unfinished", n.local.Active()).Send()
}

// drainTerms returns the shortest notice and the longest time to finish that the
// contracts give to the services of some targets.
func drainTerms(state *btconfig.State, targets []baobabtide.Target) baobabtide.DrainTerms {
	terms := baobabtide.DrainTerms{Notice: defaultNotice, Finish: defaultFinish}
	found := false
	for customer := range state.Contracts {
		for i := range targets {
			t, ok := state.Terms(customer, targets[i].Service)
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

// leave tells the neighbors that the node is gone for good.
func (n *Node) leave() {
	n.members.mu.Lock()
	delta := n.members.table.Leave(n.registry.Targets(), time.Now())
	n.members.mu.Unlock()
	n.sendToAll(&btpeer.Gossip{Members: delta.Members}, nil)
	n.sleep(farewellTime)
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
