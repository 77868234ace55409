package btnode

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabtide/baobabtide"
)

// requestMetrics is a btdispatch.Recorder that records the durations of requests and
// counts the failed, moved and retried ones. Its labels have few values: two kinds of
// requests, three verdicts and the reasons of failures.
type requestMetrics struct {
	set *metrics.Set
}

// RecordResult implements btdispatch.Recorder.
func (m *requestMetrics) RecordResult(req *baobabtide.Request, verdict baobabtide.Verdict, reason baobabtide.Reason, took time.Duration) {
	kind := "once"
	if req.Idempotent {
		kind = "repeatable"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabtide_request_seconds{kind=%q,verdict=%q}`, kind, verdict)).Update(took.Seconds())
	if reason != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`baobabtide_request_failures_total{verdict=%q,reason=%q}`, verdict, reason)).Inc()
	}
}

// RecordMove implements btdispatch.Recorder.
func (m *requestMetrics) RecordMove(reason baobabtide.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabtide_request_moves_total{reason=%q}`, reason)).Inc()
}

// RecordRetry implements btdispatch.Recorder.
func (m *requestMetrics) RecordRetry(reason baobabtide.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabtide_request_retries_total{reason=%q}`, reason)).Inc()
}
