package btnode

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// Each line holds the counts since the previous one, and those with connection-lost apart.
// A period without requests has no line.
func TestServedCountsAreLoggedPerPeriod(t *testing.T) {
	var out bytes.Buffer
	n := idleNode(t, zerolog.New(&out))
	c := &n.dispatch.Counters
	c.Requests.Add(20)
	c.Moves.Add(5)
	previous := n.logServed(servedCounts{})
	out.Reset()

	c.Requests.Add(100)
	c.Answered.Add(90)
	c.NotRun.Add(3)
	c.MayHaveRun.Add(7)
	c.Moves.Add(12)
	c.Retries.Add(8)
	c.FailedLost.Add(6)
	c.MovesLost.Add(4)
	c.RetriesLost.Add(2)
	previous = n.logServed(previous)
	n.logServed(previous)

	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("not one line: %v\n%s", err, out.String())
	}
	want := map[string]any{
		"level": "info", "node": "n", "event": "requests.served", "asked": 100., "answered": 90., "not-run": 3., "may-have-run": 7.,
		"failed-lost": 6., "moves": 12., "moves-lost": 4., "retries": 8., "retries-lost": 2., "running": 0., "config": 0.,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}

// TestUnknownKeysAreLogged guards against requests that are refused for their keys without a line:
// a line for each would let unknown clients crowd out all others.
func TestUnknownKeysAreLogged(t *testing.T) {
	var out bytes.Buffer
	n := idleNode(t, zerolog.New(&out))
	n.dispatch.Counters.Requests.Add(7)
	n.dispatch.Counters.UnknownKeys.Add(7)
	n.logServed(n.logServed(servedCounts{}))
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("not one line: %v\n%s", err, out.String())
	}
	if diff := cmp.Diff(any(7.), got["unknown-key"]); diff != "" {
		t.Errorf("requests with an unknown key (-want +got):\n%s", diff)
	}
}
