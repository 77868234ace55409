package btnode

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
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
	after  btconfig.Position // of this node's configuration when it was sent
	sentAt time.Time

	waiting atomic.Bool // a pull from another zone is delayed, see remotePullDelay

	logged baobabtide.Offset // of this node's configuration when a request without an answer was last logged, plus 1
}

// begin records a request. It returns false if an earlier one is unanswered and was sent
// less than pullTimeout ago.
func (p *pulls) begin(e *edge, after btconfig.Position, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.edge != nil && now.Sub(p.sentAt) < pullTimeout {
		return false
	}
	p.edge, p.after, p.sentAt = e, after, now
	return true
}

// answered records an answer, after which this node's configuration is at a position. One that
// brought no later configuration does not count, so that it is not asked for again at once.
func (p *pulls) answered(own btconfig.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.after.Covers(own) {
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

// pullFrom pulls the configuration after a position from the node of an edge that has a later one.
// With a narrow link, an edge to another zone is used only if remotePullDelay brings nothing from
// this node's zone.
func (n *Node) pullFrom(e *edge, after btconfig.Position, now time.Time) {
	if !n.settings.Peer.HasNarrowLink() || after.Offset == 0 || n.isLocal(e.name) {
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

// pull requests the configuration after a position, unless an earlier pull is unanswered and
// was sent less than pullTimeout ago. A neighbor without later entries that has a later contract is
// asked for its whole configuration.
func (n *Node) pull(e *edge, after btconfig.Position, now time.Time) {
	if !n.pulls.begin(e, after, now) {
		return
	}
	e.send(&btpeer.Gossip{Pull: &btpeer.Pull{After: after.Offset, Whole: e.hasOnlyContracts(after)}})
	time.AfterFunc(pullTimeout, func() { n.submit(n.pullMissing) })
}

// pullMissing pulls the configuration from a neighbor that has a later one, if there is one:
// preferably not from the one that has not answered. It does nothing while an answer may come.
func (n *Node) pullMissing() {
	now, own := time.Now(), n.config.State().Position()
	asked, ok := n.pulls.overdue(now)
	if !ok {
		return
	}
	e := n.edges.ahead(own, asked, n.isLocal)
	if e == nil || n.ctx.Err() != nil {
		return
	}
	if asked != nil && n.pulls.logDue(own.Offset) {
		n.log.Warn().Str("event", string(btlog.PullUnanswered)).Str("member", asked.name).Uint64("offset", uint64(own.Offset)).Send()
	}
	n.pull(e, own, now)
}

// recordPosition records the position of the configuration of the node at the other end. A lower one
// that arrives later has no effect.
func (e *edge) recordPosition(position btconfig.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.position = e.position.Join(position)
}

// isAhead reports whether the node at the other end has a configuration after a position.
func (e *edge) isAhead(own btconfig.Position) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !own.Covers(e.position)
}

// hasOnlyContracts reports whether the node at the other end has later contracts than those of a position,
// and no later entries.
func (e *edge) hasOnlyContracts(own btconfig.Position) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.position.Revision > own.Revision && e.position.Offset <= own.Offset
}

// ahead returns an edge to a node that has a configuration after a position, nil if there is
// none, preferably to a local node. It returns the edge asked, or one that is doubted, only if
// there is no other.
func (s *edges) ahead(own btconfig.Position, asked *edge, isLocal func(name string) bool) *edge {
	var remote, last *edge
	for _, e := range s.all() {
		switch {
		case !e.isAhead(own):
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
