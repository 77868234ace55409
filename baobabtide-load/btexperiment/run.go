package btexperiment

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-load/btworkload"
	"github.com/baobabtide/baobabtide/btoperator"
)

const (
	settleTime     = 2 * time.Second  // between the setup and the load
	changeTimeout  = 30 * time.Second // for one change to be in force everywhere
	releaseTimeout = 10 * time.Second // beyond a rollout's deadline

	maxPublishTries = 4
	publishPause    = 500 * time.Millisecond
)

// Runner runs one experiment.
type Runner struct {
	Experiment *Experiment
	Seed       uint64
	Bin        string    // folder of the programs
	Progress   io.Writer // one line per step

	deployment *btdeploy.Deployment
	observer   *Observer
	tally      *btworkload.Tally
	rng        *mathrand.Rand

	mu          sync.Mutex
	convergence []time.Duration // of each node and change
	outcomes    []releaseOutcome
	lostRecords bool // a backend server was killed with its record
	problems    []string
}

// releaseOutcome is how one release ended.
type releaseOutcome struct {
	release Release
	result  baobabtide.Result
	inTime  bool
	share   float64 // of the service's requests that the version got while the rollout ran
}

// Run runs the experiment and returns what was measured.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	r.rng = mathrand.New(mathrand.NewPCG(r.Seed, r.Seed))
	r.tally = btworkload.NewTally()
	d, stop, err := btdeploy.Start(r.Experiment.Deployment, r.Bin, r.Seed)
	if err != nil {
		return nil, err
	}
	defer stop()
	r.deployment = d
	r.observer = &Observer{Deployment: d}
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

func (r *Runner) progress(format string, args ...any) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, format+"\n", args...)
	}
}

