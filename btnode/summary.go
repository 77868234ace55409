package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide/btlog"
)

const summaryPeriod = 5 * time.Second // between log lines with request counts

// summaryLoop logs how many requests were served in each period, in place of one
// line per request, and how many lines the decision log dropped.
func (n *Node) summaryLoop() {
	var previous [5]int64
	for n.ctx.Err() == nil {
		n.sleep(summaryPeriod)
		c := &n.dispatch.Counters
		current := [...]int64{c.Requests.Load(), c.Answered.Load(), c.NotRun.Load(), c.MayHaveRun.Load(), c.Retries.Load()}
		if current != previous {
			n.log.Info().Str("event", string(btlog.RequestsServed)).Int64("asked", current[0]-previous[0]).Int64("answered", current[1]-previous[1]).
				Int64("not-run", current[2]-previous[2]).Int64("may-have-run", current[3]-previous[3]).Int64("retries", current[4]-previous[4]).
				Int("running", n.local.Active()).Uint64("config", uint64(n.inForce())).Send()
		}
		previous = current
		if dropped := n.decisions.Dropped(); dropped > 0 {
			n.linesDropped.Add(dropped)
			n.log.Info().Str("event", string(btlog.LinesDropped)).Int64("lines", dropped).Send()
		}
	}
}
