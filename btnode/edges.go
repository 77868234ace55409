package btnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpanic"
	"github.com/baobabtide/baobabtide/btpeer"
)

const (
	edgeQueueSize       = 256              // messages waiting to be sent on one edge
	dialTimeout         = 2 * time.Second  // limit for opening a gossip connection and exchanging hello messages
	helloTimeout        = 2 * time.Second  // limit for the first message from the other end
	nonNeighborLifetime = 10 * time.Second // minimum lifetime of an outgoing edge to a node that is not a neighbor; a random part of up to the same length is added
	silenceNumerator    = 5                // an edge is doubted after 5/8 of the silence limit, to be replaced before its node is accused
	silenceDenominator  = 8
	maxSilenceFactor    = 2                      // a doubted edge without a replacement is closed after this multiple of the silence limit
	narrowHelloMembers  = 16                     // the same on a narrow link, where the repair exchange sends what the other end lacks
	maxHelloMembers     = 64                     // largest number of live members at which a hello message lists all members, about 200 bytes each
	redialPause         = 500 * time.Millisecond // after which an address may be dialed again while an earlier dial is in progress
)

var (
	errEdgeClosed = errors.New("edge closed")
	errPanicked   = errors.New("a message has caused a panic")
)

// edge is an established gossip connection. After the hello message only
// sendLoop writes to the stream.
type edge struct {
	name     string // node at the other end
	outgoing bool   // this node opened it
	opened   time.Time
	lifetime time.Duration // after which an outgoing edge to a node that is not a neighbor is closed
	queue    chan *btpeer.Gossip
	ctx      context.Context
	cancel   context.CancelCauseFunc
	batches  bool // see gossipBatch

	mu            sync.Mutex
	batch         gossipBatch
	position      btconfig.Position // of the configuration, the highest received
	lastReceived  time.Time         // when the last message arrived
	doubted       bool              // no message has arrived for long; the link may be full or the connection dead
	mismatchSeen  bool              // a difference of the membership digests has been found on this edge
	mismatchSince time.Time         // since when the membership digests differ, zero if they are equal
}

// received records a message. It ends the doubt.
func (e *edge) received(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReceived, e.doubted = now, false
}

// doubt marks the edge as doubted and reports whether it was not.
func (e *edge) doubt() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !e.doubted
	e.doubted = true
	return first
}

func (e *edge) isDoubted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.doubted
}

// edges is the set of gossip connections with its lock.
type edges struct {
	mu      sync.Mutex
	set     map[*edge]struct{}
	closed  bool                 // the node has left
	dialing map[string]time.Time // start of the latest dial of each address that is being dialed
}

// add adds an edge. After closeAll it closes the edge.
func (s *edges) add(e *edge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		e.cancel(errEdgeClosed)
	}
	if s.set == nil {
		s.set = make(map[*edge]struct{})
	}
	s.set[e] = struct{}{}
}

// remove deletes an edge and reports whether no other edge to its node remains.
func (s *edges) remove(e *edge) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, e)
	for other := range s.set {
		if other.name == e.name {
			return false
		}
	}
	return true
}

func (s *edges) all() []*edge {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*edge, 0, len(s.set))
	for e := range s.set {
		all = append(all, e)
	}
	return all
}

func (s *edges) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.set)
}

// heardSince returns, by the names of the nodes that this node has an edge to, whether a message has
// arrived on one of these edges since a time.
func (s *edges) heardSince(since time.Time) map[string]bool {
	heard := make(map[string]bool)
	for _, e := range s.all() {
		e.mu.Lock()
		heard[e.name] = heard[e.name] || !e.lastReceived.Before(since)
		e.mu.Unlock()
	}
	return heard
}

// names returns the names of the nodes that this node has an edge to.
func (s *edges) names() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool, len(s.set))
	for e := range s.set {
		names[e.name] = true
	}
	return names
}

// connected reports whether there is an edge to the named node that is not doubted.
func (s *edges) connected(name string) bool {
	for _, e := range s.all() {
		if e.name == name && !e.isDoubted() {
			return true
		}
	}
	return false
}

// replaced reports whether this node has opened another edge to the node of an edge that
// it opened before.
func (s *edges) replaced(old *edge) bool {
	for _, e := range s.all() {
		if e.name == old.name && e.outgoing && old.outgoing && e.opened.After(old.opened) && !e.isDoubted() {
			return true
		}
	}
	return false
}

// beginDial records that a dial of an address starts now. It returns false if a
// dial of the address is in progress that started less than redialPause ago.
func (s *edges) beginDial(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialing == nil {
		s.dialing = make(map[string]time.Time)
	}
	if at, ok := s.dialing[address]; ok && now.Sub(at) < redialPause {
		return false
	}
	s.dialing[address] = now
	return true
}

// endDial records that no dial of an address is in progress.
func (s *edges) endDial(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dialing, address)
}

// closeAll closes all edges and those that are added later.
func (s *edges) closeAll() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, e := range s.all() {
		e.cancel(errEdgeClosed)
	}
}

