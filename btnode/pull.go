package btnode

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btpeer"
)

const pullTimeout = 500 * time.Millisecond // after which an unanswered pull is sent to another neighbor, or again

// pulls holds the latest request for a later configuration while it is unanswered. The zero
// value is ready to use.
type pulls struct {
	mu     sync.Mutex
	edge   *edge             // that the request was sent on, nil if none is unanswered
	after  baobabtide.Offset // of this node's configuration when it was sent
	sentAt time.Time

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
	e := n.edges.ahead(own, asked)
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
// none. It returns the edge asked, or one that is doubted, only if there is no other.
func (s *edges) ahead(offset baobabtide.Offset, asked *edge) *edge {
	var last *edge
	for _, e := range s.all() {
		if !e.isAhead(offset) {
			continue
		}
		if e != asked && !e.isDoubted() {
			return e
		}
		last = e
	}
	return last
}
