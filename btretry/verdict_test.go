package btretry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A non-idempotent request is retried only if it is proven that it has not run.
func TestNonIdempotentRetriesNeedProof(t *testing.T) {
	for event := range eventCount + 1 {
		row := Decide(event, false)
		if row.Action == Retry && row.Verdict != baobabtide.NotRun {
			t.Errorf("event %d: retried with verdict %s", event, row.Verdict)
		}
		if row.Idempotent || row.Event != event {
			t.Errorf("event %d: row %+v", event, row)
		}
	}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		event      Event
		idempotent bool
		verdict    baobabtide.Verdict
		action     Action
	}{
		{EventRefused, false, baobabtide.NotRun, Retry},
		{EventNotSent, false, baobabtide.NotRun, Retry},
		{EventLost, false, baobabtide.MayHaveRun, Settle},
		{EventLost, true, baobabtide.MayHaveRun, Retry},
		{EventLostNotRun, false, baobabtide.NotRun, Retry},
		{EventLostRan, false, baobabtide.Ran, Answer},
		{EventLostRan, true, baobabtide.Ran, Retry},
		{EventBackendLost, false, baobabtide.MayHaveRun, Answer},
		{EventBackendLost, true, baobabtide.MayHaveRun, Retry},
		{EventTruncated, true, baobabtide.Ran, Answer},
		{EventTimeout, true, baobabtide.MayHaveRun, Answer},
		{EventTimeoutNotRun, false, baobabtide.NotRun, Answer},
		{eventCount, true, baobabtide.MayHaveRun, Answer},
	}
	for _, tt := range tests {
		want := Row{Event: tt.event, Idempotent: tt.idempotent, Verdict: tt.verdict, Action: tt.action}
		got := Decide(tt.event, tt.idempotent)
		got.Idempotent = tt.idempotent
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("event %d (-want +got):\n%s", tt.event, diff)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	retries := 0
	for range 1000 {
		b.Earn()
		for range 5 { // every attempt fails
			if b.Spend(0) {
				retries++
			}
		}
	}
	if want := defaultBurst/budgetPerRetry + 1000*budgetPerRequest/budgetPerRetry; retries > want {
		t.Errorf("%d retries for 1000 requests exceed %d", retries, want)
	}
}