// sendToAll queues a message on all edges other than except, which may be nil.
func (n *Node) sendToAll(m *btpeer.Gossip, except *edge) {
	for _, e := range n.edges.all() {
		if e != except {
			e.send(m)
		}
	}
}

// tickEdges dials the neighbors that have no edge or only doubted ones, one failed or
// recently left member, and seeds. On the open edges it sends the heartbeats that are due
// and closes those that are silent or no longer needed.
func (n *Node) tickEdges(now time.Time) {
	connected := n.edges.names()
	n.members.mu.Lock()
	neighbors := n.members.table.Neighbors()
	n.members.table.UnwatchExcept(func(name string) bool { return connected[name] || isNeighbor(neighbors, name) })
	rejoin, rejoining := n.members.table.RejoinCandidate(now)
	digest := n.members.table.Digest()
	n.members.mu.Unlock()
	for _, m := range neighbors {
		if !n.edges.connected(m.Name) {
			n.dial(m.Name, m.PeerAddress, now)
		}
	}
	if rejoining {
		n.dial(rejoin.Name, rejoin.PeerAddress, now)
	}
	n.dialSeeds(now)
	beat := &btpeer.Gossip{Heartbeat: heartbeat(n.config.State(), digest)}
	for _, e := range n.edges.all() {
		n.tickEdge(e, neighbors, beat, now)
	}
}

// doubtLimit returns how long an edge may be silent before it is doubted.
func (n *Node) doubtLimit() time.Duration {
	return n.settings.Peer.SilenceLimit * silenceNumerator / silenceDenominator
}

func isNeighbor(neighbors []baobabtide.Member, name string) bool {
	return slices.ContainsFunc(neighbors, func(m baobabtide.Member) bool { return m.Name == name })
}

// tickEdge closes an edge that is silent or no longer needed, and otherwise sends
// the heartbeat on it if one is due. A silent edge to a neighbor is replaced before it is
// closed: on a full link messages arrive late, and no new edge can be opened.
func (n *Node) tickEdge(e *edge, neighbors []baobabtide.Member, heartbeat *btpeer.Gossip, now time.Time) {
	e.mu.Lock()
	silence := now.Sub(e.lastReceived)
	e.mu.Unlock()
	if silence > n.settings.Peer.SilenceLimit*maxSilenceFactor {
		e.cancel(fmt.Errorf("%w: silent for %s", errEdgeClosed, silence))
		return
	}
	if n.edges.replaced(e) {
		e.cancel(fmt.Errorf("%w: replaced, silent for %s", errEdgeClosed, silence))
		return
	}
	if silence > n.doubtLimit() && e.doubt() && !n.edges.connected(e.name) {
		n.members.mu.Lock()
		n.members.table.Unwatch(e.name) // an attempt to replace the edge watches it again
		n.members.mu.Unlock()
	}
	if e.outgoing && !isNeighbor(neighbors, e.name) && now.Sub(e.opened) > e.lifetime {
		e.cancel(fmt.Errorf("%w: no longer a neighbor", errEdgeClosed))
		return
	}
	if e.outgoing && heartbeatDue(now.Sub(n.started), n.settings.Peer.Heartbeat) {
		e.send(heartbeat)
	}
}

// heartbeatDue reports whether the node that opened an edge sends a heartbeat at
// this tick. All edges are due at the same tick and the other ends respond
// immediately, because most of the cost of a heartbeat is waking the process.
func heartbeatDue(uptime, period time.Duration) bool {
	return uptime/period != (uptime-tickPeriod)/period
}

// dialSeeds opens edges to the seeds that are due and are not live members.
func (n *Node) dialSeeds(now time.Time) {
	n.members.mu.Lock()
	live := n.members.table.LiveAddresses()
	n.members.mu.Unlock()
	for _, address := range n.seeds.Due(now, len(live) < minJoinedMembers, func(address string) bool { return live[address] }) {
		n.dial("", address, now)
	}
}

// dial opens an edge in the background unless beginDial refuses. The name is empty
// for a seed. If a named node can't be reached, dial calls handleUnreachable.
func (n *Node) dial(name, address string, now time.Time) {
	if !n.edges.beginDial(address, now) {
		return
	}
	n.wg.Go(func() {
		err := n.runOutgoing(name, address)
		n.edges.endDial(address)
		if err != nil && name != "" && n.ctx.Err() == nil {
			n.handleUnreachable(name, err)
		}
	})
}

// handleUnreachable records in the membership that a node could not be reached,
// and disseminates the accusation that may result.
func (n *Node) handleUnreachable(name string, cause error) {
	refused := btpeer.IsConnRefused(cause)
	n.members.mu.Lock()
	delta := n.members.table.ReportUnreachable(name, refused, time.Now())
	n.members.mu.Unlock()
	if !delta.Empty() {
		n.log.Info().Str("event", "member.accused").Str("member", name).Err(cause).Send()
	}
	n.disseminate(delta, nil)
}

