package btlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/baobabtide/baobabtide"
)

const maxLineBytes = 64 << 10 // bytes of a line; scan fails on a longer one

// Step is one line of a node's log.
type Step struct {
	Time   time.Time
	Node   string
	Event  Event
	Fields map[string]any // all fields except time, node, event, level and request
}

// RequestTrace collects the lines about one request from the logs of several nodes.
type RequestTrace struct {
	Request string // ID of the request
	Steps   []Step // ordered by time; the clocks of VMs differ slightly
	Lines   int    // number of lines read
	Foreign int    // number of those that could not be parsed: truncated, or not written by a node
}

// Read adds the lines of a log that concern the request. Text before the
// JSON of a line is ignored. Read fails if r fails or a line is too long.
func (t *RequestTrace) Read(r io.Reader) error {
	lines, foreign, err := scan(r, func(step Step, request string) {
		if request == t.Request {
			t.Steps = append(t.Steps, step)
		}
	})
	t.Lines += lines
	t.Foreign += foreign
	slices.SortStableFunc(t.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return err
}

// scan calls visit for each line that a node wrote, with the ID of its request, empty
// if it has none. It returns the number of lines and the number of those that could not
// be parsed.
func scan(r io.Reader, visit func(step Step, request string)) (int, int, error) {
	lines, foreign := 0, 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		lines++
		step, request, ok := parse(scanner.Bytes())
		if !ok {
			foreign++
			continue
		}
		visit(step, request)
	}
	if err := scanner.Err(); err != nil {
		return lines, foreign, fmt.Errorf("read log after %d lines: %w", lines, err)
	}
	return lines, foreign, nil
}

// parse decodes a line. It returns the step, the ID of its request, empty if it has
// none, and whether a node wrote the line.
func parse(line []byte) (Step, string, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Step{}, "", false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Step{}, "", false
	}
	event, _ := fields["event"].(string)
	node, _ := fields["node"].(string)
	micros, _ := fields["time"].(float64)
	request, _ := fields["request"].(string)
	if event == "" || node == "" {
		return Step{}, "", false
	}
	for _, name := range []string{"event", "node", "time", "level", "request"} {
		delete(fields, name)
	}
	return Step{Time: time.UnixMicro(int64(micros)).UTC(), Node: node, Event: Event(event), Fields: fields}, request, true
}

// Cause returns a sentence that says why the request failed: the failure that the
// node beside the target logged for the last attempt, or else the latest failure
// in the logs. A run that was canceled by the node that sent it is no cause of its own.
func (t *RequestTrace) Cause() string {
	final := t.latest(func(s *Step) bool { return s.Event == RequestFailed || s.Event == RequestRefused })
	var step *Step
	if final != nil {
		step = t.lastAttempt(final)
	}
	if step == nil && final != nil {
		step = t.latest(func(s *Step) bool { return s.cause() != "" && !s.canceledAtTarget() })
	}
	if step == nil {
		step = t.latest(func(s *Step) bool { return s.cause() != "" && s.Event != RequestMoved && s.Event != RequestRetried })
	}
	if step == nil {
		return "the logs hold no failure of this request"
	}
	return step.cause() + t.signsOfLife(step.givenUp())
}

// latest returns the latest step that matches, nil if none does.
func (t *RequestTrace) latest(matches func(s *Step) bool) *Step {
	for i := range slices.Backward(t.Steps) {
		if matches(&t.Steps[i]) {
			return &t.Steps[i]
		}
	}
	return nil
}

// lastAttempt returns the line of the node beside the target about the last attempt before
// an error response to the caller. It returns nil if there is none or if the response
// holds the error of an earlier attempt.
func (t *RequestTrace) lastAttempt(final *Step) *Step {
	attempt := final.Fields["attempt"]
	if attempt == nil || final.text("reason-from") != "" {
		return nil
	}
	return t.latest(func(s *Step) bool {
		return s.atTarget() && !s.canceledAtTarget() && s.Fields["attempt"] == attempt
	})
}

