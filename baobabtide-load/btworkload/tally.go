package btworkload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabtide/baobabtide"
)

const (
	maxLatency      = time.Minute // of the histograms, which omit longer latencies
	histogramDigits = 3           // significant decimal digits
	maxProblems     = 10
)

// Outcome is the result of a request for its caller, after its retries.
type Outcome uint8

// Outcomes of a request.
const (
	NoAnswer   Outcome = iota // the connection failed, the response had no verdict, or no node was running
	Whole                     // complete response of the service
	NotRun                    // refused, did not run
	MayHaveRun                // refused, may have run
	Failed                    // ran, and got an error of the service or no response of it
	outcomeCount
)

// Tally counts the outcomes of requests and the faults in their responses. All methods
// are safe for concurrent use.
type Tally struct {
	mu          sync.Mutex
	requests    int
	outcomes    [outcomeCount]int
	wrongCaller int
	truncated   int
	byVersion   map[string]int     // complete responses
	keys        map[string]Outcome // by idempotency key
	notRun      map[string]bool    // attempts that were refused with not-run, by caller
	givenUp     map[string]bool    // attempts that ended with connection-lost after they were sent, by caller
	quarantined int                // attempts of requests that crash no server, refused as quarantined
	suspect     int                // the same, refused as suspect
	mayHaveRun  map[baobabtide.Reason]int
	failed      map[baobabtide.Reason]int // the reason is empty for a response of the service
	via, direct *hdrhistogram.Histogram   // latencies in microseconds, through nodes and of direct requests
	problems    []string
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		byVersion: make(map[string]int),
		keys:      make(map[string]Outcome),
		notRun:    make(map[string]bool),
		givenUp:   make(map[string]bool),

		mayHaveRun: make(map[baobabtide.Reason]int),
		failed:     make(map[baobabtide.Reason]int),
		via:        hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		direct:     hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
	}
}

// addProblem stores a problem if fewer than maxProblems are stored. The calling method
// holds the lock.
func (t *Tally) addProblem(problem string) {
	if len(t.problems) < maxProblems {
		t.problems = append(t.problems, problem)
	}
}

// recordRequest records the outcome of a request, with an empty key for a request
// without one. The latency includes all attempts.
func (t *Tally) recordRequest(key string, last attemptResult, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.outcomes[last.outcome]++
	switch last.outcome {
	case MayHaveRun:
		t.mayHaveRun[last.reason]++
	case Failed:
		t.failed[last.reason]++
	}
	if last.outcome == Whole {
		t.byVersion[last.version]++
		_ = t.via.RecordValue(latency.Microseconds())
	}
	if key != "" {
		t.keys[key] = last.outcome
	}
}

// recordDirect records the latency of a direct request that succeeded.
func (t *Tally) recordDirect(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.direct.RecordValue(latency.Microseconds())
}

// recordAttempt records an attempt if it was refused with not-run or given up with
// connection-lost. caller identifies the attempt; the reason is empty unless it was refused.
func (t *Tally) recordAttempt(caller string, verdict baobabtide.Verdict, reason baobabtide.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case reason == "":
	case verdict == baobabtide.NotRun:
		t.notRun[caller] = true
	case reason == baobabtide.ReasonLost:
		t.givenUp[caller] = true
	}
}

// recordInnocent records the reason of an attempt of a request that crashes no backend server.
func (t *Tally) recordInnocent(reason baobabtide.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch reason {
	case baobabtide.ReasonQuarantined:
		t.quarantined++
	case baobabtide.ReasonSuspect:
		t.suspect++
	}
}

// Innocent returns how many attempts of requests that crash no backend server were refused as
// quarantined, and how many as suspect.
func (t *Tally) Innocent() (int, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantined, t.suspect
}

// recordWrongCaller counts a response that belongs to another caller.
func (t *Tally) recordWrongCaller(problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongCaller++
	t.addProblem(problem)
}

// recordTruncated counts a truncated response that was delivered as complete.
func (t *Tally) recordTruncated(problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.truncated++
	t.addProblem(problem)
}

// Summary holds the counts of a tally and of its comparison with the backend
// servers' records.
type Summary struct {
	Requests     int
	Whole        int
	WrongCaller  int
	PassedCut    int // truncated responses that were delivered as complete
	Doubled      int // keyed requests that ran more than once
	Lost         int // keyed requests that were answered and did not run
	FalseNotRun  int // attempts that were refused with not-run and did run
	MayHaveRun   int
	Reasons      map[baobabtide.Reason]int // of MayHaveRun
	GivenUp      int                       // attempts that ended with connection-lost after they were sent
	GivenUpRun   int                       // those of them that a backend server ran to the end
	GivenUpCut   int                       // those of them that a backend server was running until they were canceled
	RunsCanceled int                       // runs that were canceled, also those of attempts within nodes
	NotRun       int
	Failed       int
	FailReasons  map[baobabtide.Reason]int // of Failed, the reason is empty for a response of the service
	NoAnswer     int
	ByVersion    map[string]int          // complete responses
	Via, Direct  *hdrhistogram.Histogram // latencies in microseconds, through nodes and of direct requests
	Problems     []string
}

// Execution is a run of a request that a backend server recorded.
type Execution struct {
	Key    string // idempotency key, may be empty
	Caller string // value of btbackendstandin.HeaderCaller, which identifies the attempt

	Read     bool // of a GET or HEAD, which may run any number of times
	Canceled bool
}

// Summarize compares the tally with the runs that the backend servers recorded.
// If the records of a backend server are missing, complete is false and Lost is
// not counted.
func (t *Tally) Summarize(executions []Execution, complete bool) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Requests:    t.requests,
		Whole:       t.outcomes[Whole],
		WrongCaller: t.wrongCaller,
		PassedCut:   t.truncated,
		MayHaveRun:  t.outcomes[MayHaveRun],
		Reasons:     t.mayHaveRun,
		NotRun:      t.outcomes[NotRun],
		Failed:      t.outcomes[Failed],
		FailReasons: t.failed,
		NoAnswer:    t.outcomes[NoAnswer],
		ByVersion:   t.byVersion,
		Via:         t.via,
		Direct:      t.direct,
		Problems:    t.problems,
	}
	ran := make(map[string]int)
	s.countGivenUp(t.givenUp, executions)
	for _, e := range executions {
		if e.Read {
			continue
		}
		if e.Key != "" {
			ran[e.Key]++
		}
		if t.notRun[e.Caller] {
			s.FalseNotRun++
		}
	}
	for key, count := range ran {
		if count > 1 {
			s.Doubled++
			t.addProblem("key " + key + " ran more than once")
		}
	}
	for key, outcome := range t.keys {
		if complete && outcome == Whole && ran[key] == 0 {
			s.Lost++
			t.addProblem("key " + key + " was answered and did not run")
		}
	}
	s.Problems = t.problems
	return s
}

// countGivenUp compares the attempts that were given up with the runs.
func (s *Summary) countGivenUp(givenUp map[string]bool, executions []Execution) {
	complete := make(map[string]bool) // attempts with a run, whether one of them reached its end
	for _, e := range executions {
		if e.Canceled {
			s.RunsCanceled++
		}
		if givenUp[e.Caller] {
			complete[e.Caller] = complete[e.Caller] || !e.Canceled
		}
	}
	s.GivenUp = len(givenUp)
	for _, ended := range complete {
		if ended {
			s.GivenUpRun++
		} else {
			s.GivenUpCut++
		}
	}
}
