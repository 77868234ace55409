package btnode

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
)

const (
	joinGrace      = 2 * time.Second        // minimum uptime before a node without an edge may read the log
	readInterval   = 500 * time.Millisecond // between the ends of the waits of two readers, so that a change which wakes no waiting read is found soon
	minWaitDivisor = 4                      // a wait of less than 1/4 of readInterval is extended by a reader's period
)

// readDuty is this node's part in reading the log.
type readDuty struct {
	slot    atomic.Int64 // position of this node among the readers of all zones
	readers atomic.Int64 // of all zones
	changed broadcast    // signaled when this node becomes a reader or ceases to be one
}

// updateReadDuty determines from the membership whether this node reads the log. A node that is cut off
// from most others reads it too: the readers may not be able to pass a change on to it, and it takes
// seconds until failure detection has found that out of all of them. So does a node beside others of an earlier
// version, if these can't read on.
func (n *Node) updateReadDuty(now time.Time) {
	n.members.mu.Lock() // also for the result, so that the latest membership determines it
	readers := n.members.table.LogReaders(n.settings.Platform.ReadersPerZone)
	slot := slices.Index(readers, n.locality.Node)
	n.duty.slot.Store(int64(max(slot, 0)))
	n.duty.readers.Store(int64(len(readers)))
	cutOff := n.cutOff.Load()
	reader := (slot >= 0 || cutOff || n.hasOutdatedNeighbor()) && n.mayReadLog(now)
	changed := n.reader.Swap(reader) != reader
	n.members.mu.Unlock()
	if !changed {
		return
	}
	n.log.Info().Str("event", string(btlog.LogReader)).Bool("reader", reader).Bool("cut-off", cutOff).Int("readers", len(readers)).Send()
	n.duty.changed.signal()
}

// isCutOff reports whether no message has arrived lately from more than half of the neighbors and of the
// other nodes that this one has edges to. A node that starts has no edges yet.
func (n *Node) isCutOff(now time.Time) bool {
	if now.Sub(n.started) < joinGrace {
		return false
	}
	n.members.mu.Lock()
	neighbors := n.members.table.Neighbors()
	n.members.mu.Unlock()
	heard := n.edges.heardSince(now.Add(-n.doubtLimit()))
	silent := 0
	for _, isHeard := range heard {
		if !isHeard {
			silent++
		}
	}
	others := len(heard)
	for _, m := range neighbors {
		if _, hasEdge := heard[m.Name]; !hasEdge {
			silent++
			others++
		}
	}
	return silent > others/2
}

// hasOutdatedNeighbor reports whether a neighbor runs an earlier version, which knows no epochs of the log
// and so finds no record after a configuration of a later one. It sends no revision of its configuration.
func (n *Node) hasOutdatedNeighbor() bool {
	own := n.config.State().Position()
	if own.Offset.Epoch() == 0 || own.Revision == 0 {
		return false
	}
	return slices.ContainsFunc(n.edges.all(), (*edge).isOutdated)
}

// isOutdated reports whether the node at the other end has a configuration and sends no revision.
func (e *edge) isOutdated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.position.Offset > 0 && e.position.Revision == 0
}

// mayAffectReaders reports whether a change of these members may change the readers of this
// node's zone.
func (n *Node) mayAffectReaders(members []baobabtide.Member) bool {
	return slices.ContainsFunc(members, func(m baobabtide.Member) bool { return m.Zone == n.locality.Zone })
}

// mayReadLog reports whether this node may read the log: it has no seeds, it has an
// edge, or it has been up for longer than joinGrace plus jitter. The delay keeps nodes
// that start together and don't know each other yet from all reading the log.
func (n *Node) mayReadLog(now time.Time) bool {
	return len(n.settings.Peer.Seeds) == 0 || n.edges.count() > 0 || now.Sub(n.started) > joinGrace+n.jitter()
}

// readWait returns how long a read that begins now waits for new records. The readers' waits end
// by turns, readInterval apart, unless that takes longer than longest. They go by the time of
// day: a node whose clock differs only takes its turn at another moment.
func readWait(now time.Time, slot, readers int64, longest time.Duration) time.Duration {
	readers = max(readers, 1)
	period := min(readInterval*time.Duration(readers), longest-longest/minWaitDivisor)
	end := period * time.Duration(slot) / time.Duration(readers)
	wait := now.Add(-end).Truncate(period).Add(end + period).Sub(now)
	if wait < min(period, readInterval)/minWaitDivisor {
		wait += period
	}
	return wait
}
