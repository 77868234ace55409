package btnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	publishTimeout = 10 * time.Second // limit for appending a record and waiting until this node has applied it
	infoTimeout    = 2 * time.Second  // limit for collecting the status of all nodes
	maxStatusCalls = 64               // calls to other nodes at a time that collect it
)

// operators implements btoperator.Node. It wraps the node because Drain has a
// different signature there than in btpeer.Node.
type operators struct {
	*Node
}

var _ btoperator.Node = operators{}

// Publish implements btoperator.Node. A record whose ID is in the audit log is not
// appended again.
func (n *Node) Publish(ctx context.Context, record *baobabtide.Record) (*btoperator.PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if entry, ok := n.config.State().Audit.Find(record.ID); ok {
		return &btoperator.PublishResult{Entry: entry}, nil
	}
	err := n.appendRecord(ctx, record)
	if errors.Is(err, baobabtide.ErrUnavailable) {
		return nil, &btoperator.Error{Code: btoperator.CodeUnavailable, Err: err}
	}
	entry, waitErr := n.awaitRecord(ctx, record.ID)
	if waitErr != nil {
		return nil, &btoperator.Error{Code: btoperator.CodeUncertain, Err: errors.Join(waitErr, err)}
	}
	n.log.Info().Str("event", "record.published").Str("kind", entry.Kind).Str("subject", entry.Subject).
		Str("actor", entry.Actor).Uint64("offset", uint64(entry.Offset)).Bool("accepted", entry.Accepted).Send()
	return &btoperator.PublishResult{Entry: entry}, nil
}

// awaitRecord waits until a record has been applied on this node and returns its
// audit entry. It fails if the context ends first.
func (n *Node) awaitRecord(ctx context.Context, id string) (baobabtide.AuditEntry, error) {
	for {
		changed := n.changed.wait()
		if entry, ok := n.config.State().Audit.Find(id); ok {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return baobabtide.AuditEntry{}, fmt.Errorf("record %q was not seen in the log: %w", id, ctx.Err())
		}
	}
}

// Contracts implements btoperator.Node.
func (n *Node) Contracts(context.Context) (*btoperator.Contracts, error) {
	result := &btoperator.Contracts{}
	for _, c := range n.config.State().Contracts {
		result.Contracts = append(result.Contracts, btoperator.Contract{Revision: c.Revision, Contract: c.Contract})
	}
	slices.SortFunc(result.Contracts, func(a, b btoperator.Contract) int {
		return strings.Compare(a.Contract.Customer, b.Contract.Customer)
	})
	return result, nil
}

// Versions implements btoperator.Node.
func (n *Node) Versions(context.Context) (*btoperator.Versions, error) {
	result := &btoperator.Versions{}
	for name, s := range n.config.State().Services {
		result.Services = append(result.Services, btoperator.ServiceVersions{Service: name, Revision: s.Revision, Versions: s.Versions})
	}
	slices.SortFunc(result.Services, func(a, b btoperator.ServiceVersions) int {
		return strings.Compare(a.Service, b.Service)
	})
	return result, nil
}

// Audit implements btoperator.Node.
func (n *Node) Audit(context.Context) (*btoperator.Audit, error) {
	return &btoperator.Audit{Entries: n.config.State().Audit.Entries()}, nil
}

// Status implements btoperator.Node.
func (n *Node) Status(ctx context.Context) (*btoperator.Status, error) {
	state := n.config.State()
	status := &btoperator.Status{
		Node:        n.locality.Node,
		Offset:      n.inForce(),
		LogUp:       n.logUp.Load(),
		Assignments: n.assignmentStatuses(state),
		Nodes:       n.nodeStatuses(ctx),
	}
	return status, nil
}

// assignmentStatuses returns the status of all assignments in the route table,
// ordered by customer and service.
func (n *Node) assignmentStatuses(state *btconfig.State) []btoperator.AssignmentStatus {
	table := n.routes.Load()
	if table == nil {
		return nil
	}
	statuses := make([]btoperator.AssignmentStatus, 0, len(state.Assignments))
	for _, a := range state.Assignments {
		if dest := table.Destination(a.Customer, a.Service); dest != nil {
			statuses = append(statuses, n.assignmentStatus(&a, dest))
		}
	}
	slices.SortFunc(statuses, func(a, b btoperator.AssignmentStatus) int {
		return strings.Compare(btconfig.AssignmentKey(a.Customer, a.Service), btconfig.AssignmentKey(b.Customer, b.Service))
	})
	return statuses
}

