package btlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Period counts the requests of all nodes in one interval of time, by outcome.
type Period struct {
	From        time.Time      // start of the interval
	Asked       int            // requests of callers
	Answered    int            // requests answered by a backend server
	NotRun      int            // requests refused before they ran
	MayHaveRun  int            // requests that failed and may have run
	FailedLost  int            `json:",omitempty"` // failed requests, moves and retries with the reason connection-lost
	MovesLost   int            `json:",omitempty"`
	RetriesLost int            `json:",omitempty"`
	Reasons     map[string]int `json:",omitempty"` // number of logged failures by reason
}

// GivenUp counts the logged attempts at one node that failed with connection-lost.
type GivenUp struct {
	Node     string // empty if the lines don't name it
	By       int    // number of nodes that gave it up
	Failed   int    // requests that failed or were refused with this reason
	Moved    int    // requests that were moved or retried at another node
	Answered int    // attempts after which the node answered on a new connection
}

// Spread describes how long the nodes took, one after the other, to put one offset of
// the configuration in force.
type Spread struct {
	Offset uint64
	Nodes  int           // number of nodes that put it in force
	First  time.Time     // time of the first node
	Median time.Duration // delay of the median node after the first
	Last   time.Duration // delay of the last node after the first
}

// Summary aggregates the logs of several nodes over time. The zero value is empty.
type Summary struct {
	Lines   int // number of lines read
	Foreign int // number of those that could not be parsed: truncated, or not written by a node

	periods map[int64]*Period      // by start in Unix milliseconds
	inForce map[uint64][]time.Time // by offset of the configuration
	givenUp map[string]*givenUp    // by node that was given up
}

// givenUp is a GivenUp with the names of the nodes that gave the node up.
type givenUp struct {
	GivenUp
	by map[string]bool
}

// periodLength is the length of a period, which is also the interval in which nodes
// log RequestsServed.
const periodLength = 5 * time.Second

const maxPrintedGivenUp = 20 // nodes that Print lists, so that the table fits a screen

// Read adds the lines of a log. It fails if r fails or a line is too long.
func (s *Summary) Read(r io.Reader) error {
	if s.periods == nil {
		s.periods = make(map[int64]*Period)
		s.inForce = make(map[uint64][]time.Time)
		s.givenUp = make(map[string]*givenUp)
	}
	lines, foreign, err := scan(r, func(step Step, _ string) { s.add(&step) })
	s.Lines += lines
	s.Foreign += foreign
	return err
}

// add counts one line, if its event is one that the summary uses.
func (s *Summary) add(step *Step) {
	switch step.Event {
	case RequestsServed:
		p := s.period(step.Time)
		p.Asked += step.count("asked")
		p.Answered += step.count("answered")
		p.NotRun += step.count("not-run")
		p.MayHaveRun += step.count("may-have-run")
		p.FailedLost += step.count("failed-lost")
		p.MovesLost += step.count("moves-lost")
		p.RetriesLost += step.count("retries-lost")
	case RequestRefused, RequestFailed:
		s.period(step.Time).Reasons[step.text("reason")]++
		s.addGivenUp(step)
	case RequestMoved, RequestRetried, RequestSettled:
		s.addGivenUp(step)
	case ConfigInForce:
		offset := uint64(step.count("offset"))
		s.inForce[offset] = append(s.inForce[offset], step.Time)
	}
}

// addGivenUp counts a line about an attempt, if it failed with connection-lost.
func (s *Summary) addGivenUp(step *Step) {
	if step.text("reason") != string(baobabtide.ReasonLost) {
		return
	}
	node := step.givenUp()
	if step.Event == RequestSettled {
		node = step.text("to")
	}
	g := s.givenUp[node]
	if g == nil {
		g = &givenUp{GivenUp: GivenUp{Node: node}, by: make(map[string]bool)}
		s.givenUp[node] = g
	}
	g.by[step.Node] = true
	switch {
	case step.Event == RequestFailed || step.Event == RequestRefused:
		g.Failed++
	case step.Event == RequestMoved || step.Event == RequestRetried:
		g.Moved++
	case step.text("settle-error") == "":
		g.Answered++
	}
}

