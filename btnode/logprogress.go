package btnode

import (
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
)

// logProgress is what this node's reads of the log have shown. Only readLoop changes it.
type logProgress struct {
	next    atomicOffset // of the log, as the last read returned it
	through atomicOffset // up to which the last page was complete: the log holds no record between the configuration and it
	readAt  atomic.Int64 // when the last successful read ended, Unix time in microseconds, 0 before the first
	stalled atomic.Int64 // successful reads that advanced nothing although the log holds later records
	stalls  bool         // the last read was one of these
}

// recordProgress logs when reads cease to advance this node although the log holds later
// records, and when they advance it again.
func (n *Node) recordProgress(page *baobabtide.Page, advanced bool) {
	p := &n.progress
	stalls := !advanced && n.recordsBehind() > 0
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
	position, next := n.readPosition(), n.progress.next.Load()
	if next <= position+1 {
		return 0
	}
	return float64(next - 1 - position)
}

// logReadAge returns the time since the last successful read of the log, 0 if there was none.
func (n *Node) logReadAge() time.Duration {
	at := n.progress.readAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.UnixMicro(at))
}
