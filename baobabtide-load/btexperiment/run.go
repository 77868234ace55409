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
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btoperator"
)

const (
	settleTime     = 2 * time.Second  // pause between the setup and the load
	changeTimeout  = 30 * time.Second // until a change is in force on every node
	releaseTimeout = 10 * time.Second // added to a rollout's deadline

	maxPublishAttempts = 4
	publishRetryDelay  = 500 * time.Millisecond
)

// Runner runs one experiment.
type Runner struct {
	Experiment *Experiment
	Seed       uint64
	Bin        string    // directory of the programs
	Progress   io.Writer // receives one line per step

	deployment *btdeploy.Deployment
	observer   *Observer
	tally      *btworkload.Tally
	rng        *mathrand.Rand

	disturbances disturbances
	logMu        sync.Mutex
	logFaults    []*btlogstandin.Faults // of the faults that last

	mu          sync.Mutex
	newest      *baobabtide.Contract // that was published, by its revision
	published   []btlogstandin.Ack   // contracts, with their revisions in place of offsets
	convergence []time.Duration      // per node and change
	outcomes    []releaseOutcome
	lostRecords bool // a backend server was killed, and the record of its runs is lost
	problems    []string
}

// releaseOutcome is the result of one release.
type releaseOutcome struct {
	release Release
	result  baobabtide.Result
	inTime  bool    // ended before the rollout's deadline
	share   float64 // the version's share of the service's requests during the rollout
}

// Run runs the experiment and returns its result. It fails if the deployment
// can't be set up or its status can't be read. Failed steps are listed in
// Result.Problems.
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

// progress writes a line to Progress, if that is set.
func (r *Runner) progress(format string, args ...any) {
	if r.Progress != nil {
		fmt.Fprintf(r.Progress, format+"\n", args...)
	}
}

// addProblem adds an entry to Result.Problems.
func (r *Runner) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// setUp waits for the nodes, publishes the contract and the first versions, and
// waits until they are in force and all targets are known.
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
	if _, err := r.observer.AwaitOffset(ctx, offset, startupTimeout); err != nil {
		return err
	}
	for _, s := range r.Experiment.Deployment.Services {
		if err := r.observer.AwaitTargets(ctx, s.Service, r.Experiment.Deployment.Version); err != nil {
			return err
		}
	}
	r.progress("configuration offset %d is in force on every node", offset)
	time.Sleep(settleTime)
	return nil
}

// awaitMembers waits until every node has all nodes as members.
func (r *Runner) awaitMembers(ctx context.Context) error {
	all := len(r.deployment.Nodes)
	started := time.Now()
	_, err := r.observer.Await(ctx, "all nodes are members on every node", startupTimeout, func(s *btoperator.Status) bool {
		complete := 0
		for _, n := range s.Nodes {
			if n.Reachable && n.Members == all {
				complete++
			}
		}
		return complete == all
	})
	if err != nil {
		return err
	}
	r.progress("%d nodes are members of each other after %s", all, time.Since(started).Round(time.Millisecond))
	return nil
}

// publish publishes a record through a random running node and returns its
// offset. It makes up to maxPublishAttempts attempts, and fails if the record is
// rejected.
func (r *Runner) publish(ctx context.Context, record *baobabtide.Record) (baobabtide.Offset, error) {
	record.ID = rand.Text()
	record.Actor = "experiment"
	for attempt := range maxPublishAttempts {
		result, err := r.publishOnce(ctx, record)
		if err != nil && attempt < maxPublishAttempts-1 {
			time.Sleep(publishRetryDelay)
			continue
		}
		if err != nil {
			return 0, err
		}
		if !result.Entry.Accepted {
			return 0, fmt.Errorf("publish %s: %w: %s", record.Kind(), errRejected, result.Entry.Reason)
		}
		return result.Entry.Offset, nil
	}
	return 0, nil
}