// GivenUp returns the nodes that were given up, most often first, and the number of nodes
// that gave any up.
func (s *Summary) GivenUp() ([]GivenUp, int) {
	nodes := make([]GivenUp, 0, len(s.givenUp))
	by := make(map[string]bool)
	for _, g := range s.givenUp {
		maps.Copy(by, g.by)
		g.By = len(g.by)
		nodes = append(nodes, g.GivenUp)
	}
	slices.SortFunc(nodes, func(a, b GivenUp) int {
		return cmp.Or(cmp.Compare(b.Failed+b.Moved, a.Failed+a.Moved), cmp.Compare(a.Node, b.Node))
	})
	return nodes, len(by)
}

// count returns the value of a numeric field, 0 if the line has none.
func (s *Step) count(field string) int {
	n, _ := s.Fields[field].(float64)
	return int(n)
}

// period returns the period that holds a time and creates it if necessary.
func (s *Summary) period(at time.Time) *Period {
	from := at.Truncate(periodLength)
	p := s.periods[from.UnixMilli()]
	if p == nil {
		p = &Period{From: from, Reasons: make(map[string]int)}
		s.periods[from.UnixMilli()] = p
	}
	return p
}

// Periods returns the periods ordered by time. Periods without lines are omitted.
func (s *Summary) Periods() []Period {
	periods := make([]Period, 0, len(s.periods))
	for _, p := range s.periods {
		periods = append(periods, *p)
	}
	slices.SortFunc(periods, func(a, b Period) int { return a.From.Compare(b.From) })
	return periods
}

// Spreads returns the spread of each offset of the configuration, ordered by offset. A
// node that starts later puts only the latest one in force and is not counted in the
// others.
func (s *Summary) Spreads() []Spread {
	spreads := make([]Spread, 0, len(s.inForce))
	for offset, times := range s.inForce {
		slices.SortFunc(times, time.Time.Compare)
		first := times[0]
		spreads = append(spreads, Spread{
			Offset: offset,
			Nodes:  len(times),
			First:  first,
			Median: times[len(times)/2].Sub(first),
			Last:   times[len(times)-1].Sub(first),
		})
	}
	slices.SortFunc(spreads, func(a, b Spread) int { return cmp.Compare(a.Offset, b.Offset) })
	return spreads
}

// Print writes the summary as text tables.
func (s *Summary) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "from\tasked\tanswered\tnot run\tmay have run\tlost: failed\tlost: moved\tlost: retried\tlogged failures by reason")
	for _, p := range s.Periods() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", p.From.UTC().Format(time.TimeOnly), p.Asked, p.Answered, p.NotRun, p.MayHaveRun,
			p.FailedLost, p.MovesLost, p.RetriesLost, p.reasons())
	}
	s.printGivenUp(t)
	fmt.Fprintln(t, "\nversion\tnodes\tfirst in force\tmedian after\tlast after")
	for _, spread := range s.Spreads() {
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\n", spread.Offset, spread.Nodes, spread.First.UTC().Format(time.TimeOnly),
			spread.Median.Round(time.Millisecond), spread.Last.Round(time.Millisecond))
	}
	fmt.Fprintf(t, "\n%d lines read, %d of them foreign or truncated\n", s.Lines, s.Foreign)
	return t.Flush()
}

// printGivenUp writes the table of the nodes that were given up, if any were.
func (s *Summary) printGivenUp(w io.Writer) {
	nodes, by := s.GivenUp()
	if len(nodes) == 0 {
		return
	}
	fmt.Fprintf(w, "\nconnection-lost: %d nodes were given up by %d\n", len(nodes), by)
	fmt.Fprintln(w, "node\tby nodes\tfailed\tmoved or retried\tanswered on a new connection")
	for _, g := range nodes[:min(len(nodes), maxPrintedGivenUp)] {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", cmp.Or(g.Node, "(not named)"), g.By, g.Failed, g.Moved, g.Answered)
	}
	if more := len(nodes) - maxPrintedGivenUp; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}

// reasons returns the reasons with their counts, ordered by name.
func (p *Period) reasons() string {
	parts := make([]string, 0, len(p.Reasons))
	for _, reason := range slices.Sorted(maps.Keys(p.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, p.Reasons[reason]))
	}
	return strings.Join(parts, ", ")
}
