package btnode

import (
	"time"

	"github.com/baobabtide/baobabtide/btpeer"
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

// add adds the records of a message for which canWait is true. Of a member or a reporter that is
// in the batch already, only the later record is kept.
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
			*old = m.Members[i]
			return
		}
	}
	b.message.Members = append(b.message.Members, m.Members[i])
	b.records++
}

func (b *gossipBatch) addReport(m *btpeer.Gossip, i int) {
	for j := range b.message.Reports {
		old := &b.message.Reports[j]
		if old.Rollout == m.Reports[i].Rollout && old.Node == m.Reports[i].Node && old.Incarnation == m.Reports[i].Incarnation {
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

// sendLoop writes the queued messages to the stream until the edge closes. With batches, records
// that may wait are sent together, before any other message that follows them.
func (e *edge) sendLoop(conn *btpeer.GossipConn, batches bool) {
	var batch gossipBatch
	timer := time.NewTimer(batchDelay)
	timer.Stop()
	defer timer.Stop()
	for {
		var due []*btpeer.Gossip
		select {
		case <-e.ctx.Done():
			return
		case <-timer.C:
			due = append(due, batch.take())
		case m := <-e.queue:
			if batches && canWait(m) {
				if batch.records == 0 {
					timer.Reset(batchDelay)
				}
				batch.add(m)
				if batch.records < maxBatch {
					continue
				}
				m = nil
			}
			timer.Stop()
			due = append(due, batch.take(), m)
		}
		for _, m := range due {
			if m == nil {
				continue
			}
			if err := conn.Send(m); err != nil {
				e.cancel(err)
				return
			}
		}
	}
}
