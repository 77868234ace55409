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
	Failed                    // error response of the service
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
	byVersion   map[string]int          // complete responses
	keys        map[string]Outcome      // by idempotency key
	notRun      map[string]bool         // attempts that were refused with not-run, by caller
	via, direct *hdrhistogram.Histogram // latencies in microseconds, through nodes and of direct requests
	problems    []string
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		byVersion: make(map[string]int),
		keys:      make(map[string]Outcome),
		notRun:    make(map[string]bool),
		via:       hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		direct:    hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
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
func (t *Tally) recordRequest(key string, outcome Outcome, version string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.outcomes[outcome]++
	if outcome == Whole {
		t.byVersion[version]++
		_ = t.via.RecordValue(latency.Microseconds())
	}
	if key != "" {
		t.keys[key] = outcome
	}
}

// recordDirect records the latency of a direct request that succeeded.
func (t *Tally) recordDirect(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.direct.RecordValue(latency.Microseconds())
}

// recordAttempt records an attempt if it was refused with not-run. caller identifies the
// attempt.
func (t *Tally) recordAttempt(caller string, verdict baobabtide.Verdict, refused bool) {
	if !refused || verdict != baobabtide.NotRun {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun[caller] = true
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
	Requests    int
	Whole       int
	WrongCaller int
	PassedCut   int // truncated responses that were delivered as complete
	Doubled     int // keyed requests that ran more than once
	Lost        int // keyed requests that were answered and did not run
	FalseNotRun int // attempts that were refused with not-run and did run
	MayHaveRun  int
	NotRun      int
	Failed      int
	NoAnswer    int
	ByVersion   map[string]int          // complete responses
	Via, Direct *hdrhistogram.Histogram // latencies in microseconds, through nodes and of direct requests
	Problems    []string
}

// Execution is a run of a request that a backend server recorded.
type Execution struct {
	Key    string // idempotency key, may be empty
	Caller string // value of btbackendstandin.HeaderCaller, which identifies the attempt
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
		NotRun:      t.outcomes[NotRun],
		Failed:      t.outcomes[Failed],
		NoAnswer:    t.outcomes[NoAnswer],
		ByVersion:   t.byVersion,
		Via:         t.via,
		Direct:      t.direct,
		Problems:    t.problems,
	}
	ran := make(map[string]int)
	for _, e := range executions {
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
