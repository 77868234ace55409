package btnode

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btlog"
)

// Open connections of the listeners other than those for callers and nodes.
const (
	maxAnnounceConns = 64
	maxOperatorConns = 64
	maxMetricsConns  = 128
)

// newClientBudget returns the budget for the memory that callers hold.
func (n *Node) newClientBudget() *btbudget.Budget {
	return btbudget.New(btbudget.ForMemory(btbudget.Memory(n.settings.Limits.Memory())))
}

// hasRoute reports whether a request of a caller has a route.
func (n *Node) hasRoute(req *baobabtide.Request) bool {
	table := n.routes.Load()
	return table.Configured() && table.Match(req.Customer, req.Host, req.Method, req.Target) != nil
}

// clientRefusals limits the lines about refused callers to one a second and reason.
type clientRefusals struct {
	mu    sync.Mutex
	lines map[btcaller.RefusalReason]*refusalLines
}

// refusalLines is the state of the lines for one reason.
type refusalLines struct {
	limit   rate.Sometimes
	skipped int // refusals since the last line
}

// recordClientRefusal counts a caller that was refused because of its behavior or for lack of
// memory, and logs it as an example of those since the last line.
func (n *Node) recordClientRefusal(r btcaller.ClientRefusal) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`baobabtide_client_refusals_total{reason=%q}`, r.Reason)).Inc()
	n.refusals.mu.Lock()
	defer n.refusals.mu.Unlock()
	if n.refusals.lines == nil {
		n.refusals.lines = make(map[btcaller.RefusalReason]*refusalLines)
	}
	lines := n.refusals.lines[r.Reason]
	if lines == nil {
		lines = &refusalLines{limit: rate.Sometimes{Interval: time.Second}}
		n.refusals.lines[r.Reason] = lines
	}
	lines.skipped++
	lines.limit.Do(func() {
		n.log.Warn().Str("event", string(btlog.ClientRefused)).Str("reason", string(r.Reason)).Int("count", lines.skipped).
			Str("remote", r.Remote.String()).Int64("held", r.Held).Dur("late-ms", r.Late).
			Int64("in-use", n.clientBudget.Used()).Int64("limit", n.clientBudget.Limit()).Send()
		lines.skipped = 0
	})
}

// addClientGauges registers the metrics of the memory that callers hold.
func (n *Node) addClientGauges() {
	n.metrics.NewGauge("baobabtide_client_memory_limit_bytes", func() float64 { return float64(n.clientBudget.Limit()) })
	for _, kind := range btbudget.Kinds() {
		n.metrics.NewGauge(fmt.Sprintf(`baobabtide_client_memory_bytes{kind=%q}`, kind), func() float64 {
			return float64(n.clientBudget.UsedFor(kind))
		})
	}
}

// bounded returns a function that serves a listener with a bounded number of open connections.
func (n *Node) bounded(name string, most int, serve func(net.Listener) error) func(net.Listener) error {
	return func(l net.Listener) error {
		listener := &btconn.BoundedListener{Listener: l, Most: most}
		n.metrics.NewGauge(fmt.Sprintf(`baobabtide_connections_replaced_total{listener=%q}`, name), func() float64 {
			return float64(listener.Replaced.Load())
		})
		return serve(listener)
	}
}
