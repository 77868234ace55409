package btexperiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabtide/baobabtide/baobabtide-load/btworkload"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/btoperator"
)

const (
	percentile50 = 50
	percentile99 = 99

	crashThreshold = 3               // crashes after which a request must not run any more
	crashSettle    = 3 * time.Second // from the last of them until that holds at all nodes
)

// result returns the result of a run that took elapsed. The statuses before and
// after it give the nodes' cost.
func (r *Runner) result(before, after *btoperator.Status, elapsed time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{
		Experiment: r.Experiment.Experiment,
		Seed:       r.Seed,
		Nodes:      len(r.deployment.Nodes),
		WentBack:   &r.observer.WentBack,
		Problems:   r.problems,
	}
	if len(r.Experiment.Load) > 0 {
		r.addRequests(result)
	}
	if len(r.convergence) > 0 {
		addConvergence(result, r.convergence)
	}
	if len(r.outcomes) > 0 {
		r.addOutcomes(result)
	}
	r.addCost(result, before, after, elapsed)
	r.addLinks(result, elapsed)
	return result
}

// addRequests adds the callers' counts and compares them with the runs that the
// backend servers recorded.
func (r *Runner) addRequests(result *Result) {
	executions, complete := r.executions(result)
	s := r.tally.Summarize(executions, complete)
	result.Requests = &s.Requests
	result.Whole = &s.Whole
	result.WrongCaller = &s.WrongCaller
	result.PassedCut = &s.PassedCut
	result.Doubled = &s.Doubled
	if complete {
		result.Lost = &s.Lost
	}
	result.FalseNotRun = &s.FalseNotRun
	result.MayHaveRun = &s.MayHaveRun
	result.MayHaveRunByReason = s.Reasons
	result.GivenUp = &s.GivenUp
	result.GivenUpRun = &s.GivenUpRun
	result.GivenUpCut = &s.GivenUpCut
	result.RunsCanceled = &s.RunsCanceled
	result.RefusedNotRun = &s.NotRun
	result.Failed = &s.Failed
	result.FailedByReason = s.FailReasons
	result.NoAnswer = &s.NoAnswer
	result.Problems = append(result.Problems, s.Problems...)
	if s.Direct.TotalCount() > 0 {
		result.AddedP50Millis = addedLatency(s, percentile50)
		result.AddedP99Millis = addedLatency(s, percentile99)
	}
}

// addedLatency returns the difference in milliseconds between a percentile of
// requests through nodes and the same percentile of direct requests.
func addedLatency(s btworkload.Summary, percentile float64) *float64 {
	difference := percentileMillis(s.Via, percentile) - percentileMillis(s.Direct, percentile)
	return &difference
}

// percentileMillis returns a percentile of a histogram of microseconds, in
// milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// executions returns the runs that the backend servers recorded, and whether the
// records of all backend servers are available. It adds to the result whether the nodes
// obeyed what the backend servers stated.
func (r *Runner) executions(result *Result) ([]btworkload.Execution, bool) {
	var executions []btworkload.Execution
	var crashes []btbackendstandin.CrashRun
	defer func() { r.addCrashes(result, crashes) }()
	var overLimit, afterLeaving int
	result.OverLimit, result.AfterLeaving = &overLimit, &afterLeaving
	complete := !r.lostRecords
	for _, b := range r.deployment.Backends() {
		if !b.Running() {
			complete = false
			if !r.lostRecords {
				r.problems = append(r.problems, "backend server "+b.Spec.Name+" has ended by itself")
			}
			continue
		}
		report, err := b.Report()
		if err != nil {
			complete = false
			r.problems = append(r.problems, err.Error())
			continue
		}
		overLimit = max(overLimit, report.OverLimit)
		afterLeaving += report.AfterLeaving
		crashes = append(crashes, report.CrashRuns...)
		for _, run := range report.Runs {
			executions = append(executions, btworkload.Execution{Key: run.Key, Caller: run.Caller, Canceled: run.Canceled})
		}
		for _, run := range report.Reads {
			executions = append(executions, btworkload.Execution{Caller: run.Caller, Read: true, Canceled: run.Canceled})
		}
	}
	return executions, complete
}

