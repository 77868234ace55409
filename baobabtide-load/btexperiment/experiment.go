// Package btexperiment runs experiment files: a deployment, load, changes and
// faults at given times, and a summary of what was measured.
package btexperiment

import (
	"fmt"
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

// Changes are changes of configuration that are published one after the other.
type Changes struct {
	Count int
	Every time.Duration
	Start time.Duration `json:",omitempty"` // of the first one, after the load's start
}

// Release is a version that is published during the run.
type Release struct {
	At      time.Duration
	Service string
	Version string
	Good    bool // what the right outcome is
	// Behavior is what the version does wrong.
	Behavior btbackendstandin.Behavior `json:",omitzero"`
}

// FaultKind names what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	KillNodes    FaultKind = "KillNodes"    // Count random nodes, or all of Zone, end at once and start again after For
	DrainNodes   FaultKind = "DrainNodes"   // Count random nodes, or all of Zone one after the other, are stopped in a planned way and start again
	PauseNodes   FaultKind = "PauseNodes"   // the processes stop for For
	KillBackends FaultKind = "KillBackends" // Count random backend servers end at once
	CutZone      FaultKind = "CutZone"      // Zone is cut off from the other zones for For, from the log too if Log is set
	FreezeZone   FaultKind = "FreezeZone"   // open connections between Zone and the others go silent for good
	LogFault     FaultKind = "LogFault"     // the log does what LogFaults says for For
	BackendFault FaultKind = "BackendFault" // the backend servers of Service and Version do what Behavior says for For
)

// Fault is something that goes wrong at a given time.
type Fault struct {
	At        time.Duration
	For       time.Duration `json:",omitempty"`
	Kind      FaultKind
	Count     int                       `json:",omitempty"`
	Zone      string                    `json:",omitempty"`
	Log       bool                      `json:",omitempty"`
	Service   string                    `json:",omitempty"`
	Version   string                    `json:",omitempty"`
	LogFaults btlogstandin.Faults       `json:",omitzero"`
	Behavior  btbackendstandin.Behavior `json:",omitzero"`
}

// Check reports the first field that breaks a rule.
func (e *Experiment) Check() error {
	if e.Experiment == "" {
		return baobabtide.Fieldf("Experiment", "empty")
	}
	if err := e.Contract.Check(); err != nil {
		return baobabtide.Within("Contract", err)
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
	case CutZone, FreezeZone:
		if !e.Deployment.Relay {
			return baobabtide.Fieldf("Kind", "%s needs Deployment.Relay", f.Kind)
		}
		return nil
	default:
		return baobabtide.Fieldf("Kind", "%q is unknown", f.Kind)
	}
}

// Result is the last line that a run prints. A field that was not measured is
// null.
type Result struct {
	Experiment                string
	Seed                      uint64
	Nodes                     int
	Requests                  *int
	Whole                     *int
	WrongCaller               *int
	PassedCut                 *int
	Doubled                   *int
	Lost                      *int
	FalseNotRun               *int
	MayHaveRun                *int
	RefusedNotRun             *int
	Failed                    *int
	NoAnswer                  *int
	ConvergenceP50Millis      *float64
	ConvergenceP99Millis      *float64
	ConvergenceMaxMillis      *float64
	AddedP50Millis            *float64
	AddedP99Millis            *float64
	ControlBytesPerNodeSecond *float64
	ControlCoreShare          *float64
	NodeResidentBytes         *float64
	LogReadsPerSecond         *float64
	GoodInTime                *int
	GoodTotal                 *int
	BadTakenBack              *int
	BadTotal                  *int
	BadShare                  *float64
	WentBack                  *int // nodes seen at an older configuration version than before
	Problems                  []string
}

// Broken returns what must always hold and did not, or an empty string.
func (r *Result) Broken() string {
	for _, c := range []struct {
		name  string
		value *int
	}{
		{"WrongCaller", r.WrongCaller},
		{"PassedCut", r.PassedCut},
		{"Doubled", r.Doubled},
		{"Lost", r.Lost},
		{"FalseNotRun", r.FalseNotRun},
		{"WentBack", r.WentBack},
	} {
		if c.value != nil && *c.value > 0 {
			return fmt.Sprintf("%s is %d", c.name, *c.value)
		}
	}
	return ""
}
