package btnode

import (
	"fmt"

	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
)

// recordUnresponsive logs and counts a connection to another node that was given up. The
// label "heard" tells whether the node turned out to be alive.
func (n *Node) recordUnresponsive(c btpeer.UnresponsiveConn) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`baobabtide_peer_unresponsive_total{heard="%t"}`, c.HeardLater)).Inc()
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`baobabtide_peer_unresponsive_requests_total{heard="%t"}`, c.HeardLater)).Add(c.Requests)
	n.log.Info().Str("event", string(btlog.PeerUnresponsive)).Str("address", c.Address).Dur("silence-ms", c.Silence).
		Int("requests", c.Requests).Bool("reachable", c.Reachable).Bool("heard-later", c.HeardLater).Send()
}

// recordUnanswered counts a request whose caller got no complete response. It logs it
// unless the caller closed the connection, which many do when they no longer wait.
func (n *Node) recordUnanswered(u btcaller.Unanswered) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`baobabtide_requests_unanswered_total{reason=%q}`, u.Reason)).Inc()
	if u.Reason == btcaller.CallerClosed {
		n.callerClosed.Add(1)
		return
	}
	n.unanswered.Add(1)
	line := n.decisions.Request(btlog.RequestUnanswered, u.Request).Str("reason", string(u.Reason)).
		Dur("waited-ms", u.Waited).Bool("draining", u.Draining)
	btlog.AddError(line, "cause", u.Cause).Send()
}
