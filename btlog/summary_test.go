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