// runOutgoing opens an edge and serves it until it closes. It returns an error if
// the connection can't be opened, the exchange of hello messages fails, or the
// node at the address does not have the given name. An empty name accepts any.
func (n *Node) runOutgoing(name, address string) error {
	ctx, cancel := context.WithCancelCause(n.ctx)
	defer cancel(errEdgeClosed)
	timer := time.AfterFunc(dialTimeout, func() { cancel(context.DeadlineExceeded) })
	conn, closeConn, err := n.peers.Gossip(ctx, address)
	if err != nil {
		return err
	}
	defer closeConn()
	if err := conn.Send(n.hello()); err != nil {
		return fmt.Errorf("send hello to node at %s: %w", address, err)
	}
	first, err := conn.Recv()
	if err != nil {
		return fmt.Errorf("receive hello from node at %s: %w", address, err)
	}
	timer.Stop()
	if first.Hello == nil || first.Hello.Node == "" || name != "" && first.Hello.Node != name {
		return fmt.Errorf("node at %s did not send a hello message as node %q", address, name)
	}
	n.edges.endDial(address)
	n.runEdge(&edge{name: first.Hello.Node, outgoing: true, ctx: ctx, cancel: cancel}, conn, first)
	return nil
}

// hello returns the first message of an edge. With few live
// members it lists all members, so that groups of nodes that start at the same
// time merge as soon as one edge connects them.
func (n *Node) hello() *btpeer.Gossip {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	members := []baobabtide.Member{n.members.table.Self()}
	live := n.members.table.Live()
	most := maxHelloMembers
	if n.settings.Peer.HasNarrowLink() {
		most = narrowHelloMembers
	}
	if live <= most {
		members = n.members.table.Members()
	}
	return &btpeer.Gossip{
		Hello:     &btpeer.Hello{Node: n.locality.Node, Live: live},
		Heartbeat: heartbeat(n.config.State(), n.members.table.Digest()),
		Members:   members,
	}
}

// Gossip implements btpeer.Node. It serves an edge that another node has opened
// until it closes, and fails if the exchange of hello messages fails.
func (n *Node) Gossip(conn *btpeer.GossipConn) error {
	ctx, cancel := context.WithCancelCause(conn.Context())
	defer cancel(errEdgeClosed)
	stop := context.AfterFunc(n.ctx, func() { cancel(errEdgeClosed) })
	defer stop()
	if err := conn.Send(n.hello()); err != nil {
		return fmt.Errorf("send hello to connecting node: %w", err)
	}
	first, err := conn.Recv()
	if err != nil {
		return fmt.Errorf("receive hello from connecting node: %w", err)
	}
	if first.Hello == nil || first.Hello.Node == "" {
		return errors.New("the first message of the connecting node does not name it")
	}
	n.runEdge(&edge{name: first.Hello.Node, ctx: ctx, cancel: cancel}, conn, first)
	return nil
}

// runEdge registers an edge, sends the known reports and outcomes of rollouts on
// it, and serves it until its context ends.
func (n *Node) runEdge(e *edge, conn *btpeer.GossipConn, first *btpeer.Gossip) {
	now := time.Now()
	e.opened, e.lastReceived = now, now
	e.lifetime = nonNeighborLifetime + rand.N(nonNeighborLifetime)
	e.queue = make(chan *btpeer.Gossip, edgeQueueSize)
	e.batches = n.settings.Peer.HasNarrowLink()
	n.edges.add(e)
	n.members.mu.Lock()
	n.members.table.Watch(e.name, now)
	n.members.mu.Unlock()
	n.sendKnown(e)
	go e.sendLoop(conn)
	go n.receiveLoop(e, conn, first)
	<-e.ctx.Done()
	n.removeEdge(e)
	n.log.Debug().Str("event", "edge.closed").Str("member", e.name).AnErr("cause", context.Cause(e.ctx)).Send()
}

// sendKnown sends what the node at the other end of a new edge may lack, but for members and the
// configuration.
func (n *Node) sendKnown(e *edge) {
	n.sendReports(e)
	n.sendQuarantine(e)
	if outcomes := n.config.State().Outcomes; len(outcomes) > 0 {
		e.send(&btpeer.Gossip{Outcomes: outcomes})
	}
}

// removeEdge removes a closed edge. If it is the last one to its node, no messages are
// expected from the node any more, unless the edge was doubted: a failed attempt to
// replace it may have started to watch the node.
func (n *Node) removeEdge(e *edge) {
	last := n.edges.remove(e)
	if n.pulls.closed(e) {
		n.pullMissing()
	}
	if !last || e.isDoubted() {
		return
	}
	n.members.mu.Lock()
	n.members.table.Unwatch(e.name)
	n.members.mu.Unlock()
}

// receiveLoop handles the first message of an edge itself and passes the others
// to the workers, until receiving fails.
func (n *Node) receiveLoop(e *edge, conn *btpeer.GossipConn, first *btpeer.Gossip) {
	if btpanic.Catch("handle gossip", n.recordPanic, func() { n.handleGossip(e, first) }) != nil {
		e.cancel(errPanicked)
		return
	}
	for {
		m, err := conn.Recv()
		if err != nil {
			e.cancel(err)
			return
		}
		n.submit(func() { n.handleGossip(e, m) })
	}
}
