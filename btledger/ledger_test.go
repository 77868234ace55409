package btledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

var now = time.Unix(10_000, 0)

// result is what Begin answers.
type result struct {
	Run     bool
	Body    string
	Verdict baobabtide.Verdict
	Reason  baobabtide.Reason
}

func begin(l *Ledger, attempt, key string, at time.Time) result {
	answer, refusal := l.Begin(attempt, key, at)
	switch {
	case refusal != nil:
		return result{Verdict: refusal.Verdict, Reason: refusal.Reason}
	case answer != nil:
		return result{Body: string(answer.Body)}
	default:
		return result{Run: true}
	}
}

// Each case states what a repeat of key "k" gets after the first attempt.
func TestRepeatOfAKey(t *testing.T) {
	done := func(body string) *Answer { return &Answer{Status: 200, Body: []byte(body)} }
	tests := map[string]struct {
		first func(l *Ledger)
		after time.Duration
		want  result
	}{
		"unknown":       {func(*Ledger) {}, 0, result{Run: true}},
		"running":       {func(*Ledger) {}, -1, result{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonDuplicateKey}},
		"answered":      {func(l *Ledger) { l.End("1", "k", baobabtide.Ran, done("ok")) }, 0, result{Body: "ok"}},
		"too large":     {func(l *Ledger) { l.End("1", "k", baobabtide.Ran, done(string(make([]byte, maxStoredBody+1)))) }, 0, result{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonDuplicateKey}},
		"in doubt":      {func(l *Ledger) { l.End("1", "k", baobabtide.MayHaveRun, nil) }, 0, result{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonDuplicateKey}},
		"not run":       {func(l *Ledger) { l.End("1", "k", baobabtide.NotRun, nil) }, 0, result{Run: true}},
		"minutes later": {func(l *Ledger) { l.End("1", "k", baobabtide.Ran, done("ok")) }, retention / 2, result{Body: "ok"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			if name != "unknown" {
				if got := begin(&l, "1", "k", now); !got.Run {
					t.Fatalf("first attempt: %+v", got)
				}
			}
			if tt.after >= 0 {
				tt.first(&l)
			}
			if diff := cmp.Diff(tt.want, begin(&l, "2", "k", now.Add(max(0, tt.after)))); diff != "" {
				t.Errorf("repeat (-want +got):\n%s", diff)
			}
		})
	}
}

// The question what became of an attempt fences it off if it has not begun.
func TestSettleFencesWhatHasNotBegun(t *testing.T) {
	var l Ledger
	if diff := cmp.Diff(baobabtide.NotRun, l.Settle("1", now)); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	want := result{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonFenced}
	if diff := cmp.Diff(want, begin(&l, "1", "", now)); diff != "" {
		t.Errorf("late attempt (-want +got):\n%s", diff)
	}
}

func TestSettleTellsTheState(t *testing.T) {
	for verdict, want := range map[baobabtide.Verdict]baobabtide.Verdict{
		baobabtide.NotRun:     baobabtide.NotRun,
		baobabtide.Ran:        baobabtide.Ran,
		baobabtide.MayHaveRun: baobabtide.MayHaveRun,
	} {
		var l Ledger
		begin(&l, "1", "", now)
		if diff := cmp.Diff(baobabtide.MayHaveRun, l.Settle("1", now)); diff != "" {
			t.Errorf("while running (-want +got):\n%s", diff)
		}
		l.End("1", "", verdict, nil)
		if diff := cmp.Diff(want, l.Settle("1", now)); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", verdict, diff)
		}
	}
}

// Entries are dropped once they are old, and not before.
func TestEntriesAreForgottenAfterTheRetention(t *testing.T) {
	var l Ledger
	begin(&l, "1", "k", now)
	l.End("1", "k", baobabtide.Ran, &Answer{Body: []byte("ok")})
	for at := time.Duration(0); at < retention-time.Second; at += time.Minute {
		if got := begin(&l, "x", "k", now.Add(at)); got.Body != "ok" {
			t.Fatalf("after %s: %+v", at, got)
		}
	}
	begin(&l, "y", "other", now.Add(2*retention))
	begin(&l, "z", "other2", now.Add(3*retention))
	if got := begin(&l, "2", "k", now.Add(3*retention)); !got.Run {
		t.Errorf("after three times the retention: %+v", got)
	}
}

// A long request is not forgotten while it runs.
func TestRunningAttemptOutlivesTheRetention(t *testing.T) {
	var l Ledger
	begin(&l, "1", "k", now)
	for i := range 6 {
		begin(&l, "x", "", now.Add(time.Duration(i)*retention))
		if got := begin(&l, "2", "k", now.Add(time.Duration(i)*retention)); got.Run {
			t.Fatalf("key ran again after %d retentions", i)
		}
	}
}
