package btadmit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	coldRate   = 17.0
	coldWindow = time.Second
	coldMost   = 33 // requests in coldWindow that a cold server tolerates: half as many again as coldRate, and 8
)

// grantsBetween returns the number of requests granted between two times of the simulation.
func (sim *simulation) grantsBetween(from, until time.Duration) int {
	n := 0
	for _, at := range sim.starts {
		if after := at.Sub(now); after >= from && after < until {
			n++
		}
	}
	return n
}

// mostBetween returns the largest number of requests granted within coldWindow between two
// times of the simulation.
func (sim *simulation) mostBetween(from, until time.Duration) int {
	most := 0
	for _, at := range sim.starts {
		if after := at.Sub(now); after >= from && after < until {
			most = max(most, sim.grantsBetween(after, min(after+coldWindow, until)))
		}
	}
	return most
}

// A server that its node took for any other got 60 requests a second while it was cold, and
// crashed.
func TestColdServerGetsMoreThanItTolerates(t *testing.T) {
	const cold, length = 3 * time.Second, 10 * time.Second
	isCold := func(remaining time.Duration) func(*simulation, time.Time) {
		return func(sim *simulation, now time.Time) { sim.queue.SetCold(coldRate, now.Add(remaining), now) }
	}
	named := func(limit float64) func(*simulation, time.Time) {
		return func(sim *simulation, now time.Time) { sim.queue.SetRateLimit(limit, now) }
	}
	withdrawn := func(sim *simulation, now time.Time) { sim.queue.ClearRateLimit(now) }
	type step struct {
		after  time.Duration
		action func(*simulation, time.Time)
	}
	tests := map[string]struct {
		steps       []step
		from, until time.Duration // while the server is cold
		least       int           // requests granted while it is cold
		most        int           // of them within coldWindow
		leastLater  int           // requests granted in the second after that
	}{
		"starts cold":              {[]step{{0, isCold(cold)}}, 0, cold, 45, coldMost, 50},
		"announces itself again":   {[]step{{0, isCold(cold)}, {1500 * time.Millisecond, isCold(cold - 1500*time.Millisecond)}}, 0, cold, 45, coldMost, 50},
		"turns cold under load":    {[]step{{4 * time.Second, isCold(cold)}}, 4 * time.Second, 7 * time.Second, 45, coldMost, 50},
		"turns cold twice":         {[]step{{0, isCold(time.Second)}, {2 * time.Second, isCold(cold)}}, 2 * time.Second, 5 * time.Second, 45, coldMost, 50},
		"is cold for longer":       {[]step{{0, isCold(cold)}, {2 * time.Second, isCold(cold)}}, 0, 5 * time.Second, 80, coldMost, 50},
		"is no longer cold":        {[]step{{0, isCold(cold)}, {time.Second, isCold(0)}}, 0, time.Second, 14, coldMost, 50},
		"named a lower limit":      {[]step{{0, named(5)}, {0, isCold(cold)}}, 0, cold, 13, 8, 4},
		"names a lower limit":      {[]step{{0, isCold(cold)}, {0, named(5)}}, 0, cold, 13, 8, 4},
		"named a higher limit":     {[]step{{0, named(40)}, {3 * time.Second, isCold(cold)}}, 3 * time.Second, 6 * time.Second, 45, coldMost, 35},
		"names a higher limit":     {[]step{{0, isCold(cold)}, {time.Second, named(40)}}, 0, cold, 45, coldMost, 35},
		"withdraws a limit":        {[]step{{0, isCold(cold)}, {0, named(5)}, {500 * time.Millisecond, withdrawn}}, 0, cold, 38, coldMost, 50},
		"without a limit for cold": {[]step{{0, func(sim *simulation, now time.Time) { sim.queue.SetCold(0, now.Add(cold), now) }}}, 0, cold, 170, 100, 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(9)
			for _, s := range tt.steps {
				sim.at(s.after, func(now time.Time) { s.action(sim, now) })
			}
			class := requestClass{route: "r", perSecond: 60, meanRunTime: 100 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 2 * time.Second}
			counts := sim.run([]requestClass{class}, length, noSlowdown)
			if got := sim.mostBetween(tt.from, tt.until); got > tt.most {
				t.Errorf("%d requests within %s, want at most %d", got, coldWindow, tt.most)
			}
			if got := sim.grantsBetween(tt.from, tt.until); got < tt.least {
				t.Errorf("%d requests while cold, want at least %d", got, tt.least)
			}
			if got := sim.grantsBetween(tt.until, tt.until+time.Second); got < tt.leastLater {
				t.Errorf("%d requests in the second after that, want at least %d", got, tt.leastLater)
			}
			if c := counts["r"]; c.missed*50 > c.offered {
				t.Errorf("%d of %d waited in vain", c.missed, c.offered)
			}
		})
	}
}

// The cold time ends while a request waits for its turn, which comes later, and no other event
// follows.
func TestWaiterOutlastsColdTime(t *testing.T) {
	const cold = 200 * time.Millisecond
	for name, limit := range map[string]float64{"no limit": 0, "a limit": 50} {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(4)
			var alarm time.Duration
			q.Alarm = func(wait time.Duration) { alarm = wait }
			if limit > 0 {
				q.SetRateLimit(limit, now)
			}
			q.SetCold(1, now.Add(cold), now)
			w := offer(t, q, Ticket{Customer: "c", Deadline: now.Add(4 * time.Second)})
			if isReady(w) {
				t.Fatal("granted while cold")
			}
			for at := now; !isReady(w); {
				if at = at.Add(alarm); at.Sub(now) > cold+100*time.Millisecond {
					t.Fatalf("still waits %s after the cold time", at.Sub(now)-cold)
				}
				q.Wake(at)
			}
			if w.Refusal() != nil {
				t.Errorf("refused: %v", w.Refusal())
			}
		})
	}
}

// However often a server turns cold, and whatever limits it names, it gets no more while it is
// cold than it tolerates.
func TestColdLimitHoldsInAllPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 20).Draw(t, "slots"))
		limit := rapid.Float64Range(0.5, 50).Draw(t, "limit")
		type period struct{ from, until time.Duration }
		var periods []period
		after := time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "periods") {
			draw := func(name string) time.Duration {
				return time.Duration(rapid.IntRange(1, 3000).Draw(t, name)) * time.Millisecond
			}
			from := after + draw("warm")
			after = from + draw("cold")
			periods = append(periods, period{from, after})
			until := now.Add(after)
			sim.at(from, func(now time.Time) { sim.queue.SetCold(limit, until, now) })
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "changes") {
			named := rapid.Float64Range(0, 100).Draw(t, "named")
			sim.at(time.Duration(2*i+1)*time.Second, func(now time.Time) { sim.queue.SetRateLimit(named, now) })
		}
		class := requestClass{
			route: "r", perSecond: rapid.Float64Range(1, 200).Draw(t, "arrivals"), meanRunTime: time.Duration(rapid.IntRange(1, 500).Draw(t, "run")) * time.Millisecond,
			objective: time.Second, deadline: 3 * time.Second,
		}
		sim.run([]requestClass{class}, after+time.Second, noSlowdown)
		for _, p := range periods {
			if got, most := sim.mostBetween(p.from, p.until), int(1.5*limit+8); got > most {
				t.Fatalf("%d requests within %s of %v, %d are tolerated", got, coldWindow, p, most)
			}
		}
	})
}
