package btexperiment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
)

const drainTimeout = 40 * time.Second // of a node's planned stop

// runFault injects a fault at its time and returns once it has ended. A failure
// becomes a problem of the result.
func (r *Runner) runFault(ctx context.Context, f *Fault) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(f.At):
	}
	r.progress("fault %s %s", f.Kind, f.Zone)
	if err := r.inject(f); err != nil {
		r.addProblem("fault %s: %v", f.Kind, err)
	}
	r.progress("fault %s %s has ended", f.Kind, f.Zone)
}

// inject applies a fault, waits for its duration and reverses it. Killed backend
// servers stay down, and frozen connections stay frozen.
func (r *Runner) inject(f *Fault) error {
	switch f.Kind {
	case KillNodes:
		return r.killNodes(f)
	case DrainNodes:
		return r.drainNodes(f)
	case PauseNodes:
		return r.pauseNodes(f)
	case KillBackends:
		return r.killBackends(f)
	case CutZone:
		return r.withRules(f, btrelay.Cut)
	case FreezeZone:
		return r.withRules(f, btrelay.Freeze)
	case HoldNodes:
		return r.holdNodes(f)
	case LogFault:
		if err := r.deployment.SetLogFaults(f.LogFaults); err != nil {
			return err
		}
		time.Sleep(f.For)
		return r.deployment.SetLogFaults(btlogstandin.Faults{})
	case BackendFault:
		return r.backendFault(f)
	default:
		return fmt.Errorf("kind %q is unknown", f.Kind)
	}
}

// pickNodes returns the running nodes that a fault applies to, in random order.
func (r *Runner) pickNodes(f *Fault) []*btdeploy.Node {
	var candidates []*btdeploy.Node
	for _, n := range r.runningNodes() {
		if f.Zone == "" || n.Zone == f.Zone {
			candidates = append(candidates, n)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if f.Count > 0 {
		candidates = candidates[:min(f.Count, len(candidates))]
	}
	return candidates
}

func (r *Runner) killNodes(f *Fault) error {
	nodes := r.applyFor(f, r.deployment.KillNode)
	return r.startNodes(nodes)
}

// applyFor applies a function to the nodes that a fault applies to, waits for the
// fault's duration and returns them.
func (r *Runner) applyFor(f *Fault, apply func(*btdeploy.Node)) []*btdeploy.Node {
	nodes := r.pickNodes(f)
	for _, n := range nodes {
		apply(n)
	}
	time.Sleep(f.For)
	return nodes
}

func (r *Runner) startNodes(nodes []*btdeploy.Node) error {
	for _, n := range nodes {
		if err := r.deployment.StartNode(n); err != nil {
			return err
		}
	}
	return nil
}

// drainNodes stops nodes as planned, one after the other, and restarts each after the
// fault's duration.
func (r *Runner) drainNodes(f *Fault) error {
	for _, n := range r.pickNodes(f) {
		r.deployment.StopNode(n)
		time.Sleep(f.For)
		if err := r.deployment.StartNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) pauseNodes(f *Fault) error {
	for _, n := range r.applyFor(f, r.deployment.PauseNode) {
		r.deployment.ResumeNode(n)
	}
	return nil
}

// killBackends kills the first Count running backend servers, at least one. The
// records of their runs are lost.
func (r *Runner) killBackends(f *Fault) error {
	remaining := max(1, f.Count)
	for _, b := range r.deployment.Backends() {
		if remaining > 0 && b.Running() && (f.Service == "" || b.Spec.Service == f.Service) {
			r.mu.Lock()
			r.lostRecords = true
			r.mu.Unlock()
			r.deployment.KillBackend(b)
			remaining--
		}
	}
	return nil
}

// backendFault applies a behavior to the first Count running backend servers, 0 for all, and
// then removes all their faults, also those of their release.
func (r *Runner) backendFault(f *Fault) error {
	set := func(behavior btbackendstandin.Behavior) error {
		remaining := f.Count
		var failed error // of servers that are down; the others get the behavior
		for _, b := range r.deployment.Backends() {
			if b.Spec.Service != f.Service || (f.Version != "" && b.Spec.Version != f.Version) || !b.Running() {
				continue
			}
			failed = errors.Join(failed, b.SetBehavior(behavior))
			if remaining--; remaining == 0 {
				break
			}
		}
		return failed
	}
	if err := set(f.Behavior); err != nil {
		return err
	}
	time.Sleep(f.For)
	return set(btbackendstandin.Behavior{})
}

// holdNodes holds back all that nodes send to other nodes for the fault's duration.
func (r *Runner) holdNodes(f *Fault) error {
	var rules []btrelay.Rule
	for _, n := range r.pickNodes(f) {
		address, err := netip.ParseAddr(n.IP)
		if err != nil {
			return fmt.Errorf("address of node %s: %w", n.Name, err)
		}
		rules = append(rules, btrelay.Rule{From: netip.PrefixFrom(address, address.BitLen()), To: btdeploy.AnyAddress(), Mode: btrelay.Hold})
	}
	if err := r.deployment.SetRules(rules); err != nil {
		return err
	}
	time.Sleep(f.For)
	return r.deployment.SetRules(nil)
}

// withRules applies a mode to all connections between a zone and the others for the
// fault's duration. If Log is set, it also applies to those from the zone to the log.
func (r *Runner) withRules(f *Fault, mode btrelay.Mode) error {
	rules, err := r.zoneRules(f, mode)
	if err != nil {
		return err
	}
	if err := r.deployment.SetRules(rules); err != nil {
		return err
	}
	time.Sleep(f.For)
	return r.deployment.SetRules(nil)
}

// zoneRules returns the relay rules of a fault on a zone.
func (r *Runner) zoneRules(f *Fault, mode btrelay.Mode) ([]btrelay.Rule, error) {
	zone, err := r.deployment.ZonePrefix(f.Zone)
	if err != nil {
		return nil, err
	}
	var rules []btrelay.Rule
	for _, other := range r.deployment.Spec.Zones {
		if other == f.Zone {
			continue
		}
		prefix, err := r.deployment.ZonePrefix(other)
		if err != nil {
			return nil, err
		}
		rules = append(rules, btrelay.Rule{From: zone, To: prefix, Mode: mode}, btrelay.Rule{From: prefix, To: zone, Mode: mode})
	}
	if f.Log {
		log, err := r.deployment.LogPrefix(f.Zone)
		if err != nil {
			return nil, err
		}
		rules = append(rules, btrelay.Rule{From: zone, To: log, Mode: mode})
	}
	return rules, nil
}
