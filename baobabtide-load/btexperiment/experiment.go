// Package btexperiment runs experiments: it starts a deployment, applies load,
// configuration changes, releases and faults at given times, and summarizes the
// measurements.
package btexperiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-load/btworkload"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
)

// Experiment is the contents of an experiment file.
type Experiment struct {
	Experiment string
	Note       string `json:",omitempty"`
	Deployment btdeploy.Spec
	Contract   baobabtide.Contract
	Load       []btworkload.Route `json:",omitempty"`
	Changes    Changes            `json:",omitzero"`
	Releases   []Release          `json:",omitempty"`
	Faults     []Fault            `json:",omitempty"`
	Duration   time.Duration
}

// Changes configures a series of configuration changes.
type Changes struct {
	Count int
	Every time.Duration // minimum time from the start of one change to the start of the next
	Start time.Duration `json:",omitempty"` // of the first change, after the start of the load
	// Overlap publishes each change at its time, without waiting until the one before is in
	// force. The convergence is not measured.
	Overlap bool `json:",omitempty"`
}

// Release is a version of a service that is published during the run.
type Release struct {
	At      time.Duration // after the start of the load
	Service string
	Version string
	Good    bool // the rollout should complete; otherwise it should be reverted
	// Behavior configures the faults that the version's backend servers simulate.
	Behavior btbackendstandin.Behavior `json:",omitzero"`
}

const maxCrashesLate = 3 // crashes by one request that are tolerated from 3 s after its third on

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults. Faults on nodes apply to Count random running nodes, 0 for all, of
// Zone if it is set. Faults on connections of Zone also apply to those to the log if Log
// is set.
const (
	KillNodes    FaultKind = "KillNodes"    // kills the nodes and restarts them after the duration For
	DrainNodes   FaultKind = "DrainNodes"   // stops the nodes as planned, one after the other, and restarts each after the duration For
	PauseNodes   FaultKind = "PauseNodes"   // suspends the nodes' processes for the duration For
	KillBackends FaultKind = "KillBackends" // kills the first Count running backend servers, 0 for 1, of Service if it is set
	CutZone      FaultKind = "CutZone"      // closes and refuses connections between Zone and the other zones for the duration For
	FreezeZone   FaultKind = "FreezeZone"   // makes open connections between Zone and the other zones stop delivering data for good
	HoldNodes    FaultKind = "HoldNodes"    // holds back what the nodes send to other nodes, not what they receive, for the duration For
	RefuseNodes  FaultKind = "RefuseNodes"  // makes the log refuse the nodes' calls in the way Refusal for the duration For
	LogFault     FaultKind = "LogFault"     // applies LogFaults to the log for the duration For
	BackendFault FaultKind = "BackendFault" // applies Behavior to the first Count running backend servers, 0 for all, of Service, of Version if it is set, for the duration For
)

// Fault is a fault that is injected at a given time.
type Fault struct {
	At        time.Duration // after the start of the load
	For       time.Duration `json:",omitempty"` // duration
	Kind      FaultKind
	Count     int                       `json:",omitempty"`
	Zone      string                    `json:",omitempty"`
	Log       bool                      `json:",omitempty"`
	Service   string                    `json:",omitempty"`
	Version   string                    `json:",omitempty"`
	Readers   bool                      `json:",omitempty"` // RefuseNodes applies to all nodes that read the log, of Zone if it is set
	Refusal   btlogstandin.RefusalMode  `json:",omitempty"`
	LogFaults btlogstandin.Faults       `json:",omitzero"`
	Behavior  btbackendstandin.Behavior `json:",omitzero"`
}

// Check returns an error for the first field that is invalid.
func (e *Experiment) Check() error {
	if e.Experiment == "" {
		return baobabtide.Fieldf("Experiment", "empty")
	}
	if err := e.Contract.Check(); err != nil {
		return baobabtide.Within("Contract", err)
	}
	for i, s := range e.Deployment.Services {
		if s.LinkRate < 0 || (s.LinkRate > 0 && !e.Deployment.Relay) {
			return baobabtide.Fieldf(fmt.Sprintf("Deployment.Services[%d].LinkRate", i), "%d, 0 or a positive rate with Deployment.Relay is allowed", s.LinkRate)
		}
	}
	if e.Duration <= 0 {
		return baobabtide.Fieldf("Duration", "%s is not positive", e.Duration)
	}
	for i := range e.Load {
		if err := e.Load[i].Check(); err != nil {
			return baobabtide.WithinIndex("Load", i, err)
		}
	}
	for i := range e.Faults {
		if err := e.checkFault(&e.Faults[i]); err != nil {
			return baobabtide.WithinIndex("Faults", i, err)
		}
	}
	return nil
}

