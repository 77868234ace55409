package btlog

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The summary adds up the counts of all nodes per period. It skips truncated and
// foreign lines and counts them.
func TestSummary(t *testing.T) {
	logs := []string{
		strings.Join([]string{
			`{"node":"a","event":"requests.served","asked":100,"answered":90,"not-run":8,"may-have-run":2,"time":1700000001000000}`,
			`{"node":"a","event":"request.refused","request":"r1","reason":"overload","time":1700000001000100}`,
			`{"node":"a","event":"config.in-force","offset":7,"time":1700000001000000}`,
			`{"node":"a","event":"req`,
		}, "\n"),
		strings.Join([]string{
			`  12.0 b {"node":"b","event":"requests.served","asked":50,"answered":50,"not-run":0,"may-have-run":0,"time":1700000004999999}`,
			`{"node":"b","event":"request.failed","request":"r2","reason":"deadline","time":1700000005000000}`,
			`{"node":"b","event":"config.in-force","offset":7,"time":1700000001250000}`,
			`{"node":"c","event":"config.in-force","offset":7,"time":1700000001090000}`,
			`panic: something else`,
		}, "\n"),
	}
	var s Summary
	for _, log := range logs {
		if err := s.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Unix(1700000000, 0).UTC()
	periods := []Period{
		{From: start, Asked: 150, Answered: 140, NotRun: 8, MayHaveRun: 2, Reasons: map[string]int{"overload": 1}},
		{From: start.Add(periodLength), Reasons: map[string]int{"deadline": 1}},
	}
	if diff := cmp.Diff(periods, s.Periods()); diff != "" {
		t.Errorf("periods (-want +got):\n%s", diff)
	}
	spreads := []Spread{{Offset: 7, Nodes: 3, First: start.Add(time.Second), Median: 90 * time.Millisecond, Last: 250 * time.Millisecond}}
	if diff := cmp.Diff(spreads, s.Spreads()); diff != "" {
		t.Errorf("spreads (-want +got):\n%s", diff)
	}
	if s.Lines != 9 || s.Foreign != 2 {
		t.Errorf("%d of %d lines foreign", s.Foreign, s.Lines)
	}
	var text strings.Builder
	if err := s.Print(&text); err != nil || !strings.Contains(text.String(), "overload 1") {
		t.Errorf("error %v, text\n%s", err, text.String())
	}
}

// The summary must show whether few nodes are given up by many or many by few, and the
// counts that the limit on lines does not touch.
func TestSummaryOfNodesGivenUp(t *testing.T) {
	log := strings.Join([]string{
		`{"node":"a","event":"requests.served","asked":9,"may-have-run":3,"failed-lost":3,"moves-lost":4,"retries-lost":1,"time":1700000001000000}`,
		`{"node":"a","event":"request.moved","from":"x","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"b","event":"request.retried","from":"x","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"b","event":"request.settled","to":"x","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"b","event":"request.settled","to":"x","reason":"connection-lost","settle-error":"timeout","time":1700000001000000}`,
		`{"node":"b","event":"request.failed","to":"x","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"c","event":"request.failed","to":"b","reason-from":"y","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"c","event":"request.refused","reason":"connection-lost","time":1700000001000000}`,
		`{"node":"d","event":"request.failed","to":"x","reason":"deadline","time":1700000001000000}`,
		`{"node":"d","event":"request.moved","from":"x","reason":"overload","time":1700000001000000}`,
	}, "\n")
	var s Summary
	if err := s.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	nodes, by := s.GivenUp()
	want := []GivenUp{{Node: "x", By: 2, Failed: 1, Moved: 2, Answered: 1}, {By: 1, Failed: 1}, {Node: "y", By: 1, Failed: 1}}
	if diff := cmp.Diff(want, nodes); diff != "" || by != 3 {
		t.Errorf("given up by %d nodes (-want +got):\n%s", by, diff)
	}
	periods := []Period{{
		From: time.Unix(1700000000, 0).UTC(), Asked: 9, MayHaveRun: 3, FailedLost: 3, MovesLost: 4, RetriesLost: 1,
		Reasons: map[string]int{"connection-lost": 3, "deadline": 1},
	}}
	if diff := cmp.Diff(periods, s.Periods()); diff != "" {
		t.Errorf("periods (-want +got):\n%s", diff)
	}
	var text strings.Builder
	if err := s.Print(&text); err != nil || !strings.Contains(text.String(), "connection-lost: 3 nodes were given up by 3\n") {
		t.Errorf("error %v, text\n%s", err, text.String())
	}
}