// publishOnce publishes a record through a random running node. If it fails, even
// with an uncertain result, the record may be published again, because it keeps
// its ID.
func (r *Runner) publishOnce(ctx context.Context, record *baobabtide.Record) (*btoperator.PublishResult, error) {
	nodes := r.runningNodes()
	if len(nodes) == 0 {
		return nil, errors.New("no node is running")
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

func (r *Runner) runningNodes() []*btdeploy.Node {
	var nodes []*btdeploy.Node
	for _, n := range r.deployment.Nodes {
		if n.Running() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// measure runs the load, the changes, the releases and the faults at the same
// time, and returns the result once all have ended.
func (r *Runner) measure(ctx context.Context) (*Result, error) {
	before, err := r.observer.Status(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	loadCtx, stopLoad := context.WithTimeout(ctx, r.Experiment.Duration)
	defer stopLoad()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watch, wg sync.WaitGroup
	watch.Go(func() {
		if err := r.watchProcessors(watchCtx); err != nil {
			r.addProblem("processors: %v", err)
		}
	})
	if len(r.Experiment.Load) > 0 {
		wg.Go(func() { r.driver().Run(loadCtx, r.Seed) })
	}
	wg.Go(func() { r.runChanges(ctx) })
	for i := range r.Experiment.Releases {
		wg.Go(func() { r.runRelease(ctx, r.Experiment.Releases[i]) })
	}
	for i := range r.Experiment.Faults {
		wg.Go(func() { r.runFault(ctx, &r.Experiment.Faults[i]) })
	}
	wg.Go(func() { <-loadCtx.Done() })
	wg.Wait()
	ended := time.Now()
	stopWatch()
	watch.Wait()
	after, err := r.observer.Status(ctx)
	if err != nil {
		return nil, err
	}
	result := r.result(before, after, ended.Sub(started))
	return result, r.checkInForce(result, started, ended)
}

// driver returns the driver of the experiment's load. Direct requests go to the
// backend servers of the first version.
func (r *Runner) driver() *btworkload.Driver {
	return &btworkload.Driver{
		Customer: r.Experiment.Contract.Customer,
		Routes:   r.Experiment.Load,
		Tally:    r.tally,
		Nodes: func() []string {
			var addresses []string
			for _, n := range r.runningNodes() {
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

// runChanges publishes the configuration changes and measures the convergence of
// each.
func (r *Runner) runChanges(ctx context.Context) {
	time.Sleep(r.Experiment.Changes.Start)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range r.Experiment.Changes.Count {
		started := time.Now()
		wg.Go(func() {
			if err := r.publishChange(ctx, i); err != nil {
				r.addProblem("change %d: %v", i, err)
			}
		})
		if !r.Experiment.Changes.Overlap {
			wg.Wait()
		}
		time.Sleep(max(0, r.Experiment.Changes.Every-time.Since(started)))
	}
}

// publishContract publishes a contract unless a later one is in force.
func (r *Runner) publishContract(ctx context.Context, contract *baobabtide.Contract) error {
	_, err := r.publish(ctx, &baobabtide.Record{Contract: contract})
	r.mu.Lock()
	defer r.mu.Unlock()
	isLatest := r.newest == nil || contract.Revision > r.newest.Revision
	if err == nil {
		r.published = append(r.published, btlogstandin.Ack{Offset: baobabtide.Offset(contract.Revision), Time: time.Now()})
	}
	if err == nil && isLatest {
		r.newest = contract
	}
	if errors.Is(err, errRejected) && !isLatest {
		return nil
	}
	return err
}

// errRejected is returned for a record that had no effect.
var errRejected = errors.New("rejected")

// publishChange publishes the contract with a different timeout of its first
// route, waits until it is in force on every node and records the convergence, unless
// changes overlap.
func (r *Runner) publishChange(ctx context.Context, i int) error {
	contract := r.Experiment.Contract
	contract.Services = slices.Clone(contract.Services)
	contract.Services[0].Routes = slices.Clone(contract.Services[0].Routes)
	contract.Services[0].Routes[0].Timeout += time.Duration(i+1) * time.Millisecond
	contract.Revision += uint64(i + 1)
	started := time.Now()
	if r.Experiment.Changes.Overlap {
		return r.publishContract(ctx, &contract)
	}
	offset, err := r.publish(ctx, &baobabtide.Record{Contract: &contract})
	if err != nil {
		return err
	}
	status, err := r.observer.AwaitOffset(ctx, offset, changeTimeout)
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

// runRelease runs a release at its time. A failure becomes a problem of the
// result.
func (r *Runner) runRelease(ctx context.Context, release Release) {
	time.Sleep(release.At)
	if err := r.release(ctx, release); err != nil {
		r.addProblem("release %s %s: %v", release.Service, release.Version, err)
	}
}

// release runs a release that is published through a random node.
func (r *Runner) release(ctx context.Context, release Release) error {
	return r.releaseWith(ctx, release, func() error {
		record := &baobabtide.Record{Release: &baobabtide.Release{Service: release.Service, Version: release.Version}}
		_, err := r.publish(ctx, record)
		return err
	})
}

// releaseWith starts backend servers of a version, calls publish, waits for the
// outcome of the rollout and records it.
func (r *Runner) releaseWith(ctx context.Context, release Release, publish func() error) error {
	if err := r.deployment.StartVersion(release.Service, release.Version, release.Behavior); err != nil {
		return err
	}
	if err := r.observer.AwaitTargets(ctx, release.Service, release.Version); err != nil {
		return err
	}
	before := r.servedRequests(release)
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
	outcome.share = share(before, r.servedRequests(release))
	r.mu.Lock()
	r.outcomes = append(r.outcomes, outcome)
	r.mu.Unlock()
	return err
}

// completeWithin returns the time in which the contract requires a rollout of the
// service to complete, 0 for a service that isn't in the contract.
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

// requestCounts counts requests that backend servers of one service received.
type requestCounts struct {
	version, all int // of one version, of all versions
}

// servedRequests sums the request counts of the running backend servers of a
// release's service. It omits those that don't respond.
func (r *Runner) servedRequests(release Release) requestCounts {
	var c requestCounts
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

// share returns the version's share of the requests between two counts, 0 if
// there were none.
func share(before, after requestCounts) float64 {
	if after.all == before.all {
		return 0
	}
	return float64(after.version-before.version) / float64(after.all-before.all)
}
