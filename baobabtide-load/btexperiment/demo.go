package btexperiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-load/btworkload"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btoperator"
)

const (
	demoActor        = "demo"
	loadAfterDrain   = 2 * time.Second // time that the load continues after the planned stop
	contractFileMode = 0o600
)

// Demo runs the experiment's deployment, load and releases, publishes them with
// baobabtidectl, drains one node and prints a summary. It returns an error if an
// invariant is violated, a request gets no response or a release has the wrong
// outcome.
func (r *Runner) Demo(ctx context.Context) error {
	started := time.Now()
	r.rng = rand.New(rand.NewPCG(r.Seed, r.Seed))
	r.tally = btworkload.NewTally()
	d, stop, err := btdeploy.Start(r.Experiment.Deployment, r.Bin, r.Seed)
	if err != nil {
		return err
	}
	defer stop()
	r.deployment = d
	r.observer = &Observer{Deployment: d}
	r.progress("== %s: %d nodes in %s, one backend server beside each",
		r.Experiment.Contract.Customer, len(d.Nodes), strings.Join(d.Spec.Zones, ", "))
	if err := r.demoSetUp(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	wg.Go(func() { r.driver().Run(loadCtx, r.Seed) })
	err = r.demoSteps(ctx)
	stopLoad()
	wg.Wait()
	if err != nil {
		return err
	}
	return r.demoSummary(ctx, time.Since(started))
}

// runCtl runs baobabtidectl against a node and returns its output.
func (r *Runner) runCtl(ctx context.Context, n *btdeploy.Node, args ...string) (string, error) {
	args = append([]string{"--node", n.Operator(), "--actor", demoActor}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(r.Bin, "baobabtidectl"), args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("baobabtidectl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

// demoSetUp publishes the contract and the first versions, and waits until all
// nodes have the same configuration in force.
func (r *Runner) demoSetUp(ctx context.Context) error {
	if err := r.awaitMembers(ctx); err != nil {
		return err
	}
	path := filepath.Join(r.deployment.Dir, "contract.json")
	data, err := btcodec.EncodeJSONIndent(r.Experiment.Contract)
	if err != nil {
		return fmt.Errorf("encode contract: %w", err)
	}
	if err := os.WriteFile(path, data, contractFileMode); err != nil {
		return fmt.Errorf("write contract: %w", err)
	}
	n := r.deployment.Nodes[0]
	if _, err := r.runCtl(ctx, n, "contract", "publish", path); err != nil {
		return err
	}
	for _, s := range r.Experiment.Deployment.Services {
		if _, err := r.runCtl(ctx, n, "version", "publish", s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
		if err := r.observer.AwaitTargets(ctx, s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
	}
	offset, err := r.awaitSameOffset(ctx)
	if err != nil {
		return err
	}
	r.progress("contract and versions are published, configuration offset %d is in force on all %d nodes", offset, len(r.deployment.Nodes))
	return nil
}

// awaitSameOffset waits until all running nodes have the same configuration in
// force, and returns its offset.
func (r *Runner) awaitSameOffset(ctx context.Context) (uint64, error) {
	var offset uint64
	_, err := r.observer.Await(ctx, "the same configuration in force on every node", startupTimeout, func(s *btoperator.Status) bool {
		offset = uint64(s.Offset)
		for _, n := range s.Nodes {
			if n.Reachable && n.Offset != s.Offset {
				return false
			}
		}
		return offset > 0 && r.observer.allAtOffset(s, s.Offset)
	})
	return offset, err
}

// demoSteps runs all releases at the same time and then drains a node.
func (r *Runner) demoSteps(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, release := range r.Experiment.Releases {
		wg.Go(func() { r.demoRelease(ctx, release) })
	}
	wg.Wait()
	if len(r.problems) > 0 {
		return fmt.Errorf("releases: %s", strings.Join(r.problems, "; "))
	}
	draining := r.deployment.Nodes[1]
	if _, err := r.runCtl(ctx, r.deployment.Nodes[0], "drain", draining.Name, "--reason", "maintenance by the landlord"); err != nil {
		return err
	}
	if err := draining.AwaitExit(drainTimeout); err != nil {
		return err
	}
	r.progress("node %s was drained and has stopped", draining.Name)
	time.Sleep(loadAfterDrain)
	return nil
}

// demoRelease runs a release at its time and publishes it with baobabtidectl.
func (r *Runner) demoRelease(ctx context.Context, release Release) {
	time.Sleep(release.At)
	publish := func() error {
		_, err := r.runCtl(ctx, r.deployment.Nodes[0], "version", "publish", release.Service, release.Version)
		return err
	}
	if err := r.releaseWith(ctx, release, publish); err != nil {
		r.addProblem("%s %s: %v", release.Service, release.Version, err)
	}
}

// demoSummary prints the audit trail and the results, and checks them.
func (r *Runner) demoSummary(ctx context.Context, elapsed time.Duration) error {
	offset, err := r.awaitSameOffset(ctx)
	if err != nil {
		return err
	}
	trail, err := r.runCtl(ctx, r.deployment.Nodes[0], "audit")
	if err != nil {
		return err
	}
	r.progress("audit trail:\n%s", strings.TrimRight(trail, "\n"))
	result := &Result{WentBack: &r.observer.WentBack}
	r.addRequests(result)
	r.addOutcomes(result)
	r.progress("%d requests: %d complete answers, %d failed, %d refused and not run, %d refused and may have run, %d without an answer",
		*result.Requests, *result.Whole, *result.Failed, *result.RefusedNotRun, *result.MayHaveRun, *result.NoAnswer)
	r.progress("wrong caller %d, truncated %d, keyed requests run twice %d, lost %d, run though refused as not run %d; configuration offset %d on every node; %s",
		*result.WrongCaller, *result.PassedCut, *result.Doubled, *result.Lost, *result.FalseNotRun, offset, elapsed.Round(time.Second))
	return checkDemoResult(result)
}

// checkDemoResult returns an error for the first expectation that the demo didn't
// meet.
func checkDemoResult(result *Result) error {
	switch {
	case result.FirstViolation() != "":
		return fmt.Errorf("invariant violated: %s", result.FirstViolation())
	case *result.NoAnswer > 0:
		return fmt.Errorf("%d requests got no response", *result.NoAnswer)
	case *result.GoodInTime < *result.GoodTotal:
		return fmt.Errorf("%d of %d good versions completed in time", *result.GoodInTime, *result.GoodTotal)
	case *result.BadTakenBack < *result.BadTotal:
		return fmt.Errorf("%d of %d bad versions were reverted", *result.BadTakenBack, *result.BadTotal)
	default:
		return nil
	}
}