// assignmentStatus returns the status of one assignment.
func (n *Node) assignmentStatus(a *baobabtide.Assignment, dest *btroute.Destination) btoperator.AssignmentStatus {
	s := btoperator.AssignmentStatus{Customer: a.Customer, Service: a.Service, Held: dest.Held}
	share := 0.0
	if dest.Rollout != nil {
		share = dest.Share()
	}
	s.Shares = append(s.Shares, btoperator.VersionShare{Version: dest.Current.Name, Share: 1 - share, Targets: dest.Current.Pool.Size()})
	if dest.Rollout != nil {
		s.Shares = append(s.Shares, btoperator.VersionShare{Version: dest.Next.Name, Share: share, Targets: dest.Next.Pool.Size()})
	}
	if a.Rollout == nil {
		return s
	}
	s.Rollout = a.Rollout.Offset
	s.Started = a.Rollout.Started
	s.Deadline = a.Rollout.Deadline()
	s.Target = a.Rollout.To
	s.Ended = a.Rollout.Ended
	s.Result = a.Rollout.Result
	s.Reason = a.Rollout.Reason
	s.Evidence = a.Rollout.Evidence
	if a.Running() {
		decision := n.rollouts.decision(a.Rollout)
		s.Phase = string(decision.Phase)
		s.Reason = decision.Reason
		s.Evidence = n.rollouts.evidence(a.Rollout)
	}
	return s
}

// nodeStatuses returns the status of all known nodes, ordered by name. It queries
// them in parallel.
func (n *Node) nodeStatuses(ctx context.Context) []btoperator.NodeStatus {
	n.members.mu.Lock()
	members := n.members.table.Members()
	n.members.mu.Unlock()
	statuses := make([]btoperator.NodeStatus, len(members))
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	var wg sync.WaitGroup
	calls := make(chan struct{}, maxStatusCalls)
	for i := range members {
		calls <- struct{}{}
		wg.Go(func() { // not a worker: slow nodes would keep this one from handling gossip
			statuses[i] = n.nodeStatus(ctx, &members[i])
			<-calls
		})
	}
	wg.Wait()
	return statuses
}

// nodeStatus returns the status of one node. If the node can't be queried, only the
// fields from the membership are set.
func (n *Node) nodeStatus(ctx context.Context, m *baobabtide.Member) btoperator.NodeStatus {
	s := btoperator.NodeStatus{Name: m.Name, Zone: m.Zone, Status: m.Status, Targets: m.Targets}
	info, err := n.fetchInfo(ctx, m)
	if err != nil {
		return s
	}
	s.Reachable = true
	s.Offset = info.Offset
	s.InForceSince = time.UnixMicro(info.InForceAt).UTC()
	s.Peers = info.Peers
	s.Members = info.Members
	s.Reader = info.Reader
	s.LogUp = info.LogUp
	s.Draining = info.Draining
	s.Held = info.Held
	s.RateLimits = info.RateLimits
	s.Accounts = info.Accounts
	s.Coordinator = info.Coordinator
	s.Cost = btoperator.NodeCost{
		ControlBytesIn:  info.ControlIn,
		ControlBytesOut: info.ControlOut,
		ProcessorTime:   time.Duration(info.ControlNano),
		ResidentBytes:   info.Resident,
		LogReads:        info.LogReads,
		LogAppends:      info.LogAppends,
	}
	return s
}

// fetchInfo returns the information of a node on itself. It calls other nodes, but
// returns an error at once for one that has failed or left.
func (n *Node) fetchInfo(ctx context.Context, m *baobabtide.Member) (*btpeer.Info, error) {
	if m.Name == n.locality.Node {
		info := n.Info()
		return &info, nil
	}
	if m.Status >= baobabtide.Failed {
		return nil, errEdgeClosed
	}
	return n.peers.Info(ctx, m.PeerAddress)
}

// Drain implements btoperator.Node. It drains this node or another one.
func (n operators) Drain(ctx context.Context, req *btoperator.DrainRequest) (*btoperator.DrainResult, error) {
	n.members.mu.Lock()
	m, ok := n.members.table.Get(req.Node)
	n.members.mu.Unlock()
	if !ok {
		return nil, &btoperator.Error{Code: btoperator.CodeNotFound, Err: fmt.Errorf("node %q is not known", req.Node)}
	}
	result := &btoperator.DrainResult{Node: req.Node}
	result.Recorded = n.recordDrain(ctx, req)
	if m.Name == n.locality.Node {
		result.InFlight = n.Node.Drain(req.Reason)
		return result, nil
	}
	resp, err := n.peers.Drain(ctx, m.PeerAddress, req.Reason)
	if btpeer.IsConnRefused(err) {
		return nil, &btoperator.Error{Code: btoperator.CodeUnavailable, Err: err}
	}
	if err != nil {
		return nil, &btoperator.Error{Code: btoperator.CodeUncertain, Err: err}
	}
	result.InFlight = resp.InFlight
	return result, nil
}

// recordDrain appends a planned stop to the configuration stream, for the audit log,
// and reports whether that succeeded. The stop proceeds even if the log is down.
func (n *Node) recordDrain(ctx context.Context, req *btoperator.DrainRequest) bool {
	record := &baobabtide.Record{
		ID:    fmt.Sprintf("drain.%x", rand.Uint64()),
		Actor: req.Actor,
		Drain: &baobabtide.DrainRecord{Node: req.Node, Reason: req.Reason},
	}
	return n.appendRecord(ctx, record) == nil
}
