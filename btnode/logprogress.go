package btnode

import (
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide/btfollow"
	"github.com/baobabtide/baobabtide/btlog"
)

// logProgress tells whether this node's reads of the log advance it. Only readLoop changes it.
type logProgress struct {
	stalled atomic.Int64 // successful reads that advanced nothing although the log holds later records
	stalls  bool         // the last read was one of these
}

// recordProgress logs when reads cease to advance this node although the log holds later
// records, and when they advance it again.
func (n *Node) recordProgress(reading *btfollow.Reading) {
	p, page := &n.progress, &reading.Page
	stalls := !reading.Advanced && n.recordsBehind() > 0
	if stalls {
		p.stalled.Add(1)
	}
	if stalls == p.stalls {
		return
	}
	p.stalls = stalls
	line, event := n.log.Info(), btlog.ConfigResumed
	if stalls {
		line, event = n.log.Error(), btlog.ConfigStalled
	}
	line.Str("event", string(event)).Uint64("offset", uint64(n.config.State().Offset)).Uint64("next", uint64(page.Next)).Int("entries", len(page.Entries))
	if len(page.Entries) > 0 {
		line.Uint64("first", uint64(page.Entries[0].Offset)).Uint64("last", uint64(page.Entries[len(page.Entries)-1].Offset))
	}
	line.Send()
}

// recordsBehind returns the number of offsets between what this node has read and the end of the
// log as it read it last, 0 if it has not read the log.
func (n *Node) recordsBehind() float64 {
	position, next := n.follower.Position(), n.follower.Next()
	if next <= position+1 {
		return 0
	}
	return float64(next - 1 - position)
}

// logReadAge returns the time since the last successful read of the log, 0 if there was none.
func (n *Node) logReadAge() time.Duration {
	at := n.follower.ReadAt()
	if at.IsZero() {
		return 0
	}
	return time.Since(at)
}
