package btlog

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	refusedCaller = `{"level":"info","node":"b-5","event":"request.refused","request":"r1","verdict":"not-run","reason":"overload","moves":1,"time":1775550542368057}`
	refusedTarget = `  11.33 b-2 {"level":"info","node":"b-2","event":"admit.refused","request":"r1","reason":"overload","running":13,"waiting":4,"limit":13,"work-ms":104.7,"time":1775550542367537}`
	lostCaller    = `{"level":"info","node":"c-1","event":"request.failed","request":"r2","verdict":"may-have-run","reason":"connection-lost","cause":"the node does not answer on this connection","time":1775550532407899}`
	lateTarget    = `{"level":"info","node":"b-2","event":"admit.lost","request":"r3","reason":"deadline","cause":"read response: timeout","time":1775550531458000}`
	lateCaller    = `{"level":"info","node":"b-2","event":"request.failed","request":"r3","reason":"deadline","time":1775550531458962}`
	shedTarget    = `{"level":"info","node":"b-2","event":"admit.refused","request":"r5","attempt":"c-1.1","reason":"overload","running":1,"waiting":0,"limit":4,"work-ms":50,"time":1775550531458100}`
	shedCaller    = `{"level":"info","node":"c-1","event":"request.refused","request":"r5","attempt":"c-1.1","reason":"overload","cause":"no target for version \"*\" of service \"s\" is left","time":1775550531458900}`
	movedTarget   = `{"level":"info","node":"b-2","event":"admit.refused","request":"r6","attempt":"c-1.2","reason":"overload","time":1775550531458100}`
	movedCaller   = `{"level":"info","node":"c-1","event":"request.failed","request":"r6","attempt":"c-1.3","reason":"connection-lost","cause":"the node does not answer on this connection","time":1775550531458900}`
	truncated     = `{"level":"info","node":"b-2","event":"req`
)

// Cause must find the cause of each kind of failure in the logs of several nodes,
// read in any order and with truncated and foreign lines among them.
func TestExplain(t *testing.T) {
	logs := []string{
		strings.Join([]string{refusedCaller, "panic: something else", lostCaller, shedCaller, movedCaller}, "\n"),
		strings.Join([]string{lateCaller, refusedTarget, truncated, lateTarget, shedTarget, movedTarget}, "\n"),
	}
	tests := map[string]struct {
		steps int
		cause string
	}{
		"r1": {2, "b-2 refused it: overload (running 13 of 13, waiting 4, a run takes 104.7 ms)"},
		"r2": {1, "connection-lost: the node does not answer on this connection"},
		"r3": {2, "the backend server beside b-2 sent no complete answer: deadline: read response: timeout"},
		"r5": {2, "b-2 refused it: overload (running 1 of 4, waiting 0, a run takes 50 ms)"},
		"r6": {2, "connection-lost: the node does not answer on this connection"},
		"r4": {0, "the logs hold no failure of this request"},
	}
	for id, tt := range tests {
		t.Run(id, func(t *testing.T) {
			trace := &RequestTrace{Request: id}
			for _, log := range logs {
				if err := trace.Read(strings.NewReader(log)); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tt.cause, trace.Cause()); diff != "" {
				t.Errorf("cause (-want +got):\n%s", diff)
			}
			if len(trace.Steps) != tt.steps || trace.Foreign != 2 || trace.Lines != 11 {
				t.Errorf("%d steps, %d of %d lines foreign", len(trace.Steps), trace.Foreign, trace.Lines)
			}
			if tt.steps == 2 && trace.Steps[0].Time.After(trace.Steps[1].Time) {
				t.Error("the steps are not ordered by time")
			}
		})
	}
}

// If the caller's node gave up another node, Cause must name both, and what speaks against
// the finding: the run that the node given up was told to cancel is not the cause.
func TestExplainNodeGivenUp(t *testing.T) {
	const (
		failed   = `{"node":"c-3","event":"request.failed","attempt":"c-3.1","to":"c-19","verdict":"may-have-run","reason":"connection-lost","cause":"no answer","time":3}`
		earlier  = `{"node":"c-3","event":"request.failed","attempt":"c-3.2","to":"b-2","reason-from":"c-19","reason":"connection-lost","last":"overload","cause":"queue is full","time":5}`
		overload = `{"node":"c-3","event":"request.refused","attempt":"c-3.1","to":"c-19","reason":"overload","cause":"no target is left","time":3}`
		moved    = `{"node":"c-3","event":"request.moved","attempt":"c-3.1","from":"c-19","reason":"connection-lost","cause":"no answer","time":2}`
		retried  = `{"node":"c-3","event":"request.retried","attempt":"c-3.1","from":"c-19","reason":"connection-lost","cause":"no answer","time":2}`
		settled  = `{"node":"c-3","event":"request.settled","attempt":"c-3.1","to":"c-19","verdict":"may-have-run","reason":"connection-lost","took-ms":80.5,"time":2}`
		silent   = `{"node":"c-3","event":"request.settled","attempt":"c-3.1","to":"c-19","verdict":"may-have-run","reason":"connection-lost","took-ms":900,"settle-error":"dial: timeout","time":2}`
		canceled = `{"node":"c-19","event":"admit.lost","attempt":"c-3.1","verdict":"may-have-run","reason":"canceled","cause":"context canceled","time":4}`
		refused  = `{"node":"b-2","event":"admit.refused","attempt":"c-3.2","reason":"overload","time":4}`
	)
	const gaveUp = "c-3 gave up c-19: connection-lost"
	tests := map[string]struct {
		lines []string
		cause string
	}{
		"at work":                  {[]string{failed, canceled}, gaveUp + ": no answer; the request had reached c-19"},
		"answers when asked again": {[]string{settled, failed, canceled}, gaveUp + ": no answer; the request had reached c-19; c-19 answered on a new connection after 80.5 ms: may-have-run"},
		"does not answer at all":   {[]string{silent, failed}, gaveUp + ": no answer; nor did c-19 answer on a new connection: dial: timeout"},
		"error of earlier attempt": {[]string{retried, earlier, refused}, gaveUp},
		"moved, then no target":    {[]string{moved, overload}, gaveUp + ": no answer"},
		"moved and answered":       {[]string{moved}, "the logs hold no failure of this request"},
		"only the target's line":   {[]string{canceled}, "the backend server beside c-19 sent no complete answer: canceled: context canceled"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			trace := &RequestTrace{Request: "r"}
			log := strings.ReplaceAll(strings.Join(tt.lines, "\n"), `,"attempt"`, `,"request":"r","attempt"`)
			if err := trace.Read(strings.NewReader(log)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.cause, trace.Cause()); diff != "" {
				t.Errorf("cause (-want +got):\n%s", diff)
			}
		})
	}
}
