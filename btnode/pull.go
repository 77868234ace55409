package btnode

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	pullTimeout = 500 * time.Millisecond // after which an unanswered pull is sent to another neighbor, or again

	// remotePullDelay is the time that a node with a narrow link waits for a later configuration
	// from its own zone before it pulls it from another one. The readers of each zone get it from
	// the log at about the same time.
	remotePullDelay = 200 * time.Millisecond
)

// pulls holds the latest request for a later configuration while it is unanswered. The zero
// value is ready to use.
type pulls struct {
	mu     sync.Mutex
	edge   *edge             // that the request was sent on, nil if none is unanswered
	after  baobabtide.Offset // of this node's configuration when it was sent
	sentAt time.Time

	waiting atomic.Bool // a pull from another zone is delayed, see remotePullDelay

	logged baobabtide.Offset // of this node's configuration when a request without an answer was last logged, plus 1
}

// begin records a request. It returns false if an earlier one is unanswered and was sent
// less than pullTimeout ago.
func (p *pulls) begin(e *edge, after baobabtide.Offset, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.edge != nil && now.Sub(p.sentAt) < pullTimeout {
		return false
	}
	p.edge, p.after, p.sentAt = e, after, now
	return true
}

// answered records an answer, after which this node's configuration is at an offset. One that
// brought no later configuration does not count, so that it is not asked for again at once.
func (p *pulls) answered(offset baobabtide.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if offset > p.after {
		p.edge = nil
	}
}

// closed records that an edge is closed, and reports whether a request on it is unanswered.
func (p *pulls) closed(e *edge) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.edge != e {
		return false
	}
	p.edge = nil
	return true
}

// overdue returns the edge of the request if it was sent pullTimeout ago, nil if none is
// unanswered. It returns false while an answer may come.
func (p *pulls) overdue(now time.Time) (*edge, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge, p.edge == nil || now.Sub(p.sentAt) >= pullTimeout
}

// logDue reports whether a request without an answer is to be logged: once while this node's
// configuration stays at an offset.
func (p *pulls) logDue(offset baobabtide.Offset) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.logged != offset+1
	p.logged = offset + 1
	return due
}

// pullFrom pulls the configuration after an offset from the node of an edge that has a later one.
// With a narrow link, an edge to another zone is used only if remotePullDelay brings nothing from
// this node's zone.
func (n *Node) pullFrom(e *edge, after baobabtide.Offset, now time.Time) {
	if !n.settings.Peer.HasNarrowLink() || after == 0 || n.isLocal(e.name) {
		n.pull(e, after, now)
		return
	}
	if !n.pulls.waiting.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(remotePullDelay, func() {
		n.pulls.waiting.Store(false)
		n.submit(n.pullMissing)
	})
}

// isLocal reports whether a member is in this node's zone.
func (n *Node) isLocal(name string) bool {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	members := n.members.table.Lookup([]string{name})
	return len(members) == 1 && members[0].Zone == n.locality.Zone
}

// pull requests the configuration after an offset, unless an earlier pull is unanswered and
// was sent less than pullTimeout ago.
func (n *Node) pull(e *edge, after baobabtide.Offset, now time.Time) {
	if !n.pulls.begin(e, after, now) {
		return
	}
	e.send(&btpeer.Gossip{Pull: &btpeer.Pull{After: after}})
	time.AfterFunc(pullTimeout, func() { n.submit(n.pullMissing) })
}

// pullMissing pulls the configuration from a neighbor that has a later one, if there is one:
// preferably not from the one that has not answered. It does nothing while an answer may come.
func (n *Node) pullMissing() {
	now, own := time.Now(), n.config.State().Offset
	asked, ok := n.pulls.overdue(now)
	if !ok {
		return
	}
	e := n.edges.ahead(own, asked, n.isLocal)
	if e == nil || n.ctx.Err() != nil {
		return
	}
	if asked != nil && n.pulls.logDue(own) {
		n.log.Warn().Str("event", string(btlog.PullUnanswered)).Str("member", asked.name).Uint64("offset", uint64(own)).Send()
	}
	n.pull(e, own, now)
}

// recordOffset records the configuration offset of the node at the other end. A lower one that
// arrives later has no effect.
func (e *edge) recordOffset(offset baobabtide.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offset = max(e.offset, offset)
}

// isAhead reports whether the node at the other end has a configuration after an offset.
func (e *edge) isAhead(offset baobabtide.Offset) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.offset > offset
}

// ahead returns an edge to a node that has a configuration after an offset, nil if there is
// none, preferably to a local node. It returns the edge asked, or one that is doubted, only if
// there is no other.
func (s *edges) ahead(offset baobabtide.Offset, asked *edge, isLocal func(name string) bool) *edge {
	var remote, last *edge
	for _, e := range s.all() {
		switch {
		case !e.isAhead(offset):
		case e == asked || e.isDoubted():
			last = e
		case isLocal(e.name):
			return e
		default:
			remote = e
		}
	}
	if remote != nil {
		return remote
	}
	return last
}
