package btnode

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	drainNotice  = time.Second // other nodes learn in this time that no new work goes here
	drainFinish  = 20 * time.Second
	drainCheck   = 20 * time.Millisecond
	farewellTime = 200 * time.Millisecond // for the last messages to leave
)

// Drain implements btpeer.Node. The stop goes on in the background: the node
// announces it, goes on admitting for a short notice, then refuses new work,
// waits for the requests under way and leaves.
func (n *Node) Drain(reason string) int {
	n.stopOnce.Do(func() {
		n.log.Info().Str("event", "node.draining").Str("reason", reason).Send()
		n.draining.Store(true)
		n.announceTargets()
		n.wg.Go(n.finishDrain)
	})
	return n.local.Active()
}

func (n *Node) finishDrain() {
	defer close(n.drained)
	n.callers.Leave()
	n.sleep(drainNotice)
	n.local.Drain()
	deadline := time.Now().Add(drainFinish)
	for n.local.Active() > 0 && time.Now().Before(deadline) {
		n.sleep(drainCheck)
	}
	n.log.Info().Str("event", "node.drained").Int("unfinished", n.local.Active()).Send()
}

// leave tells the neighbors that the node is gone for good.
func (n *Node) leave() {
	n.members.mu.Lock()
	delta := n.members.table.Leave(time.Now())
	n.members.mu.Unlock()
	n.spreadMessage(&btpeer.Gossip{Members: delta.Members}, nil)
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