func (r *Runner) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// setUp waits for the nodes and publishes the contract and the first versions.
func (r *Runner) setUp(ctx context.Context) error {
	if err := r.awaitMembers(ctx); err != nil {
		return err
	}
	offset, err := r.publish(ctx, &baobabtide.Record{Contract: &r.Experiment.Contract})
	if err != nil {
		return err
	}
	for _, s := range r.Experiment.Deployment.Services {
		release := &baobabtide.Release{Service: s.Service, Version: r.Experiment.Deployment.Version}
		if offset, err = r.publish(ctx, &baobabtide.Record{Release: release}); err != nil {
			return err
		}
	}
	if _, err := r.observer.AwaitVersion(ctx, offset, startupTime); err != nil {
		return err
	}
	for _, s := range r.Experiment.Deployment.Services {
		if err := r.observer.AwaitTargets(ctx, s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
	}
	r.progress("version %d is in force on every node", offset)
	time.Sleep(settleTime)
	return nil
}

// awaitMembers waits until all nodes know each other.
func (r *Runner) awaitMembers(ctx context.Context) error {
	all := len(r.deployment.Nodes)
	started := time.Now()
	_, err := r.observer.Await(ctx, "every node knows every other", startupTime, func(s *btoperator.Status) bool {
		known := 0
		for _, n := range s.Nodes {
			if n.Reachable && n.Members == all {
				known++
			}
		}
		return known == all
	})
	if err != nil {
		return err
	}
	r.progress("%d nodes know each other after %s", all, time.Since(started).Round(time.Millisecond))
	return nil
}

// publish publishes a record through any running node and returns its offset.
func (r *Runner) publish(ctx context.Context, record *baobabtide.Record) (baobabtide.Offset, error) {
	record.ID = rand.Text()
	record.Actor = "experiment"
	for try := range maxPublishTries {
		result, err := r.publishOnce(ctx, record)
		if err != nil && try < maxPublishTries-1 {
			time.Sleep(publishPause)
			continue
		}
		if err != nil {
			return 0, err
		}
		if !result.Entry.Accepted {
			return 0, fmt.Errorf("publish %s: %s", record.Kind(), result.Entry.Reason)
		}
		return result.Entry.Offset, nil
	}
	return 0, nil
}

// publishOnce publishes a record through one running node. A record whose
// outcome is uncertain may be published again, because it keeps its ID.
func (r *Runner) publishOnce(ctx context.Context, record *baobabtide.Record) (*btoperator.PublishResult, error) {
	nodes := r.running()
	if len(nodes) == 0 {
		return nil, errors.New("no node runs")
	}
	r.mu.Lock()
	n := nodes[r.rng.IntN(len(nodes))]
	r.mu.Unlock()
	result, err := r.observer.Client(n).Publish(ctx, record)
	if err != nil {
		return nil, fmt.Errorf("publish %s through %s: %w", record.Kind(), n.Name, err)
	}
	return result, nil
}

func (r *Runner) running() []*btdeploy.Node {
	var nodes []*btdeploy.Node
	for _, n := range r.deployment.Nodes {
		if n.Running() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// measure runs the load, the changes, the releases and the faults.
func (r *Runner) measure(ctx context.Context) (*Result, error) {
	before, err := r.observer.Status(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	load, stopLoad := context.WithTimeout(ctx, r.Experiment.Duration)
	defer stopLoad()
	var wg sync.WaitGroup
	if len(r.Experiment.Load) > 0 {
		wg.Go(func() { r.driver().Run(load, r.Seed) })
	}
	wg.Go(func() { r.runChanges(ctx) })
	for i := range r.Experiment.Releases {
		wg.Go(func() { r.runRelease(ctx, r.Experiment.Releases[i]) })
	}
	for i := range r.Experiment.Faults {
		wg.Go(func() { r.runFault(ctx, &r.Experiment.Faults[i]) })
	}
	wg.Go(func() { <-load.Done() })
	wg.Wait()
	span := time.Since(started)
	after, err := r.observer.Status(ctx)
	if err != nil {
		return nil, err
	}
	return r.result(before, after, span), nil
}

func (r *Runner) driver() *btworkload.Driver {
	return &btworkload.Driver{
		Customer: r.Experiment.Contract.Customer,
		Routes:   r.Experiment.Load,
		Tally:    r.tally,
		Nodes: func() []string {
			var addresses []string
			for _, n := range r.running() {
				addresses = append(addresses, n.Caller())
			}
			return addresses
		},
		Servers: func(service string) []string {
			var addresses []string
			for _, b := range r.deployment.Backends() {
				if b.Spec.Service == service && b.Spec.Version == r.Experiment.Deployment.Version && b.Running() {
					addresses = append(addresses, b.Spec.Listen)
				}
			}
			return addresses
		},
	}
}

// runChanges publishes changes and measures when they are in force.
func (r *Runner) runChanges(ctx context.Context) {
	time.Sleep(r.Experiment.Changes.Start)
	for i := range r.Experiment.Changes.Count {
		started := time.Now()
		if err := r.change(ctx, i); err != nil {
			r.problem("change %d: %v", i, err)
		}
		time.Sleep(max(0, r.Experiment.Changes.Every-time.Since(started)))
	}
}

// change publishes the contract with another timeout of its first route.
func (r *Runner) change(ctx context.Context, i int) error {
	contract := r.Experiment.Contract
	contract.Services = slices.Clone(contract.Services)
	contract.Services[0].Routes = slices.Clone(contract.Services[0].Routes)
	contract.Services[0].Routes[0].Timeout += time.Duration(i+1) * time.Millisecond
	started := time.Now()
	offset, err := r.publish(ctx, &baobabtide.Record{Contract: &contract})
	if err != nil {
		return err
	}
	status, err := r.observer.AwaitVersion(ctx, offset, changeTimeout)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range status.Nodes {
		if n.Reachable && n.Offset == offset {
			r.convergence = append(r.convergence, n.InForceSince.Sub(started))
		}
	}
	return nil
}

// runRelease starts backend servers of a version, publishes it and waits for
// the outcome.
func (r *Runner) runRelease(ctx context.Context, release Release) {
	time.Sleep(release.At)
	if err := r.release(ctx, release); err != nil {
		r.problem("release %s %s: %v", release.Service, release.Version, err)
	}
}

func (r *Runner) release(ctx context.Context, release Release) error {
	return r.releaseThrough(ctx, release, func() error {
		record := &baobabtide.Record{Release: &baobabtide.Release{Service: release.Service, Version: release.Version}}
		_, err := r.publish(ctx, record)
		return err
	})
}

// releaseThrough starts backend servers of a version, has it published and
// waits for the outcome.
func (r *Runner) releaseThrough(ctx context.Context, release Release, publish func() error) error {
	if err := r.deployment.StartVersion(release.Service, release.Version, release.Behavior); err != nil {
		return err
	}
	if err := r.observer.AwaitTargets(ctx, release.Service, release.Version); err != nil {
		return err
	}
	before := r.served(release)
	if err := publish(); err != nil {
		return err
	}
	r.progress("%s %s is published", release.Service, release.Version)
	outcome := releaseOutcome{release: release}
	timeout := r.completeWithin(release.Service) + releaseTimeout
	_, err := r.observer.Await(ctx, "outcome", timeout, func(s *btoperator.Status) bool {
		a := findAssignment(s, release.Service)
		if a == nil || a.Result == "" || a.Target != release.Version {
			return false
		}
		outcome.result = a.Result
		outcome.inTime = a.Ended.Before(a.Deadline)
		r.progress("%s %s: %s, %s", release.Service, release.Version, a.Result, a.Reason)
		return true
	})
	outcome.share = share(before, r.served(release))
	r.mu.Lock()
	r.outcomes = append(r.outcomes, outcome)
	r.mu.Unlock()
	return err
}

func (r *Runner) completeWithin(service string) time.Duration {
	for _, s := range r.Experiment.Contract.Services {
		if s.Service == service {
			return s.Rollout.CompleteWithin
		}
	}
	return 0
}

func findAssignment(s *btoperator.Status, service string) *btoperator.AssignmentStatus {
	for i := range s.Assignments {
		if s.Assignments[i].Service == service {
			return &s.Assignments[i]
		}
	}
	return nil
}

// counts are requests that backend servers of one service have served.
type counts struct {
	version, all int
}

func (r *Runner) served(release Release) counts {
	var c counts
	for _, b := range r.deployment.Backends() {
		if b.Spec.Service != release.Service || !b.Running() {
			continue
		}
		report, err := b.Report()
		if err != nil {
			continue
		}
		c.all += report.Requests
		if b.Spec.Version == release.Version {
			c.version += report.Requests
		}
	}
	return c
}

func share(before, after counts) float64 {
	if after.all == before.all {
		return 0
	}
	return float64(after.version-before.version) / float64(after.all-before.all)
}