// signsOfLife returns what the logs hold against the finding that a node does not answer,
// as further parts of a sentence. It is empty if they hold nothing or node is empty.
func (t *RequestTrace) signsOfLife(node string) string {
	if node == "" {
		return ""
	}
	text := ""
	if t.latest(func(s *Step) bool { return s.atTarget() && s.Node == node }) != nil {
		text += fmt.Sprintf("; the request had reached %s", node)
	}
	settled := t.latest(func(s *Step) bool { return s.Event == RequestSettled && s.text("to") == node })
	switch {
	case settled == nil:
	case settled.text("settle-error") == "":
		text += fmt.Sprintf("; %s answered on a new connection after %v ms: %s", node, settled.Fields["took-ms"], settled.text("verdict"))
	default:
		text += fmt.Sprintf("; nor did %s answer on a new connection: %s", node, settled.text("settle-error"))
	}
	return text
}

// text returns the value of a text field, empty if the line has none.
func (s *Step) text(field string) string {
	value, _ := s.Fields[field].(string)
	return value
}

// canceledAtTarget reports whether the node beside a target logged that the attempt was
// canceled, which the node that sent it does when it gives up.
func (s *Step) canceledAtTarget() bool {
	return s.atTarget() && s.text("reason") == string(baobabtide.ReasonCanceled)
}

// givenUp returns the node whose connection was lost, according to a line of the node that
// had sent it the request. It is empty if the line reports no such failure, or if it
// was written before nodes were named.
func (s *Step) givenUp() string {
	if s.text("reason") != string(baobabtide.ReasonLost) {
		return ""
	}
	switch s.Event {
	case RequestFailed, RequestRefused:
		return cmp.Or(s.text("reason-from"), s.text("to"))
	case RequestMoved, RequestRetried:
		return s.text("from")
	default:
		return ""
	}
}

// atTarget reports whether the node beside a target wrote the line.
func (s *Step) atTarget() bool { return s.Event == AdmitRefused || s.Event == AdmitLost }

// cause describes the failure that a line reports. It is empty if the line reports
// none.
func (s *Step) cause() string {
	reason, cause := s.text("reason"), s.text("cause")
	if node := s.givenUp(); node != "" {
		if s.text("reason-from") != "" {
			cause = "" // of the last attempt, not of the one at this node
		}
		return strings.TrimSuffix(fmt.Sprintf("%s gave up %s: %s: %s", s.Node, node, reason, cause), ": ")
	}
	switch s.Event {
	case AdmitRefused:
		return fmt.Sprintf("%s refused it: %s (running %v of %v, waiting %v, a run takes %v ms)",
			s.Node, reason, s.Fields["running"], s.Fields["limit"], s.Fields["waiting"], s.Fields["work-ms"])
	case AdmitLost:
		return fmt.Sprintf("the backend server beside %s sent no complete answer: %s: %s", s.Node, reason, cause)
	case RequestFailed, RequestRefused:
		if reason == "overload" || reason == "deadline" && cause == "" {
			return "" // the lines of the nodes beside the targets hold the details
		}
		return strings.TrimSuffix(fmt.Sprintf("%s: %s", reason, cause), ": ")
	default:
		return ""
	}
}

// Print writes the cause and the steps as text.
func (t *RequestTrace) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n", t.Request, t.Cause())
	for i := range t.Steps {
		step := &t.Steps[i]
		fmt.Fprintf(&text, "%8.1f ms  %-20s %-16s", float64(step.Time.Sub(t.Steps[0].Time).Microseconds())/1000, step.Node, step.Event)
		names := make([]string, 0, len(step.Fields))
		for name := range step.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&text, " %s=%v", name, step.Fields[name])
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "%d lines read, %d of them foreign or truncated\n", t.Lines, t.Foreign)
	_, err := io.WriteString(w, text.String())
	return err
}