func (e *Experiment) checkFault(f *Fault) error {
	switch f.Kind {
	case KillNodes, DrainNodes, PauseNodes, KillBackends, LogFault, BackendFault:
		return nil
	case RefuseNodes:
		if !slices.Contains(btlogstandin.RefusalModes(), f.Refusal) {
			return baobabtide.Fieldf("Refusal", "%q is unknown", f.Refusal)
		}
		if f.Readers && f.Count > 0 {
			return baobabtide.Fieldf("Count", "%d with Readers, which applies to all readers", f.Count)
		}
		return nil
	case CutZone, FreezeZone, HoldNodes:
		if !e.Deployment.Relay {
			return baobabtide.Fieldf("Kind", "%s needs Deployment.Relay", f.Kind)
		}
		return nil
	default:
		return baobabtide.Fieldf("Kind", "%q is unknown", f.Kind)
	}
}

// Result is the result of a run, printed as its last line. A field that was not
// measured is null.
type Result struct {
	Experiment                string
	Seed                      uint64
	Nodes                     int
	Requests                  *int // through nodes, without the direct ones
	Whole                     *int // requests that got the complete response of the service
	WrongCaller               *int // responses that belong to another caller
	PassedCut                 *int // truncated responses that were delivered as complete
	Doubled                   *int // keyed requests that ran more than once
	Lost                      *int // keyed requests that were answered and did not run
	FalseNotRun               *int // attempts that were refused as not run and did run
	MayHaveRun                *int // requests that were refused and may have run
	MayHaveRunByReason        map[baobabtide.Reason]int
	GivenUp                   *int // attempts that ended with connection-lost after they were sent
	GivenUpRun                *int // those of them that a backend server, which still runs, ran to the end
	GivenUpCut                *int // those of them that a backend server was running until they were canceled
	RunsCanceled              *int // runs that backend servers ended early, because the node or the deadline did
	RefusedNotRun             *int // requests that were refused and did not run
	Failed                    *int // requests that ran and got an error, of the service or without its response
	FailedByReason            map[baobabtide.Reason]int
	NoAnswer                  *int     // requests that got no response
	ConvergenceP50Millis      *float64 // from the start of publishing a change until a node has it in force
	ConvergenceP99Millis      *float64
	ConvergenceMaxMillis      *float64
	AddedP50Millis            *float64 // difference to direct requests at the percentile
	AddedP99Millis            *float64
	ControlBytesPerNodeSecond *float64
	ControlCoreShare          *float64 // processor time per node as a share of one core, in runs without load
	NodeResidentBytes         *float64 // of the largest node
	LogReadsPerSecond         *float64 // of all nodes
	LinkUse                   *float64 // mean share of the capacity of the limited links
	LinkMaxWaitMillis         *float64 // longest time in the queue of a limited link
	GoodInTime                *int     // good releases that completed before their deadline
	GoodTotal                 *int
	BadTakenBack              *int // bad releases that were reverted
	BadTotal                  *int
	BadShare                  *float64 // largest share of a service's requests that a bad version got
	OverLimit                 *int     // largest number of arrivals at a backend server in 4 s beyond those that its rate limit tolerates
	AfterLeaving              *int     // arrivals at backend servers from nodes that knew for 2 s that the server leaves
	Crashes                   *int     // runs of requests that crashed a backend server
	CrashesLate               *int     // largest number of crashes by one request from 3 s after its third on
	Quarantined               *int     // attempts of other requests that were refused as quarantined
	Suspect                   *int     // attempts of other requests that were refused as suspect
	WentBack                  *int     // times a node reported or logged a lower configuration offset than before
	Acknowledged              *int     // changes that the log acknowledged
	Late                      *int     // those of them that were not in force in time at a node
	StarvedShare              *float64 // mean share of the time in which the machine starved a node, which does not count for Late
	LateChanges               []string `json:",omitempty"` // which of them, at which nodes and how late
	Problems                  []string
}

// FirstViolation describes the first invariant that the run violated. It returns
// an empty string if all hold.
func (r *Result) FirstViolation() string {
	for _, c := range []struct {
		name    string
		value   *int
		details []string
	}{
		{"WrongCaller", r.WrongCaller, nil},
		{"PassedCut", r.PassedCut, nil},
		{"Doubled", r.Doubled, nil},
		{"Lost", r.Lost, nil},
		{"FalseNotRun", r.FalseNotRun, nil},
		{"WentBack", r.WentBack, nil},
		{"OverLimit", r.OverLimit, nil},
		{"AfterLeaving", r.AfterLeaving, nil},
		{"Quarantined", r.Quarantined, nil},
		{"Late", r.Late, r.LateChanges},
	} {
		if c.value != nil && *c.value > 0 {
			return strings.Join(append([]string{fmt.Sprintf("%s is %d", c.name, *c.value)}, c.details...), "; ")
		}
	}
	if r.CrashesLate != nil && *r.CrashesLate > maxCrashesLate {
		return fmt.Sprintf("CrashesLate is %d", *r.CrashesLate)
	}
	return ""
}