// addCrashes adds the crashes of backend servers by requests, and what other requests suffered
// from the quarantine.
func (r *Runner) addCrashes(result *Result, crashes []btbackendstandin.CrashRun) {
	type culprit struct {
		path string
		body uint64
	}
	times := make(map[culprit][]time.Time)
	for _, c := range crashes {
		key := culprit{c.Path, c.Body}
		times[key] = append(times[key], c.At)
	}
	late := 0
	for _, at := range times {
		slices.SortFunc(at, time.Time.Compare)
		if len(at) < crashThreshold {
			continue
		}
		limit := at[crashThreshold-1].Add(crashSettle)
		first, _ := slices.BinarySearchFunc(at, limit, time.Time.Compare)
		late = max(late, len(at)-first)
	}
	total := len(crashes)
	quarantined, suspect := r.tally.Innocent()
	result.Crashes, result.CrashesLate = &total, &late
	result.Quarantined, result.Suspect = &quarantined, &suspect
}

func addConvergence(result *Result, times []time.Duration) {
	slices.Sort(times)
	quantile := func(q float64) *float64 {
		i := min(int(q*float64(len(times))), len(times)-1)
		ms := float64(times[i].Microseconds()) / 1000
		return &ms
	}
	result.ConvergenceP50Millis = quantile(0.5)
	result.ConvergenceP99Millis = quantile(0.99)
	result.ConvergenceMaxMillis = quantile(1)
}

func (r *Runner) addOutcomes(result *Result) {
	var goodInTime, good, badReverted, bad int
	var badShare float64
	for _, o := range r.outcomes {
		if o.release.Good {
			good++
			if o.result == "Completed" && o.inTime {
				goodInTime++
			}
			continue
		}
		bad++
		if o.result == "Reverted" {
			badReverted++
		}
		badShare = max(badShare, o.share)
	}
	result.GoodInTime, result.GoodTotal = &goodInTime, &good
	result.BadTakenBack, result.BadTotal = &badReverted, &bad
	if bad > 0 {
		result.BadShare = &badShare
	}
}

// addCost adds the resource use of the nodes that ran from start to end without
// a restart.
func (r *Runner) addCost(result *Result, before, after *btoperator.Status, elapsed time.Duration) {
	costs := make(map[string]btoperator.NodeCost, len(before.Nodes))
	for _, n := range before.Nodes {
		if n.Reachable {
			costs[n.Name] = n.Cost
		}
	}
	var controlBytes, processorTime, logReads, resident, nodes float64
	for _, n := range after.Nodes {
		old, ok := costs[n.Name]
		if !ok || !n.Reachable || n.Cost.ProcessorTime < old.ProcessorTime {
			continue // unreachable before or after the run, or restarted during it
		}
		nodes++
		controlBytes += float64(n.Cost.ControlBytesIn - old.ControlBytesIn + n.Cost.ControlBytesOut - old.ControlBytesOut)
		processorTime += float64(n.Cost.ProcessorTime - old.ProcessorTime)
		logReads += float64(n.Cost.LogReads - old.LogReads)
		resident = max(resident, float64(n.Cost.ResidentBytes))
	}
	if nodes == 0 {
		return
	}
	bytesPerSecond := controlBytes / nodes / elapsed.Seconds()
	readsPerSecond := logReads / elapsed.Seconds()
	result.ControlBytesPerNodeSecond = &bytesPerSecond
	result.LogReadsPerSecond = &readsPerSecond
	result.NodeResidentBytes = &resident
	if len(r.Experiment.Load) == 0 {
		share := processorTime / nodes / float64(elapsed)
		result.ControlCoreShare = &share
	}
}

// addLinks adds the use of the limited links.
func (r *Runner) addLinks(result *Result, elapsed time.Duration) {
	if !r.deployment.HasLimits() {
		return
	}
	queues, err := r.deployment.Queues()
	if err != nil || len(queues) == 0 {
		result.Problems = append(result.Problems, fmt.Sprintf("queues of the links: %d, %v", len(queues), err))
		return
	}
	var use, wait float64
	for _, q := range queues {
		use += float64(q.Bytes) / float64(q.Rule.Rate) / elapsed.Seconds() / float64(len(queues))
		wait = max(wait, float64(q.MaxWait.Milliseconds()))
	}
	result.LinkUse = &use
	result.LinkMaxWaitMillis = &wait
}
