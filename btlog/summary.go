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
)

// Period counts the requests of all nodes in one interval of time, by outcome.
type Period struct {
	From       time.Time      // start of the interval
	Asked      int            // requests of callers
	Answered   int            // requests answered by a backend server
	NotRun     int            // requests refused before they ran
	MayHaveRun int            // requests that failed and may have run
	Reasons    map[string]int `json:",omitempty"` // number of logged failures by reason
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
}

// periodLength is the length of a period, which is also the interval in which nodes
// log RequestsServed.
const periodLength = 5 * time.Second

// Read adds the lines of a log. It fails if r fails or a line is too long.
func (s *Summary) Read(r io.Reader) error {
	if s.periods == nil {
		s.periods = make(map[int64]*Period)
		s.inForce = make(map[uint64][]time.Time)
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
	case RequestRefused, RequestFailed:
		reason, _ := step.Fields["reason"].(string)
		s.period(step.Time).Reasons[reason]++
	case ConfigInForce:
		offset := uint64(step.count("offset"))
		s.inForce[offset] = append(s.inForce[offset], step.Time)
	}
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
	fmt.Fprintln(t, "from\tasked\tanswered\tnot run\tmay have run\tlogged failures by reason")
	for _, p := range s.Periods() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\n", p.From.UTC().Format(time.TimeOnly), p.Asked, p.Answered, p.NotRun, p.MayHaveRun, p.reasons())
	}
	fmt.Fprintln(t, "\nversion\tnodes\tfirst in force\tmedian after\tlast after")
	for _, spread := range s.Spreads() {
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\n", spread.Offset, spread.Nodes, spread.First.UTC().Format(time.TimeOnly),
			spread.Median.Round(time.Millisecond), spread.Last.Round(time.Millisecond))
	}
	fmt.Fprintf(t, "\n%d lines read, %d of them foreign or truncated\n", s.Lines, s.Foreign)
	return t.Flush()
}

// reasons returns the reasons with their counts, ordered by name.
func (p *Period) reasons() string {
	parts := make([]string, 0, len(p.Reasons))
	for _, reason := range slices.Sorted(maps.Keys(p.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, p.Reasons[reason]))
	}
	return strings.Join(parts, ", ")
}
