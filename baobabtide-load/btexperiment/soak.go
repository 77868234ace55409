package btexperiment

import (
	"math/rand/v2"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
)

const (
	soakStart    = 2 * time.Second // before the first fault
	soakEnd      = 4 * time.Second // without a new fault, before the load ends
	minNodeFault = 500 * time.Millisecond
	maxNodeFault = 3 * time.Second
	maxRefusal   = 8 * time.Second         // longer than the pauses of readers after failed reads, which hide a short one
	minNotice    = 4 * time.Second         // of what backend servers state, long enough to be checked
	maxNotice    = 10 * time.Second        // the same
	maxAway      = 1500 * time.Millisecond // of a log that comes back from an older copy
	minCopyAge   = 300 * time.Millisecond
	maxCopyAge   = 4 * time.Second

	restoreStream = 60 // of the random numbers that restores are drawn from

	minRateLimit = 0.5 // requests per second
	maxRateLimit = 50.0
)

// Soak returns the experiment with random faults in place of its own. Faults of nodes, zones
// and the log overlap; backend servers of each service name rate limits, say that they leave
// and crash under the requests of the routes that are to crash them, one after the other.
func (e *Experiment) Soak(seed uint64) *Experiment {
	soak := *e
	soak.Faults = nil
	rng := rand.New(rand.NewPCG(seed, seed))
	for _, s := range e.Deployment.Services {
		soak.Faults = append(soak.Faults, e.soakBackends(s.Service, s.Targets, rng)...)
	}
	// A record that the log forgets before a node has read it is lost for good, so the log
	// neither falls silent nor refuses all readers as well.
	once := btlogstandin.Faults{Forget: true}
	if rng.IntN(2) == 0 {
		once = btlogstandin.Faults{Silence: true}
	}
	for at := soakStart; at < e.Duration-soakEnd; at += between(rng, minNodeFault, maxNodeFault) {
		f := e.soakFault(rng, once)
		f.At = at
		f.For = min(f.For, e.Duration-soakEnd-at+minNodeFault)
		soak.Faults = append(soak.Faults, f)
	}
	soak.Faults = append(soak.Faults, e.soakRestores(seed)...)
	return &soak
}

// soakRestores returns up to two restores of the log from an older copy, none for half of the seeds. They are drawn
// apart from the other faults.
func (e *Experiment) soakRestores(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, restoreStream))
	var faults []Fault
	for range rng.IntN(2) * (1 + rng.IntN(2)) {
		f := Fault{For: between(rng, minNodeFault, maxAway), Kind: LogFault}
		f.At = between(rng, soakStart, e.Duration-soakEnd-f.For)
		f.LogFaults = btlogstandin.Faults{Outage: true, Restore: between(rng, minCopyAge, maxCopyAge)}
		faults = append(faults, f)
	}
	return faults
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// soakBackends returns the faults of the backend servers of a service, with pauses between
// them.
func (e *Experiment) soakBackends(service string, servers int, rng *rand.Rand) []Fault {
	var crashRoutes []string
	for i := range e.Load {
		if e.Load[i].Crashes && e.Load[i].Service == service {
			crashRoutes = append(crashRoutes, e.Load[i].Path)
		}
	}
	var faults []Fault
	for at := soakStart; ; {
		f := Fault{At: at, For: between(rng, minNotice, maxNotice), Kind: BackendFault, Service: service}
		if at+f.For > e.Duration-soakEnd {
			return faults
		}
		// The first servers leave for good, until they crash; one at a time leaves enough of them.
		if rng.IntN(4) == 0 && servers > 2 {
			f.Count, f.Behavior.Leaving = 1, true
		} else {
			f.Count = rng.IntN(servers + 1)
			f.Behavior.RateLimit = minRateLimit + rng.Float64()*rng.Float64()*(maxRateLimit-minRateLimit)
		}
		if len(crashRoutes) > 0 {
			f.Count = 0
			f.Behavior = btbackendstandin.Behavior{
				RateLimit: f.Behavior.RateLimit, CrashRoutes: crashRoutes,
				CrashAfter: between(rng, time.Millisecond, 100*time.Millisecond), RestartAfter: between(rng, time.Second, 4*time.Second),
			}
		}
		faults = append(faults, f)
		at += f.For + between(rng, minNodeFault, maxNodeFault)
	}
}

// soakFault returns a fault of nodes, a zone or the log, a third of those of the log once.
func (e *Experiment) soakFault(rng *rand.Rand, once btlogstandin.Faults) Fault {
	kinds := []FaultKind{KillNodes, DrainNodes, PauseNodes, LogFault, RefuseNodes}
	if e.Deployment.Relay {
		kinds = append(kinds, CutZone, FreezeZone)
	}
	f := Fault{Kind: kinds[rng.IntN(len(kinds))], For: between(rng, minNodeFault, maxNodeFault)}
	switch f.Kind {
	case KillNodes, DrainNodes, PauseNodes:
		f.Count = 1 + rng.IntN(3)
	case LogFault:
		f.LogFaults = btlogstandin.Faults{Outage: rng.IntN(2) == 0, LoseAnswers: rng.IntN(4)}
		if rng.IntN(3) == 0 {
			f.LogFaults = once
		}
	case RefuseNodes:
		f.For = between(rng, minNodeFault, maxRefusal)
		zones, modes := e.Deployment.Zones, btlogstandin.RefusalModes()
		f.Zone, f.Refusal = zones[rng.IntN(len(zones))], modes[rng.IntN(len(modes))]
		if f.Readers = rng.IntN(2) == 0; !f.Readers {
			f.Count = 1 + rng.IntN(3)
		} else if once.Silence && rng.IntN(2) == 0 {
			f.Zone = ""
		}
	case CutZone, FreezeZone:
		zones := e.Deployment.Zones
		f.Zone = zones[rng.IntN(len(zones))]
	}
	return f
}
