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
	demoActor   = "demo"
	demoTail    = 2 * time.Second // load goes on so long after the planned stop
	contractSet = 0o600
)

// Demo runs an experiment's deployment, load and releases, drives them through
// the operator's command, stops one node in a planned way and prints a
// summary. It returns an error where something did not hold.
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
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	wg.Go(func() { r.driver().Run(load, r.Seed) })
	err = r.demoSteps(ctx)
	stopLoad()
	wg.Wait()
	if err != nil {
		return err
	}
	return r.demoSummary(ctx, time.Since(started))
}

// ctl runs the operator's command against a node and returns its output.
func (r *Runner) ctl(ctx context.Context, n *btdeploy.Node, args ...string) (string, error) {
	args = append([]string{"--node", n.Operator(), "--actor", demoActor}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(r.Bin, "baobabtidectl"), args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("baobabtidectl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

// demoSetUp publishes the contract and the first versions.
func (r *Runner) demoSetUp(ctx context.Context) error {
	if err := r.awaitMembers(ctx); err != nil {
		return err
	}
	path := filepath.Join(r.deployment.Dir, "contract.json")
	data, err := btcodec.EncodeJSONIndent(r.Experiment.Contract)
	if err != nil {
		return fmt.Errorf("encode contract: %w", err)
	}
	if err := os.WriteFile(path, data, contractSet); err != nil {
		return fmt.Errorf("write contract: %w", err)
	}
	n := r.deployment.Nodes[0]
	if _, err := r.ctl(ctx, n, "contract", "publish", path); err != nil {
		return err
	}
	for _, s := range r.Experiment.Deployment.Services {
		if _, err := r.ctl(ctx, n, "version", "publish", s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
		if err := r.observer.AwaitTargets(ctx, s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
	}
	offset, err := r.awaitSame(ctx)
	if err != nil {
		return err
	}
	r.progress("contract and versions are published, version %d is in force on all %d nodes", offset, len(r.deployment.Nodes))
	return nil
}

// awaitSame waits until all running nodes have the same version in force.
func (r *Runner) awaitSame(ctx context.Context) (uint64, error) {
	var offset uint64
	_, err := r.observer.Await(ctx, "the same version in force on every node", startupTime, func(s *btoperator.Status) bool {
		offset = uint64(s.Offset)
		for _, n := range s.Nodes {
			if n.Reachable && n.Offset != s.Offset {
				return false
			}
		}
		return offset > 0 && r.observer.allAt(s, s.Offset)
	})
	return offset, err
}

// demoSteps moves traffic to a good and a bad version at the same time and
// stops a node.
func (r *Runner) demoSteps(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, release := range r.Experiment.Releases {
		wg.Go(func() { r.demoRelease(ctx, release) })
	}
	wg.Wait()
	if len(r.problems) > 0 {
		return fmt.Errorf("releases: %s", strings.Join(r.problems, "; "))
	}
	leaving := r.deployment.Nodes[1]
	if _, err := r.ctl(ctx, r.deployment.Nodes[0], "drain", leaving.Name, "--reason", "maintenance by the landlord"); err != nil {
		return err
	}
	if err := leaving.AwaitExit(drainTimeout); err != nil {
		return err
	}
	r.progress("node %s was stopped in a planned way", leaving.Name)
	time.Sleep(demoTail)
	return nil
}

func (r *Runner) demoRelease(ctx context.Context, release Release) {
	time.Sleep(release.At)
	publish := func() error {
		_, err := r.ctl(ctx, r.deployment.Nodes[0], "version", "publish", release.Service, release.Version)
		return err
	}
	if err := r.releaseThrough(ctx, release, publish); err != nil {
		r.problem("%s %s: %v", release.Service, release.Version, err)
	}
}

// demoSummary prints what happened and checks what must always hold.
func (r *Runner) demoSummary(ctx context.Context, took time.Duration) error {
	offset, err := r.awaitSame(ctx)
	if err != nil {
		return err
	}
	trail, err := r.ctl(ctx, r.deployment.Nodes[0], "audit")
	if err != nil {
		return err
	}
	r.progress("audit trail:\n%s", strings.TrimRight(trail, "\n"))
	result := &Result{WentBack: &r.observer.WentBack}
	r.addRequests(result)
	r.addOutcomes(result)
	r.progress("%d requests: %d whole answers, %d failed on the bad version, %d refused and not run, %d in doubt, %d without an answer",
		*result.Requests, *result.Whole, *result.Failed, *result.RefusedNotRun, *result.MayHaveRun, *result.NoAnswer)
	r.progress("wrong caller %d, cut short %d, bookings doubled %d, lost %d, false refusals %d; version %d on every node; %s",
		*result.WrongCaller, *result.PassedCut, *result.Doubled, *result.Lost, *result.FalseNotRun, offset, took.Round(time.Second))
	return demoVerdict(result)
}

func demoVerdict(result *Result) error {
	switch {
	case result.Broken() != "":
		return fmt.Errorf("broken: %s", result.Broken())
	case *result.NoAnswer > 0:
		return fmt.Errorf("%d requests got no answer", *result.NoAnswer)
	case *result.GoodInTime < *result.GoodTotal:
		return fmt.Errorf("%d of %d good versions were in time", *result.GoodInTime, *result.GoodTotal)
	case *result.BadTakenBack < *result.BadTotal:
		return fmt.Errorf("%d of %d bad versions were taken back", *result.BadTakenBack, *result.BadTotal)
	default:
		return nil
	}
}
