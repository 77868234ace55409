package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide/btdispatch"
	"github.com/baobabtide/baobabtide/btlog"
)

const summaryPeriod = 5 * time.Second // between log lines with request counts

// servedCounts holds the values of the counters of requests at one time.
type servedCounts struct {
	asked, answered, notRun, mayHaveRun, retries, moves int64
	failedLost, movesLost, retriesLost, unknownKeys     int64
}

func loadServedCounts(c *btdispatch.Counters) servedCounts {
	return servedCounts{
		asked: c.Requests.Load(), answered: c.Answered.Load(), notRun: c.NotRun.Load(), mayHaveRun: c.MayHaveRun.Load(),
		retries: c.Retries.Load(), moves: c.Moves.Load(),
		failedLost: c.FailedLost.Load(), movesLost: c.MovesLost.Load(), retriesLost: c.RetriesLost.Load(),
		unknownKeys: c.UnknownKeys.Load(),
	}
}

// summaryLoop logs how many requests were served in each period, in place of one
// line per request, and how many lines the decision log dropped.
func (n *Node) summaryLoop() {
	var previous servedCounts
	for n.ctx.Err() == nil {
		n.sleep(summaryPeriod)
		previous = n.logServed(previous)
		if dropped := n.decisions.Dropped(); dropped > 0 {
			n.linesDropped.Add(dropped)
			n.log.Info().Str("event", string(btlog.LinesDropped)).Int64("lines", dropped).Send()
		}
	}
}

// logServed logs how many requests were served since the previous counts, unless none
// were, and returns the present counts.
func (n *Node) logServed(previous servedCounts) servedCounts {
	now := loadServedCounts(&n.dispatch.Counters)
	if now != previous {
		line := n.log.Info().Str("event", string(btlog.RequestsServed)).Int64("asked", now.asked-previous.asked).Int64("answered", now.answered-previous.answered).
			Int64("not-run", now.notRun-previous.notRun).Int64("may-have-run", now.mayHaveRun-previous.mayHaveRun).
			Int64("failed-lost", now.failedLost-previous.failedLost).
			Int64("moves", now.moves-previous.moves).Int64("moves-lost", now.movesLost-previous.movesLost).
			Int64("retries", now.retries-previous.retries).Int64("retries-lost", now.retriesLost-previous.retriesLost).
			Int("running", n.local.Active()).Uint64("config", uint64(n.inForce()))
		if unknown := now.unknownKeys - previous.unknownKeys; unknown > 0 {
			line = line.Int64("unknown-key", unknown)
		}
		line.Send()
	}
	return now
}
