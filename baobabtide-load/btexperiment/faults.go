package btexperiment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
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
	r.progress("fault %s %s from %s to %s", f.Kind, f.Zone, f.At, f.At+f.For)
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
		return r.applyFor(f, r.deployment.KillNode, r.deployment.StartNode)
	case DrainNodes:
		return r.drainNodes(f)
	case PauseNodes:
		return r.applyFor(f, r.deployment.PauseNode, func(n *btdeploy.Node) error {
			r.deployment.ResumeNode(n)
			return nil
		})
	case KillBackends:
		return r.killBackends(f)
	case CutZone:
		return r.withRules(f, btrelay.Cut)
	case FreezeZone:
		return r.withRules(f, btrelay.Freeze)
	case HoldNodes:
		return r.holdNodes(f)
	case LogFault:
		if f.LogFaults.Outage || f.LogFaults.Delay > 0 {
			defer r.disturbances.beginLog()()
		}
		isRestored := f.LogFaults.Restore > 0
		if err := r.withLogFaults(f, f.LogFaults); err != nil || !isRestored {
			return err
		}
		return r.publishAgain()
	case RefuseNodes:
		return r.refuseNodes(f)
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
	r.progress("fault %s applies to %s", f.Kind, nodeNames(candidates))
	return candidates
}

func nodeNames(nodes []*btdeploy.Node) string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	return strings.Join(names, ", ")
}

// applyFor applies a function to the nodes that a fault applies to, waits for the
// fault's duration and reverts it at each of them.
func (r *Runner) applyFor(f *Fault, apply func(*btdeploy.Node), revert func(*btdeploy.Node) error) error {
	nodes := r.pickNodes(f)
	defer r.disturbances.begin(nodes)()
	for _, n := range nodes {
		apply(n)
	}
	time.Sleep(f.For)
	for _, n := range nodes {
		if err := revert(n); err != nil {
			return err
		}
	}
	return nil
}

// refuseNodes makes the log refuse nodes for the fault's duration. It fails if none of them
// reads the log although Readers is set.
func (r *Runner) refuseNodes(f *Fault) error {
	nodes := r.pickNodes(f)
	if f.Readers {
		nodes = logReaders(nodes)
		r.progress("those that read the log are %s", nodeNames(nodes))
	}
	if len(nodes) == 0 {
		return errors.New("no node to refuse")
	}
	var faults btlogstandin.Faults
	for _, n := range nodes {
		faults.Refusals = append(faults.Refusals, btlogstandin.Refusal{Caller: n.LogCaller(), Mode: f.Refusal})
	}
	defer r.disturbances.begin(nodes)()
	return r.withLogFaults(f, faults)
}

// logReaders returns the nodes that read the log.
func logReaders(nodes []*btdeploy.Node) []*btdeploy.Node {
	reads := make([]bool, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() { reads[i] = n.ReadsLog() })
	}
	wg.Wait()
	var readers []*btdeploy.Node
	for i, n := range nodes {
		if reads[i] {
			readers = append(readers, n)
		}
	}
	return readers
}

// withLogFaults adds faults to those of the log for the fault's duration.
func (r *Runner) withLogFaults(f *Fault, faults btlogstandin.Faults) error {
	if err := r.setLogFaults(func() { r.logFaults = append(r.logFaults, &faults) }); err != nil {
		return err
	}
	time.Sleep(f.For)
	return r.setLogFaults(func() {
		r.logFaults = slices.DeleteFunc(r.logFaults, func(other *btlogstandin.Faults) bool { return other == &faults })
	})
}

// setLogFaults changes Runner.logFaults and puts their union into force. Those that apply
// once are left out the next time.
func (r *Runner) setLogFaults(change func()) error {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	change()
	var union btlogstandin.Faults
	for _, f := range r.logFaults {
		union.Outage = union.Outage || f.Outage
		union.Delay = max(union.Delay, f.Delay)
		union.LoseAnswers = max(union.LoseAnswers, f.LoseAnswers)
		union.Truncate += f.Truncate
		union.Forget = union.Forget || f.Forget
		union.Silence = union.Silence || f.Silence
		union.Restore = max(union.Restore, f.Restore)
		union.Refusals = append(union.Refusals, f.Refusals...)
		f.Truncate, f.Forget, f.Silence, f.Restore = 0, false, false, 0
	}
	return r.deployment.SetLogFaults(union)
}

// publishAgain publishes the newest contract once more, after the log may have lost it.
func (r *Runner) publishAgain() error {
	r.mu.Lock()
	newest := r.newest
	r.mu.Unlock()
	if newest == nil {
		return nil
	}
	again := *newest
	return r.publishContract(context.Background(), &again)
}

// drainNodes stops nodes as planned, one after the other, and restarts each after the
// fault's duration.
func (r *Runner) drainNodes(f *Fault) error {
	for _, n := range r.pickNodes(f) {
		end := r.disturbances.begin([]*btdeploy.Node{n})
		r.deployment.StopNode(n)
		time.Sleep(f.For)
		if err := r.deployment.StartNode(n); err != nil {
			return err
		}
		end()
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
	nodes := r.pickNodes(f)
	defer r.disturbances.begin(nodes)()
	for _, n := range nodes {
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
	inZone := slices.DeleteFunc(slices.Clone(r.deployment.Nodes), func(n *btdeploy.Node) bool { return n.Zone != f.Zone })
	defer r.disturbances.begin(inZone)()
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
