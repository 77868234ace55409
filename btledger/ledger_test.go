package btledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

var now = time.Unix(10_000, 0)

// result holds the result of Begin.
type result struct {
	Run     bool   // the attempt may run
	Body    string // of the stored answer
	Verdict baobabtide.Verdict
	Reason  baobabtide.Reason
}

// begin calls Begin with the key as its name.
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

// Each case states what a repeated request with key "k" gets after the first attempt.
func TestRepeatedKey(t *testing.T) {
	done := func(body string) *baobabtide.Answer { return &baobabtide.Answer{Status: 200, Body: []byte(body)} }
	tests := map[string]struct {
		endFirst func(l *Ledger)
		after    time.Duration // negative if the first attempt is still running
		want     result
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
				tt.endFirst(&l)
			}
			if diff := cmp.Diff(tt.want, begin(&l, "2", "k", now.Add(max(0, tt.after)))); diff != "" {
				t.Errorf("repeat (-want +got):\n%s", diff)
			}
		})
	}
}

// Settle must fence an attempt that has not begun: its request may still arrive, and the
// dispatching node retries after NotRun, so the request could run twice.
func TestSettleFencesUnknownAttempt(t *testing.T) {
	var l Ledger
	if diff := cmp.Diff(baobabtide.NotRun, l.Settle("1", now)); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	want := result{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonFenced}
	if diff := cmp.Diff(want, begin(&l, "1", "", now)); diff != "" {
		t.Errorf("late attempt (-want +got):\n%s", diff)
	}
}

// Settle must return MayHaveRun while an attempt runs and its verdict once it has ended.
func TestSettleReturnsVerdict(t *testing.T) {
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

// The answer to a key that is stored at the start of a generation must be kept for the
// retention, and dropped later.
func TestEntriesExpire(t *testing.T) {
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

// The key of a running attempt must not expire, or a repeated request would run while the
// first one does.
func TestRunningAttemptDoesNotExpire(t *testing.T) {
	var l Ledger
	begin(&l, "1", "k", now)
	for i := range 6 {
		begin(&l, "x", "", now.Add(time.Duration(i)*retention))
		if got := begin(&l, "2", "k", now.Add(time.Duration(i)*retention)); got.Run {
			t.Fatalf("key ran again after %d times the retention", i)
		}
	}
}

// Each case states the state of key "k" that the partner returns when the home node
// reserves the key for a second attempt.
func TestReserve(t *testing.T) {
	first := baobabtide.KeyRecord{Key: "k", Attempt: "1"}
	second := baobabtide.KeyRecord{Key: "k", Attempt: "2"}
	done := first
	done.State, done.Answer = baobabtide.KeyDone, &baobabtide.Answer{Status: 200, Body: []byte("ok")}
	tests := map[string]struct {
		prepare func(l *Ledger)
		want    baobabtide.KeyState
	}{
		"unknown":                   {func(*Ledger) {}, baobabtide.KeyFree},
		"reserved":                  {func(l *Ledger) { l.Reserve(first, now) }, baobabtide.KeyInDoubt},
		"released":                  {func(l *Ledger) { l.Reserve(first, now); l.Resolve(first) }, baobabtide.KeyFree},
		"done":                      {func(l *Ledger) { l.Reserve(first, now); l.Resolve(done) }, baobabtide.KeyDone},
		"reserved by same attempt":  {func(l *Ledger) { l.Reserve(second, now) }, baobabtide.KeyFree},
		"begun at this node":        {func(l *Ledger) { begin(l, "1", "k", now) }, baobabtide.KeyInDoubt},
		"resolved by other attempt": {func(l *Ledger) { l.Reserve(first, now); l.Resolve(baobabtide.KeyRecord{Key: "k", Attempt: "0"}) }, baobabtide.KeyInDoubt},
		"answered at this node":     {func(l *Ledger) { begin(l, "1", "k", now); l.End("1", "k", baobabtide.Ran, done.Answer) }, baobabtide.KeyDone},
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

// A home node that has restarted must return, to a repeated request, the answer that the
// key's partner has stored.
func TestAdopt(t *testing.T) {
	var l Ledger
	begin(&l, "2", "k", now)
	existing := baobabtide.KeyRecord{Key: "k", Attempt: "1", State: baobabtide.KeyDone, Answer: &baobabtide.Answer{Body: []byte("ok")}}
	answer, refusal := l.Adopt("2", existing)
	if refusal != nil || string(answer.Body) != "ok" {
		t.Errorf("answer %v, refusal %v", answer, refusal)
	}
	if diff := cmp.Diff(result{Body: "ok"}, begin(&l, "3", "k", now)); diff != "" {
		t.Errorf("next repeat (-want +got):\n%s", diff)
	}
}

// TestKeyNamesOfAccounts guards against an account that gets the stored answer to another one's
// request with the same idempotency key.
func TestKeyNamesOfAccounts(t *testing.T) {
	names := map[string]bool{
		KeyName("c", "s", "", "k"):  true,
		KeyName("c", "s", "a", "k"): true,
		KeyName("c", "s", "b", "k"): true,
		KeyName("c", "s", "k", "a"): true,
	}
	if diff := cmp.Diff(4, len(names)); diff != "" {
		t.Errorf("different names (-want +got):\n%s", diff)
	}
}
