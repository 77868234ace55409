package btexperiment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
)

const drainTimeout = 40 * time.Second

// runFault injects one fault at its time and ends it.
func (r *Runner) runFault(ctx context.Context, f *Fault) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(f.At):
	}
	r.progress("fault %s %s", f.Kind, f.Zone)
	if err := r.inject(f); err != nil {
		r.problem("fault %s: %v", f.Kind, err)
	}
	r.progress("fault %s %s has ended", f.Kind, f.Zone)
}

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

// chosen returns the nodes that a fault concerns.
func (r *Runner) chosen(f *Fault) []*btdeploy.Node {
	var candidates []*btdeploy.Node
	for _, n := range r.running() {
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
	nodes := r.forTime(f, r.deployment.KillNode)
	return r.startNodes(nodes)
}

// forTime does something to the chosen nodes and returns them after the fault's
// time.
func (r *Runner) forTime(f *Fault, do func(*btdeploy.Node)) []*btdeploy.Node {
	nodes := r.chosen(f)
	for _, n := range nodes {
		do(n)
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

// drainNodes stops nodes one after the other in a planned way.
func (r *Runner) drainNodes(f *Fault) error {
	for _, n := range r.chosen(f) {
		r.deployment.StopNode(n)
		time.Sleep(f.For)
		if err := r.deployment.StartNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) pauseNodes(f *Fault) error {
	for _, n := range r.forTime(f, r.deployment.PauseNode) {
		r.deployment.ResumeNode(n)
	}
	return nil
}

func (r *Runner) killBackends(f *Fault) error {
	left := max(1, f.Count)
	for _, b := range r.deployment.Backends() {
		if left > 0 && b.Running() && (f.Service == "" || b.Spec.Service == f.Service) {
			r.mu.Lock()
			r.lostRecords = true
			r.mu.Unlock()
			r.deployment.KillBackend(b)
			left--
		}
	}
	return nil
}

func (r *Runner) backendFault(f *Fault) error {
	set := func(behavior btbackendstandin.Behavior) error {
		for _, b := range r.deployment.Backends() {
			if b.Spec.Service != f.Service || (f.Version != "" && b.Spec.Version != f.Version) || !b.Running() {
				continue
			}
			if err := b.SetBehavior(behavior); err != nil {
				return err
			}
		}
		return nil
	}
	if err := set(f.Behavior); err != nil {
		return err
	}
	time.Sleep(f.For)
	return set(btbackendstandin.Behavior{})
}

// withRules applies a mode to all connections between a zone and the others
// for the fault's time.
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
		rules = append(rules, btrelay.Rule{From: zone, To: netip.PrefixFrom(r.deployment.LogIP(), 32), Mode: mode})
	}
	return rules, nil
}
