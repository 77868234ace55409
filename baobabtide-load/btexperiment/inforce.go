package btexperiment

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-load/btdeploy"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btlog"
)

// Bounds on the time from the acknowledgement of a change until it is in force at a node.
// They are those that the users hold the product to.
const (
	configApply      = 2 * time.Second // users' configApplyMs: at a node that is undisturbed
	stableWindow     = 3 * time.Second // users' stableWindowMs: without a disturbance, after which a node counts as undisturbed
	partitionStretch = 5 * time.Second // users' partitionStretchMs: added while the log is down
)

// starvedPeriod is the period in which a process counts as starved if its threads wait for
// a processor at least as long in total. It is long enough to read the times of 200 nodes.
const starvedPeriod = time.Second

const maxLateNodes = 3 // nodes named for each late change, so that a line stays readable

// span is a period of time.
type span struct {
	from, to time.Time // to is zero while the period lasts
}

// overlaps reports whether the span shares a moment with the period from from to to.
func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// disturbances records when faults kept nodes or the log from doing their work. All methods
// are safe for concurrent use. The zero value is ready to use.
type disturbances struct {
	mu      sync.Mutex
	log     []*span
	nodes   map[string][]*span
	starved []starvation // in the order of time
}

// starvation is a period in which threads of processes waited for a processor all the time.
type starvation struct {
	span

	all   bool            // the log or the relay, without which no node works
	nodes map[string]bool // the others that waited
}

// beginLog records that the log is down until the returned function is called.
func (d *disturbances) beginLog() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &span{from: time.Now()}
	d.log = append(d.log, s)
	return func() { d.end(s) }
}

// begin records that nodes are down, paused, cut off or refused by the log until the
// returned function is called.
func (d *disturbances) begin(nodes []*btdeploy.Node) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nodes == nil {
		d.nodes = make(map[string][]*span)
	}
	s := &span{from: time.Now()}
	for _, n := range nodes {
		d.nodes[n.Name] = append(d.nodes[n.Name], s)
	}
	return func() { d.end(s) }
}

func (d *disturbances) end(s *span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.to = time.Now()
}

// addStarved records a starvation, which must be later than those before.
func (d *disturbances) addStarved(s starvation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starved = append(d.starved, s)
}

// starvedTime returns the time in which the machine starved a node, summed over the nodes.
func (d *disturbances) starvedTime(nodes []*btdeploy.Node) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total time.Duration
	for _, s := range d.starved {
		for _, n := range nodes {
			if s.all || s.nodes[n.Name] {
				total += s.to.Sub(s.from)
			}
		}
	}
	return total
}

// after returns when a duration has passed since from, without the time in which the machine
// starved the node, the log or the relay. The caller holds the lock.
func (d *disturbances) after(node string, from time.Time, duration time.Duration) time.Time {
	end := from.Add(duration)
	for _, s := range d.starved {
		if (s.all || s.nodes[node]) && s.overlaps(from, end) {
			end = end.Add(s.to.Sub(s.from) - max(0, from.Sub(s.from)))
		}
	}
	return end
}

// due returns the time at which a change that was acknowledged at acked must be in force at
// a node. It returns false if the node stays disturbed.
func (d *disturbances) due(node string, acked time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := d.after(node, acked, configApply)
	if slices.ContainsFunc(d.log, func(s *span) bool { return s.overlaps(acked, due) }) {
		due = d.after(node, acked, configApply+partitionStretch)
	}
	spans := d.nodes[node]
	for i := 0; i < len(spans); i++ {
		if !spans[i].overlaps(due.Add(-stableWindow), due) {
			continue
		}
		if spans[i].to.IsZero() {
			return time.Time{}, false
		}
		due = d.after(node, spans[i].to, stableWindow)
		i = -1 // the later time may overlap with a span that the earlier one did not
	}
	return due, true
}

// step is a configuration that a node put in force.
type step struct {
	at     time.Time
	offset baobabtide.Offset // 0 when the process starts
}

// readSteps returns what a node put in force according to the log that it wrote, oldest
// first.
func readSteps(path string) ([]step, error) {
	inForce, err := readInForce(path)
	return inForce.offsets, err
}

// history is what a node put in force, oldest first: by offsets, and by the publishers' revisions in place of
// these.
type history struct {
	offsets, revisions []step

	unrevised bool // a process of an earlier version did not log revisions
}

// readInForce returns what a node put in force according to the log that it wrote.
func readInForce(path string) (history, error) {
	var inForce history
	file, err := os.Open(path)
	if err != nil {
		return inForce, fmt.Errorf("read log of a node: %w", err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(btlog.ConfigInForce)) && !bytes.Contains(scanner.Bytes(), []byte(btlog.NodeStarted)) {
			continue
		}
		var line struct {
			Event    btlog.Event        `json:"event"`
			Offset   baobabtide.Offset  `json:"offset"`
			Revision *baobabtide.Offset `json:"revision"`
			Micros   int64              `json:"time"`
		}
		// A line that was truncated when its process was killed is before that of the next one.
		text := scanner.Bytes()
		if err := json.Unmarshal(text[max(0, bytes.LastIndexByte(text, '{')):], &line); err != nil {
			continue
		}
		switch line.Event {
		case btlog.ConfigInForce, btlog.NodeStarted:
			inForce.offsets = append(inForce.offsets, step{at: time.UnixMicro(line.Micros), offset: line.Offset})
			revision := step{at: time.UnixMicro(line.Micros)}
			if line.Revision != nil {
				revision.offset = *line.Revision
			} else if line.Event == btlog.ConfigInForce {
				inForce.unrevised = true
			}
			inForce.revisions = append(inForce.revisions, revision)
		}
	}
	if err := scanner.Err(); err != nil {
		return inForce, fmt.Errorf("read log of a node: %w", err)
	}
	return inForce, nil
}

