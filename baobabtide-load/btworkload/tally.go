package btworkload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabtide/baobabtide"
)

const (
	maxLatency       = time.Minute
	histogramDigits  = 3
	maxNotedProblems = 10
)

// Ending is how a request ended for its caller, after its repeats.
type Ending uint8

// Endings.
const (
	NoAnswer   Ending = iota // the connection broke, or there was no node to ask
	Whole                    // the whole answer of the service
	NotRun                   // refused, has not run
	MayHaveRun               // refused, may have run
	Failed                   // answered with an error by the service
	endingCount
)

// Tally counts what callers saw. All methods are safe for concurrent use.
type Tally struct {
	mu          sync.Mutex
	requests    int
	endings     [endingCount]int
	wrongCaller int
	truncated   int
	byVersion   map[string]int    // whole answers
	keys        map[string]Ending // by key of a booking
	notRun      map[string]bool   // callers' names of tries that were told not-run
	via, direct *hdrhistogram.Histogram
	problems    []string
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		byVersion: make(map[string]int),
		keys:      make(map[string]Ending),
		notRun:    make(map[string]bool),
		via:       hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		direct:    hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
	}
}

func (t *Tally) note(problem string) {
	if len(t.problems) < maxNotedProblems {
		t.problems = append(t.problems, problem)
	}
}

// end counts a request. The key is empty where it has none.
func (t *Tally) end(key string, ending Ending, version string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.endings[ending]++
	if ending == Whole {
		t.byVersion[version]++
		_ = t.via.RecordValue(latency.Microseconds())
	}
	if key != "" {
		t.keys[key] = ending
	}
}

func (t *Tally) recordDirect(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.direct.RecordValue(latency.Microseconds())
}

// try counts one try of a request.
func (t *Tally) try(caller string, verdict baobabtide.Verdict, refused bool) {
	if !refused || verdict != baobabtide.NotRun {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun[caller] = true
}

func (t *Tally) wrong(problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongCaller++
	t.note(problem)
}

func (t *Tally) cut(problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.truncated++
	t.note(problem)
}

// Summary is what a tally holds, compared with what backend servers recorded.
type Summary struct {
	Requests    int
	Whole       int
	WrongCaller int
	PassedCut   int // answers that were cut short and passed for whole
	Doubled     int // bookings that ran more than once
	Lost        int // bookings that were answered and did not run
	FalseNotRun int // tries that were told not-run and ran
	MayHaveRun  int
	NotRun      int
	Failed      int
	NoAnswer    int
	ByVersion   map[string]int
	Via, Direct *hdrhistogram.Histogram
	Problems    []string
}

// Execution is one execution of a booking that a backend server recorded.
type Execution struct {
	Key    string
	Caller string
}

// Summarize compares the tally with the executions of bookings. Where the
// record of a backend server is lost, complete is false and Lost is not
// counted.
func (t *Tally) Summarize(executions []Execution, complete bool) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Requests:    t.requests,
		Whole:       t.endings[Whole],
		WrongCaller: t.wrongCaller,
		PassedCut:   t.truncated,
		MayHaveRun:  t.endings[MayHaveRun],
		NotRun:      t.endings[NotRun],
		Failed:      t.endings[Failed],
		NoAnswer:    t.endings[NoAnswer],
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
			t.note("key " + key + " ran more than once")
		}
	}
	for key, ending := range t.keys {
		if complete && ending == Whole && ran[key] == 0 {
			s.Lost++
			t.note("key " + key + " was answered and did not run")
		}
	}
	s.Problems = t.problems
	return s
}
