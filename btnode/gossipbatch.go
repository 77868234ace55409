package btnode

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btrollout"
)

// batchDelay is the time for which changes of the membership and reports on rollouts wait for
// others to be sent in the same message. Each message costs far more processor time than its
// content: in a fleet of 83 nodes a rollout alone makes 500 of them a second and node without it.
const batchDelay = 50 * time.Millisecond

// maxBatch is the number of records from which a batch is sent without further delay.
const maxBatch = 256

// gossipBatch collects messages that may be sent together, in their order. The zero value is
// empty.
type gossipBatch struct {
	message btpeer.Gossip
	records int
}

// canWait reports whether a message holds only records that may be delayed.
func canWait(m *btpeer.Gossip) bool {
	rest := *m
	rest.Members, rest.Statuses, rest.Reports = nil, nil, nil
	return isEmpty(&rest) && len(m.Members)+len(m.Statuses)+len(m.Reports) > 0
}

// isEmpty reports whether no field of a message is set.
func isEmpty(m *btpeer.Gossip) bool {
	return m.Hello == nil && m.Heartbeat == nil && m.Members == nil && m.Statuses == nil && m.Digests == nil && m.Repair == nil &&
		m.Pull == nil && m.Links == nil && m.State == nil && m.Reports == nil && m.Trips == nil && m.Wanted == nil &&
		m.Outcomes == nil && m.Former == nil && m.Quarantine == nil && m.FormerDeparted == nil
}

// drop removes the records that another node has sent in the same or a later version: it needs
// them no more. Without that each record crosses an edge in both directions, as it reaches both
// ends in other ways while it waits.
func (b *gossipBatch) drop(m *btpeer.Gossip) {
	if b.records == 0 {
		return
	}
	b.message.Members = slices.DeleteFunc(b.message.Members, func(pending baobabtide.Member) bool {
		return slices.ContainsFunc(m.Members, func(received baobabtide.Member) bool {
			return received.Name == pending.Name && btmember.Covers(&received, &pending)
		})
	})
	b.message.Reports = slices.DeleteFunc(b.message.Reports, func(pending btrollout.Report) bool {
		return slices.ContainsFunc(m.Reports, func(received btrollout.Report) bool { return received.Covers(&pending) })
	})
	b.message.Statuses = slices.DeleteFunc(b.message.Statuses, func(pending btmember.StatusUpdate) bool {
		return slices.ContainsFunc(m.Statuses, func(received btmember.StatusUpdate) bool { return received.Covers(&pending) })
	})
	b.records = len(b.message.Members) + len(b.message.Reports) + len(b.message.Statuses)
}

// add adds the records of a message for which canWait is true. Records of a member that is in the
// batch already are joined; of a reporter only the later report is kept.
func (b *gossipBatch) add(m *btpeer.Gossip) {
	for i := range m.Members {
		b.addMember(m, i)
	}
	for i := range m.Reports {
		b.addReport(m, i)
	}
	b.message.Statuses = append(b.message.Statuses, m.Statuses...)
	b.records += len(m.Statuses)
}

func (b *gossipBatch) addMember(m *btpeer.Gossip, i int) {
	for j := range b.message.Members {
		if old := &b.message.Members[j]; old.Name == m.Members[i].Name {
			*old = btmember.Join(*old, m.Members[i])
			return
		}
	}
	b.message.Members = append(b.message.Members, m.Members[i])
	b.records++
}

func (b *gossipBatch) addReport(m *btpeer.Gossip, i int) {
	for j := range b.message.Reports {
		old := &b.message.Reports[j]
		if old.Covers(&m.Reports[i]) {
			return
		}
		if m.Reports[i].Covers(old) {
			*old = m.Reports[i]
			return
		}
	}
	b.message.Reports = append(b.message.Reports, m.Reports[i])
	b.records++
}

// take returns the message with all records, nil for an empty batch, and empties the batch.
func (b *gossipBatch) take() *btpeer.Gossip {
	if b.records == 0 {
		return nil
	}
	m := b.message
	*b = gossipBatch{}
	return &m
}

// send queues a message without blocking. Records that may wait are sent in batches, before any
// other message that follows them. If the queue is full, send closes the edge; the repair exchange
// on a later edge recovers the lost messages.
func (e *edge) send(m *btpeer.Gossip) {
	if !e.batches {
		e.enqueue(m)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !canWait(m) {
		e.flush()
		e.enqueue(m)
		return
	}
	first := e.batch.records == 0
	e.batch.add(m)
	switch {
	case e.batch.records >= maxBatch:
		e.flush()
	case first:
		time.AfterFunc(batchDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.flush()
		})
	}
}

// flush queues the batch if it holds records. The caller holds e.mu.
func (e *edge) flush() {
	if m := e.batch.take(); m != nil {
		e.enqueue(m)
	}
}

// dropPending removes the records from the batch that the other end has just sent.
func (e *edge) dropPending(m *btpeer.Gossip) {
	if !e.batches {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.drop(m)
}

func (e *edge) enqueue(m *btpeer.Gossip) {
	select {
	case e.queue <- m:
	default:
		e.cancel(fmt.Errorf("%w: queue is full", errEdgeClosed))
	}
}

// sendLoop writes the queued messages to the stream until the edge closes.
func (e *edge) sendLoop(conn *btpeer.GossipConn) {
	for {
		select {
		case <-e.ctx.Done():
			return
		case m := <-e.queue:
			if err := conn.Send(m); err != nil {
				e.cancel(err)
				return
			}
		}
	}
}