// wentBack returns how often a process put a configuration in force that is older than the
// one before.
func wentBack(steps []step) int {
	count := 0
	highest := baobabtide.Offset(0) // of the process
	for _, s := range steps {
		if s.offset == 0 {
			highest = 0
			continue
		}
		if s.offset < highest {
			count++
		}
		highest = max(highest, s.offset)
	}
	return count
}

// lateness returns how long after due a change came into force at a node, until end if it
// did not, and whether it did.
func lateness(steps []step, offset baobabtide.Offset, due, end time.Time) (time.Duration, bool) {
	current := baobabtide.Offset(0)
	for _, s := range steps {
		if s.at.After(due) {
			if current >= offset {
				return 0, true
			}
			if s.offset >= offset {
				return s.at.Sub(due), true
			}
		}
		current = s.offset
	}
	if current >= offset {
		return 0, true
	}
	return end.Sub(due), false
}

// lateNode is a node at which a change was not in force in time.
type lateNode struct {
	name    string
	by      time.Duration // until the end of the observation unless inForce is set
	inForce bool
}

// String returns the node and how late it was.
func (n *lateNode) String() string {
	if !n.inForce {
		return fmt.Sprintf("%s not after %s", n.name, n.by.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s %s late", n.name, n.by.Round(time.Millisecond))
}

// findLate returns a line about each change that was not in force in time at all nodes, with
// the latest nodes first. started is the start of the load, end that of the observation, name what the
// offsets of acks and nodes are.
func findLate(name string, acks []btlogstandin.Ack, nodes map[string][]step, d *disturbances, started, end time.Time) []string {
	var lines []string
	for _, ack := range acks {
		var late []lateNode
		for node, steps := range nodes {
			due, ok := d.due(node, ack.Time)
			if !ok || due.After(end) {
				continue
			}
			if by, inForce := lateness(steps, ack.Offset, due, end); by > 0 {
				late = append(late, lateNode{node, by, inForce})
			}
		}
		if len(late) == 0 {
			continue
		}
		slices.SortFunc(late, func(a, b lateNode) int { return cmp.Or(cmp.Compare(b.by, a.by), strings.Compare(a.name, b.name)) })
		var text strings.Builder
		fmt.Fprintf(&text, "change at %s %s, acknowledged at %s: ", name, ack.Offset, ack.Time.Sub(started).Round(time.Millisecond))
		for i := range late[:min(len(late), maxLateNodes)] {
			if i > 0 {
				text.WriteString(", ")
			}
			text.WriteString(late[i].String())
		}
		if len(late) > maxLateNodes {
			fmt.Fprintf(&text, " and %d more nodes", len(late)-maxLateNodes)
		}
		lines = append(lines, text.String())
	}
	return lines
}

// checkInForce adds to the result which changes that were acknowledged since the start of
// the load were not in force in time, and whether a process went back to an older one.
func (r *Runner) checkInForce(result *Result, started, end time.Time) error {
	acks, err := r.deployment.Acks()
	if err != nil {
		return err
	}
	acks = slices.DeleteFunc(acks, func(a btlogstandin.Ack) bool { return a.Time.Before(started) })
	nodes, revisions := make(map[string][]step), make(map[string][]step)
	for _, n := range r.deployment.Nodes {
		inForce, err := readInForce(r.deployment.Output(n))
		if err != nil {
			return err
		}
		nodes[n.Name] = inForce.offsets
		*result.WentBack += wentBack(inForce.offsets)
		if !inForce.unrevised {
			revisions[n.Name] = inForce.revisions
			*result.WentBack += wentBack(inForce.revisions)
		}
	}
	result.LateChanges = slices.Concat(
		findLate("offset", acks, nodes, &r.disturbances, started, end),
		findLate("revision", r.published, revisions, &r.disturbances, started, end),
	)
	acked, late := len(acks), len(result.LateChanges)
	starved := r.disturbances.starvedTime(r.deployment.Nodes).Seconds() / end.Sub(started).Seconds() / float64(len(nodes))
	result.Acknowledged, result.Late, result.StarvedShare = &acked, &late, &starved
	return nil
}

// watchProcessors records when the machine starves processes, until ctx ends. It returns an
// error if the system does not tell.
func (r *Runner) watchProcessors(ctx context.Context) error {
	last, at := map[int]time.Duration{}, time.Now()
	for {
		delays, err := r.deployment.RunDelays()
		if err != nil {
			return err
		}
		current, now := make(map[int]time.Duration, len(delays)), time.Now()
		s := starvation{span: span{from: at, to: now}, nodes: make(map[string]bool)}
		for _, delay := range delays {
			current[delay.PID] = delay.Waited
			before, ok := last[delay.PID]
			switch {
			case !ok || delay.Waited-before < now.Sub(at):
			case delay.Node == nil:
				s.all = true
			default:
				s.nodes[delay.Node.Name] = true
			}
		}
		if s.all || len(s.nodes) > 0 {
			r.disturbances.addStarved(s)
		}
		last, at = current, now
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(starvedPeriod):
		}
	}
}
