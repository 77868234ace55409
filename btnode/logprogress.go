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
	readAt  atomic.Int64 // when the last successful read ended, Unix time in microseconds, 0 before the first
	stalled atomic.Int64 // reads that returned records beyond the configuration of which none could be applied
	stalls  bool         // the last read was one of these
}

// recordRead records a successful read, and logs when reads cease to advance the configuration
// although the log holds later records, and when they advance it again.
func (n *Node) recordRead(page *baobabtide.Page, advanced bool) {
	p := &n.progress
	p.next.Store(page.Next)
	p.readAt.Store(time.Now().UnixMicro())
	offset := n.config.State().Offset
	stalls := !advanced && len(page.Entries) > 0 && page.Entries[len(page.Entries)-1].Offset > offset
	if stalls {
		p.stalled.Add(1)
	}
	if stalls == p.stalls {
		return
	}
	p.stalls = stalls
	if !stalls {
		n.log.Info().Str("event", string(btlog.ConfigResumed)).Uint64("offset", uint64(offset)).Uint64("next", uint64(page.Next)).Send()
		return
	}
	n.log.Error().Str("event", string(btlog.ConfigStalled)).Uint64("offset", uint64(offset)).Uint64("next", uint64(page.Next)).
		Int("entries", len(page.Entries)).Uint64("first", uint64(page.Entries[0].Offset)).Uint64("last", uint64(page.Entries[len(page.Entries)-1].Offset)).Send()
}

// recordsBehind returns the number of offsets between the configuration and the end of the log
// that this node read last, 0 if it has not read the log.
func (n *Node) recordsBehind() float64 {
	offset, next := n.config.State().Offset, n.progress.next.Load()
	if next <= offset+1 {
		return 0
	}
	return float64(next - 1 - offset)
}

// logReadAge returns the time since the last successful read of the log, 0 if there was none.
func (n *Node) logReadAge() time.Duration {
	at := n.progress.readAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.UnixMicro(at))
}
