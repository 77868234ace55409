package btadmit

import (
	"math"
	"testing"
	"time"
)

// predictionError returns the root mean square of the logarithmic error of the expected run
// time at a noisy server. All times are multiplied by scale, so that the half-life becomes
// shorter relative to the windows.
func predictionError(reports bool, scale float64) float64 {
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * scale) }
	const run = 140 * time.Millisecond
	loads := []load{{requestClass: requestClass{"read", 30 / scale, scaled(run), scaled(time.Second), scaled(2 * time.Second), 8, false}}}
	squares, count := 0.0, 0
	for seed := range uint64(2) {
		r := newReplay(6, seed)
		r.noisyShare, r.window, r.reports = 0.15, scaled(600*time.Millisecond), reports
		r.onBegin = func(route string, at time.Time, relative float64) {
			if at.Sub(now) > scaled(5*time.Second) {
				squares += math.Pow(math.Log(float64(r.queue.runTime(route, at))/(float64(scaled(run))*relative)), 2)
				count++
			}
		}
		r.play(loads, scaled(100*time.Second))
	}
	return math.Sqrt(squares / float64(count))
}

// A server whose runs take 2.5 times as long for 15% of the time, in windows of 600 ms: the
// moving average of the run times follows when the window is over. The half-life must be near
// the best one: scaled times show what a shorter and a longer one would give.
func TestReportsPredictRunTimes(t *testing.T) {
	without := predictionError(false, 1)
	with := predictionError(true, 1)
	t.Logf("without reports %.3f, with reports %.3f", without, with)
	if with > 0.7*without {
		t.Errorf("error of the expected run time %.3f with reports, %.3f without", with, without)
	}
	for _, halfLife := range []float64{25, 100, 200, 800, 1600} {
		got := predictionError(true, reportHalfLife.Seconds()*1000/halfLife)
		t.Logf("half-life %4.0f ms: %.3f", halfLife, got)
		if got < 0.95*with {
			t.Errorf("error %.3f with a half-life of %.0f ms, %.3f with the chosen one", got, halfLife, with)
		}
	}
}

// Servers that report no service time are taken to hold the queue's requests only, as before:
// otherwise a late report would take slots from deployments that never shared their VMs.
func TestReportsWithoutServiceTimeHoldNoSlots(t *testing.T) {
	q := NewQueue(6)
	for range 2 {
		q.RecordReport(Report{Requests: 6}, now)
	}
	if got := q.Load("", now).InFlight; got != 0 {
		t.Errorf("%d slots in use, want 0", got)
	}
}

// After a restart of the node, the runs of the process before hold slots: until a report shows
// them, the server refuses what is granted beyond. They must not lower the limit or count as
// failures, and the slots must come back without further reports.
func TestForeignRunsHoldSlots(t *testing.T) {
	q := NewQueue(6)
	for range 20 {
		q.RecordRun("read", 100*time.Millisecond, false)
	}
	request := Ticket{Customer: "c", Route: "read", Deadline: now.Add(time.Minute)}
	for range 2 {
		offer(t, q, request)
	}
	report := Report{ServiceTime: 1, Requests: 6}
	q.RecordReport(report, now)
	if got := q.Load("read", now).InFlight; got != 2 {
		t.Errorf("%d requests run after one report, want 2: it may show a request that has ended meanwhile", got)
	}
	q.RecordReport(report, now)
	q.RecordShed(now)
	load := q.Load("read", now)
	if load.InFlight != 6 || load.Slots != 6 || load.Failing != 0 {
		t.Errorf("%+v, want 6 running of 6 slots and no failures", load)
	}
	if isReady(offer(t, q, request)) {
		t.Error("granted although the server is full")
	}
	q.Release(&request, 0, now.Add(60*time.Millisecond))
	if got := q.Load("read", now.Add(60*time.Millisecond)); got.Queued != 0 || got.InFlight != 4 {
		t.Errorf("%+v after 0.6 run times, want 2 foreign and 2 own requests", got)
	}
	if got := q.Load("read", now.Add(110*time.Millisecond)).InFlight; got != 2 {
		t.Errorf("%d requests run after the time of a run, want 2", got)
	}
}

// Foreign runs hold all slots, so that no response reports their end: the queue asks to be woken
// when one of them is expected to have ended, and is not stuck.
func TestForeignRunsEndWithoutResponses(t *testing.T) {
	q := NewQueue(2)
	var alarm time.Duration
	q.Alarm = func(wait time.Duration) { alarm = wait }
	q.RecordReport(Report{ServiceTime: 1, Requests: 2, Refused: true}, now)
	waiting := offer(t, q, ticket("a", 0))
	if isReady(waiting) || alarm <= 0 || alarm > minForeignLifetime {
		t.Fatalf("granted %t, to be woken in %s", isReady(waiting), alarm)
	}
	q.Wake(now.Add(alarm))
	if !isReady(waiting) {
		t.Error("not granted when the first foreign run is expected to have ended")
	}
	if another := offer(t, q, ticket("a", 0)); isReady(another) {
		t.Error("granted although the second foreign run has not ended")
	}
}

