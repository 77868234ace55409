package btexperiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/btoperator"
)

const (
	statusTimeout     = 3 * time.Second // of one status query
	minPollPeriod     = 100 * time.Millisecond
	pollPeriodPerNode = 5 * time.Millisecond
	startupTimeout    = 60 * time.Second // of each wait while the deployment starts
)

// Observer polls the status of a deployment's nodes. All methods are safe for concurrent
// use.
type Observer struct {
	Deployment *btdeploy.Deployment

	mu       sync.Mutex
	clients  map[string]*btoperator.Client
	highest  map[string]baobabtide.Offset // highest offset by node, across restarts
	WentBack int                          // times a node reported a lower configuration offset than before
}

// Client returns the client of a node's operator interface.
func (o *Observer) Client(n *btdeploy.Node) *btoperator.Client {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.clients == nil {
		o.clients = make(map[string]*btoperator.Client)
	}
	c, ok := o.clients[n.Name]
	if !ok {
		c = btoperator.NewClient(n.Operator(), nil)
		o.clients[n.Name] = c
	}
	return c
}

// Status queries the running nodes in order until one returns the status of all nodes. It
// fails if none responds within statusTimeout.
func (o *Observer) Status(ctx context.Context) (*btoperator.Status, error) {
	var lastErr error
	for _, n := range o.Deployment.Nodes {
		if !n.Running() {
			continue
		}
		queryCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := o.Client(n).Status(queryCtx)
		cancel()
		if err == nil {
			o.checkOffsets(status)
			return status, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no node responds: %w", lastErr)
}

// checkOffsets increases WentBack by the number of nodes whose configuration offset is
// lower than before.
func (o *Observer) checkOffsets(s *btoperator.Status) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.highest == nil {
		o.highest = make(map[string]baobabtide.Offset)
	}
	for _, n := range s.Nodes {
		if !n.Reachable || n.Offset == 0 {
			continue // a node that has just started has no configuration in force
		}
		if n.Offset < o.highest[n.Name] {
			o.WentBack++
		}
		o.highest[n.Name] = max(o.highest[n.Name], n.Offset)
	}
}

// Await polls the status until it meets the condition, and returns that status.
// After the timeout it fails with an error that begins with description.
func (o *Observer) Await(ctx context.Context, description string, timeout time.Duration, condition func(*btoperator.Status) bool) (*btoperator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, err := o.Status(ctx)
		if err == nil && condition(status) {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("%s: not reached after %s", description, timeout)
		case <-time.After(o.pollPeriod()):
		}
	}
}

// pollPeriod returns the time between queries. It grows with the number of nodes
// so that polling stays cheap compared to the nodes' own work.
func (o *Observer) pollPeriod() time.Duration {
	return max(minPollPeriod, time.Duration(len(o.Deployment.Nodes))*pollPeriodPerNode)
}

// allAtOffset reports whether all running nodes have the configuration at the
// offset, or a later one, in force.
func (o *Observer) allAtOffset(s *btoperator.Status, offset baobabtide.Offset) bool {
	offsets := make(map[string]baobabtide.Offset, len(s.Nodes))
	for _, n := range s.Nodes {
		if n.Reachable {
			offsets[n.Name] = n.Offset
		}
	}
	for _, n := range o.Deployment.Nodes {
		if current, ok := offsets[n.Name]; n.Running() && (!ok || current < offset) {
			return false
		}
	}
	return true
}

// AwaitOffset waits until all running nodes have the configuration at the offset,
// or a later one, in force.
func (o *Observer) AwaitOffset(ctx context.Context, offset baobabtide.Offset, timeout time.Duration) (*btoperator.Status, error) {
	return o.Await(ctx, fmt.Sprintf("configuration offset %d in force on every node", offset), timeout, func(s *btoperator.Status) bool {
		return o.allAtOffset(s, offset)
	})
}

// AwaitTargets waits until the targets of a service's version on all running
// nodes are ready.
func (o *Observer) AwaitTargets(ctx context.Context, service, version string) error {
	expected := 0
	for _, b := range o.Deployment.Backends() {
		if b.Spec.Service == service && b.Spec.Version == version && b.Node.Running() {
			expected++
		}
	}
	_, err := o.Await(ctx, fmt.Sprintf("targets of %s %s", service, version), startupTimeout, func(s *btoperator.Status) bool {
		found := 0
		for _, n := range s.Nodes {
			for _, t := range n.Targets {
				if n.Status == baobabtide.Alive && t.Service == service && t.Version == version && t.State == baobabtide.TargetReady {
					found++
				}
			}
		}
		return found >= expected
	})
	return err
}
