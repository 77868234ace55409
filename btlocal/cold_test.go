package btlocal

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btlog"
)

// arrivals records when requests reach a backend server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) record(*fasthttp.RequestCtx) {
	a.mu.Lock()
	a.times = append(a.times, time.Now())
	a.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// count returns the largest number of arrivals within a second of a period, and the number in the
// whole period.
func (a *arrivals) count(from, until time.Time) (int, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, all := 0, 0
	for i, first := range a.times {
		if first.Before(from) || !first.Before(until) {
			continue
		}
		all++
		n := 0
		for _, at := range a.times[i:] {
			if at.Sub(first) < time.Second && at.Before(until) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, all
}

// A cold server got all the requests that were sent to it.
func TestColdServerIsFlooded(t *testing.T) {
	const limit, most = 17.0, 33 // most within a second
	const cold = 1500 * time.Millisecond
	coldFor := func(d time.Duration) time.Time { return time.Now().Add(d) }
	tests := map[string]struct {
		start, later time.Duration // cold time that the server announces at first and after 500 ms
		contracts    time.Duration // time after which the contracts are known
		reannounced  bool          // with more slots, after which it has a new queue
		from, until  time.Duration // while it is cold
	}{
		"starts cold":                         {start: cold, later: cold - 500*time.Millisecond, until: cold},
		"starts cold before the contracts":    {start: cold, later: cold - 500*time.Millisecond, contracts: 200 * time.Millisecond, from: 200 * time.Millisecond, until: cold},
		"turns cold":                          {later: cold, from: 500 * time.Millisecond, until: 500*time.Millisecond + cold},
		"announces more slots while cold":     {start: cold, later: cold - 500*time.Millisecond, reannounced: true, until: cold},
		"turns cold and announces more slots": {later: cold, reannounced: true, from: 500 * time.Millisecond, until: 500*time.Millisecond + cold},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got arrivals
			announcement := backendServer(t, 9, got.record)
			a, closeAdmitter := New(nil)
			defer closeAdmitter()
			limits := map[string]float64{"s": limit}
			began := time.Now()
			a.Update([]btbackend.Server{{Announcement: announcement, ColdUntil: coldFor(tt.start)}})
			time.AfterFunc(tt.contracts, func() { a.SetColdLimits(limits) })
			time.AfterFunc(500*time.Millisecond, func() {
				if tt.reannounced {
					announcement.Slots++
				}
				a.Update([]btbackend.Server{{Announcement: announcement, ColdUntil: coldFor(tt.later)}})
			})
			var sent sync.WaitGroup
			for i := 0; time.Since(began) < tt.until+time.Second; i++ {
				sent.Go(func() { _ = send(a, i) })
				time.Sleep(5 * time.Millisecond)
			}
			sent.Wait()
			const switching = 20 * time.Millisecond // until the timers above have run
			inSecond, all := got.count(began.Add(tt.from+switching), began.Add(tt.until))
			if inSecond > most {
				t.Errorf("%d requests within a second while cold, want at most %d", inSecond, most)
			}
			if least := int(0.7 * limit * (tt.until - tt.from).Seconds()); all < least {
				t.Errorf("%d requests while cold, want at least %d", all, least)
			}
			if _, later := got.count(began.Add(tt.until+100*time.Millisecond), began.Add(tt.until+time.Second)); later < most {
				t.Errorf("%d requests in 0.9 s after that, want at least %d", later, most)
			}
		})
	}
}

// Other nodes place their requests by the limit and the next turn that a report names.
func TestColdServerReportsItsLimit(t *testing.T) {
	announcement := backendServer(t, 9, func(*fasthttp.RequestCtx) {})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.SetColdLimits(map[string]float64{"s": 17})
	for _, step := range []struct {
		cold time.Duration
		want float64
	}{{time.Minute, 17}, {0, 0}} {
		a.Update([]btbackend.Server{{Announcement: announcement, ColdUntil: time.Now().Add(step.cold)}})
		if got := a.Load()["b"].RateLimit; got != step.want {
			t.Errorf("cold for %s: reported limit %s, want %s", step.cold, strconv.FormatFloat(got, 'g', -1, 64), strconv.FormatFloat(step.want, 'g', -1, 64))
		}
	}
}

// Requests were refused beside idle slots, and no line told why.
func TestColdServerIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Log = btlog.NewDecisionLog(zerolog.New(&out))
	server := testServers(baobabtide.TargetReady)[0]
	moreSlots, restarted := server, server
	moreSlots.Announcement.Slots++
	restarted.Announcement.Incarnation++
	for _, step := range []struct {
		name   string
		server btbackend.Server
		cold   time.Duration
		want   int // lines so far
	}{
		{"starts cold", server, time.Minute, 1},
		{"is still cold", server, time.Minute, 1},
		{"announces more slots", moreSlots, time.Minute, 1},
		{"is no longer cold", moreSlots, 0, 1},
		{"turns cold", moreSlots, time.Minute, 2},
		{"restarts", restarted, time.Minute, 3},
	} {
		step.server.ColdUntil = time.Now().Add(step.cold)
		a.Update([]btbackend.Server{step.server})
		if diff := cmp.Diff(step.want, strings.Count(out.String(), string(btlog.TargetCold))); diff != "" {
			t.Errorf("%s: lines (-want +got):\n%s", step.name, diff)
		}
	}
}