// A request that is canceled after it was sent holds its slot until the next report, but only at
// a server that reports: nothing else would tell that it has ended.
func TestCanceledRequestHoldsItsSlotUntilTheNextReport(t *testing.T) {
	for name, tt := range map[string]struct {
		reports, reset bool
		want           int
	}{
		"reports":        {true, false, 1},
		"no reports":     {false, false, 0},
		"only one reset": {false, true, 0},
	} {
		q := NewQueue(6)
		request := ticket("a", 0)
		if tt.reset {
			offer(t, q, request)
			q.RecordReset(now.Add(-time.Second))
			q.Release(&request, 0, now)
		}
		if tt.reports {
			q.RecordReport(Report{ServiceTime: 1}, now)
		}
		offer(t, q, request)
		q.Abandon(&request, 0, now)
		if got := q.Load("", now).InFlight; got != tt.want {
			t.Errorf("%s: %d requests run after the cancellation, want %d", name, got, tt.want)
		}
		q.RecordReport(Report{ServiceTime: 1}, now)
		if got := q.Load("", now).InFlight; got != 0 {
			t.Errorf("%s: %d requests run after a report of none", name, got)
		}
	}
}

// A server that reports more requests than there are, for as long as it runs, lost most of its
// slots.
func TestServerThatAlwaysReportsForeignRuns(t *testing.T) {
	q := NewQueue(6)
	at := now
	for at.Sub(now) < maxForeignPeriod+time.Second {
		at = at.Add(50 * time.Millisecond)
		q.RecordReport(Report{ServiceTime: 1, Requests: 1 << 16}, at)
	}
	for i := range 6 {
		request := ticket("a", 0)
		request.Deadline = at.Add(time.Minute)
		if w, refusal := q.Offer(request, at); refusal != nil || !isReady(w) {
			t.Fatalf("request %d got no slot: %v", i, refusal)
		}
	}
	q.RecordReport(Report{}, at)
	q.RecordReport(Report{ServiceTime: 1, Requests: 8, Refused: true}, at)
	if got := q.Load("", at).InFlight; got != 9 {
		t.Errorf("%d requests run, want 9: after a report without foreign runs, the next one counts", got)
	}
}

// A server that stops reporting, or begins to, is expected to be as fast as its runs show.
func TestRunTimesWithoutFreshReports(t *testing.T) {
	q := NewQueue(6)
	run := func(took time.Duration, at time.Time) { q.recordRun("read", took, false, at) }
	for range 50 {
		run(100*time.Millisecond, now)
	}
	q.RecordReport(Report{ServiceTime: 1.6}, now)
	if got := q.runTime("read", now).Round(time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("%s after the first report, want 100ms", got)
	}
	q.RecordReport(Report{ServiceTime: 4}, now)
	if got := q.runTime("read", now).Round(time.Millisecond); got != 250*time.Millisecond {
		t.Errorf("%s at 2.5 times the service time, want 250ms", got)
	}
	later := now.Add(time.Minute)
	for range 50 {
		run(100*time.Millisecond, later)
	}
	if got := q.runTime("read", later).Round(time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("%s a minute after the last report, want 100ms", got)
	}
}

func TestRecordReportDoesNotAllocate(t *testing.T) {
	q := NewQueue(6)
	if got := testing.AllocsPerRun(100, func() { q.RecordReport(Report{Requests: 3, ServiceTime: 1.2}, now) }); got != 0 {
		t.Errorf("%v allocations", got)
	}
}

// TestSheddingWithReportedCapacityKeepsLimit guards against a faulty server, which refuses a share
// of its requests whatever its load, being limited to one request at a time: for the load of a
// service whose servers all refuse half of what they get, that left 5 of 6 slots idle.
func TestSheddingWithReportedCapacityKeepsLimit(t *testing.T) {
	q := NewQueue(6)
	fill(q, 6)
	for range 20 {
		q.RecordReport(Report{Requests: 4}, now)
		q.RecordShed(now)
	}
	load := q.Load("", now)
	if load.Slots != 6 || load.Failing < 500 {
		t.Errorf("limit %d, failing %d thousandths, want 6 and over 500", load.Slots, load.Failing)
	}
	q.RecordReport(Report{Requests: 30}, now)
	q.RecordShed(now)
	if got := q.Load("", now).Slots; got >= 6 {
		t.Errorf("limit %d after a refusal by a server that reports itself full", got)
	}
}

// A node starts beside a server that still has six runs of the process before: with reports,
// fewer of its requests meet the full server, and the limit recovers no later.
func TestRestartBesideABusyServer(t *testing.T) {
	shed := func(reports, resets bool) int {
		total := 0
		for seed := range uint64(20) {
			r := newReplay(6, seed)
			r.foreign, r.reports, r.resets = 6, reports, resets
			r.play(supplyLoads(1), time.Second)
			total += r.shed
		}
		return total
	}
	without, with, reset := shed(false, false), shed(true, false), shed(true, true)
	t.Logf("requests that the server refused in 20 restarts: %d without reports, %d with reports, reset: %d", without, with, reset)
	if with > without*2/3 || reset > without*2/3 {
		t.Errorf("the server refused %d requests with reports and reset %d, %d without reports", with, reset, without)
	}
}
