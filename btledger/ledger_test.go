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
	done := func(body string) *baobabtide.Answer { return &baobabtide.Answer{Status: 200, Body: []byte(body)} }
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
	l.End("1", "k", baobabtide.Ran, &baobabtide.Answer{Body: []byte("ok")})
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

// Each case states what the home of key "k" learns from the partner when a
// second attempt reserves it.
func TestReserve(t *testing.T) {
	first := baobabtide.KeyRecord{Key: "k", Attempt: "1"}
	second := baobabtide.KeyRecord{Key: "k", Attempt: "2"}
	done := first
	done.State, done.Answer = baobabtide.KeyDone, &baobabtide.Answer{Status: 200, Body: []byte("ok")}
	tests := map[string]struct {
		prepare func(l *Ledger)
		want    baobabtide.KeyState
	}{
		"unknown":               {func(*Ledger) {}, baobabtide.KeyFree},
		"reserved":              {func(l *Ledger) { l.Reserve(first, now) }, baobabtide.KeyInDoubt},
		"given back":            {func(l *Ledger) { l.Reserve(first, now); l.Resolve(first) }, baobabtide.KeyFree},
		"done":                  {func(l *Ledger) { l.Reserve(first, now); l.Resolve(done) }, baobabtide.KeyDone},
		"reserved by itself":    {func(l *Ledger) { l.Reserve(second, now) }, baobabtide.KeyFree},
		"begun here as home":    {func(l *Ledger) { begin(l, "1", "k", now) }, baobabtide.KeyInDoubt},
		"late end of another":   {func(l *Ledger) { l.Reserve(first, now); l.Resolve(baobabtide.KeyRecord{Key: "k", Attempt: "0"}) }, baobabtide.KeyInDoubt},
		"answered here as home": {func(l *Ledger) { begin(l, "1", "k", now); l.End("1", "k", baobabtide.Ran, done.Answer) }, baobabtide.KeyDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			tt.prepare(&l)
			if diff := cmp.Diff(tt.want, l.Reserve(second, now).State); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// A home that started anew learns from the partner that a key was answered.
func TestAdopt(t *testing.T) {
	var l Ledger
	begin(&l, "2", "k", now)
	known := baobabtide.KeyRecord{Key: "k", Attempt: "1", State: baobabtide.KeyDone, Answer: &baobabtide.Answer{Body: []byte("ok")}}
	answer, refusal := l.Adopt("2", known)
	if refusal != nil || string(answer.Body) != "ok" {
		t.Errorf("answer %v, refusal %v", answer, refusal)
	}
	if diff := cmp.Diff(result{Body: "ok"}, begin(&l, "3", "k", now)); diff != "" {
		t.Errorf("next repeat (-want +got):\n%s", diff)
	}
}
