package btroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

// Any fit target goes before any unfit one, and the reasons are ordered by severity.
func TestFitness(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Target)
		want    fitness
		penalty float64
	}{
		"fit":              {func(*Target) {}, 0, 0},
		"did not respond":  {func(t *Target) { t.Stats.RecordUnresponsive(now) }, avoided, avoidPenalty},
		"suspect":          {func(t *Target) { t.Suspect = true }, suspect, suspectPenalty},
		"crashed":          {func(t *Target) { t.Stats.RecordDown(now) }, down, downPenalty},
		"up again":         {func(t *Target) { t.Stats.RecordDown(now); t.Stats.RecordUp() }, 0, 0},
		"ejected":          {func(t *Target) { fail(t, ejectThreshold) }, ejected, ejectedPenalty},
		"below the limit":  {func(t *Target) { fail(t, ejectThreshold-1) }, 0, 0},
		"crashed, suspect": {func(t *Target) { t.Suspect = true; t.Stats.RecordDown(now) }, suspect | down, suspectPenalty + downPenalty},
		"responds once more": {func(t *Target) {
			t.Stats.RecordUnresponsive(now)
			t.Stats.RecordLoad("read", baobabtide.Load{Slots: 1}, now)
		}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := &Target{Slots: 6, Stats: &Stats{}}
			tt.prepare(target)
			f := target.fitness(now.Add(time.Millisecond))
			if diff := cmp.Diff(tt.want, f); diff != "" {
				t.Errorf("fitness (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.penalty, f.penalty()); diff != "" {
				t.Errorf("penalty (-want +got):\n%s", diff)
			}
		})
	}
}

func fail(t *Target, times int) {
	for range times {
		t.Stats.Begin(now.Add(-time.Hour))
		t.Stats.End(now, 0, true)
	}
}

func TestResponse(t *testing.T) {
	reported := func(load baobabtide.Load, at time.Time) func(*Stats) {
		return func(s *Stats) { s.RecordLoad("read", load, at) }
	}
	const ms = time.Millisecond
	half := baobabtide.Load{InFlight: 3, Slots: 6, Work: 100 * ms}
	tests := map[string]struct {
		prepare  func(*Stats)
		policy   *Policy
		expected float64 // seconds
		reserve  float64
	}{
		"half used":                     {reported(half, now), Fastest, 0.1, 0.1 * 0.25 * 0.25},
		"half used, balanced":           {reported(half, now), Balanced, 0.1, 0.1 * 0.25},
		"full":                          {reported(baobabtide.Load{InFlight: 6, Slots: 6, Work: 60 * ms}, now), Fastest, 0.06 + 0.01, 0.06 * 0.25},
		"queue":                         {reported(baobabtide.Load{InFlight: 6, Queued: 6, Slots: 6, Work: 60 * ms}, now), Fastest, 0.06 + 0.07, 0.06 * 0.25 * 4},
		"a tenth fails":                 {reported(baobabtide.Load{Slots: 6, Work: 100 * ms, Failing: 100}, now), Fastest, 0.2, 0},
		"report of 2 s ago":             {reported(baobabtide.Load{InFlight: 6, Queued: 6, Slots: 6, Work: 60 * ms}, now.Add(-2*time.Second)), Fastest, 0.06, 0},
		"report of 4 s ago, balanced":   {reported(baobabtide.Load{InFlight: 6, Slots: 6, Work: 60 * ms}, now.Add(-4*time.Second)), Balanced, 0.06 + 0.01, 0.06},
		"turn":                          {reported(baobabtide.Load{Slots: 6, Work: 60 * ms, RateLimit: 10, Turn: 200 * ms}, now), Fastest, 0.06 + 0.2 + 0.05, 0},
		"slow spell":                    {slowSpell(now), Balanced, 0.25, 0},
		"slow spell of 500 ms ago":      {slowSpell(now.Add(-500 * ms)), Balanced, (0.25 + 0.1*(1+1.5/8)) / 2, 0},
		"slow spell of 2 s ago":         {slowSpell(now.Add(-2 * time.Second)), Balanced, 0.1 * (1 + 1.5/8), 0},
		"slow spell of 2 s ago, former": {slowSpell(now.Add(-2 * time.Second)), Fastest, 0.25, 0},
		"new to the node":               {func(s *Stats) { reported(half, now)(s); s.firstUse.Set(now) }, Balanced, 0.1, 0.1*0.25 + (0.1 + 0.1*0.25)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := &Target{Slots: 6, Stats: &Stats{}}
			tt.prepare(target.Stats)
			s := search{info: PickInfo{Route: "read", Policy: tt.policy}, now: now}
			e := target.estimate("read", tt.policy, now)
			s.known.add(&e)
			if s.known.weights == 0 { // what is not known is taken for idle, as if the other targets were
				s.known.weights = 1
			}
			sc := s.score(target, &e)
			got := []float64{sc.response.expected(), sc.response.utilization + sc.response.slowStart}
			if diff := cmp.Diff([]float64{tt.expected, tt.reserve}, got, cmpopts.EquateApprox(1e-6, 0)); diff != "" {
				t.Errorf("expected time and reserve (-want +got):\n%s", diff)
			}
		})
	}
}

// slowSpell reports a run time of 100 ms and then, at a time, one of 250 ms.
func slowSpell(at time.Time) func(*Stats) {
	return func(s *Stats) {
		s.RecordLoad("read", baobabtide.Load{Slots: 6, Work: 100 * time.Millisecond}, at.Add(-time.Second))
		s.RecordLoad("read", baobabtide.Load{Slots: 6, Work: 250 * time.Millisecond}, at)
	}
}

func TestWayCost(t *testing.T) {
	tests := map[string]struct {
		distance Distance
		info     PickInfo
		slack    float64 // seconds
		run      float64 // seconds, expected run time
		want     float64
	}{
		"same node":               {SameNode, PickInfo{Policy: Fastest, Bytes: 1e6, Objective: time.Second}, 0, 0.1, 0},
		"same zone":               {SameZone, PickInfo{Policy: Fastest, Bytes: 1e6, Objective: time.Second}, 0, 0.1, 0},
		"other zone":              {SameRegion, PickInfo{Policy: Fastest}, 0, 0.1, 0.005},
		"other zone, bytes":       {SameRegion, PickInfo{Policy: Fastest, Bytes: 2000}, 0, 0.1, 0.01},
		"other zone, objective":   {SameRegion, PickInfo{Policy: Fastest, Objective: time.Second}, 0.5, 0.1, 0.255},
		"balanced":                {SameRegion, PickInfo{Policy: Balanced, Objective: time.Second}, 0.5, 0.1, 0.355},
		"balanced, own zone late": {SameRegion, PickInfo{Policy: Balanced, Objective: time.Second}, 0, 0.1, 0.005},
		"other region":            {OtherRegion, PickInfo{Policy: Fastest, Bytes: 2000, Objective: time.Second}, 0, 0.1, 0.035},
		"balanced, late in both":  {SameRegion, PickInfo{Policy: Balanced, Objective: time.Second}, 0, 0.6, 0.705},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, wayCost(tt.distance, &tt.info, &response{run: tt.run}, tt.slack), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
				t.Errorf("cost (-want +got):\n%s", diff)
			}
		})
	}
}

// formerScore returns the score of a target and its expected time as they were before their parts
// became types of their own.
func formerScore(t *Target, e *estimate, info PickInfo, now time.Time) (float64, float64) {
	runTime := e.run
	slotWait := runTime * max(0, (e.own+e.others+1-e.slots)/e.slots)
	expected := runTime + slotWait + e.turn.Seconds() + e.failing*1.0
	switch t.Distance {
	case SameRegion:
		expected += 0.005 + 2.5e-6*info.Bytes + 0.25*info.Objective.Seconds()
	case OtherRegion:
		expected += 0.03 + 2.5e-6*info.Bytes
	}
	utilization := (e.own + e.others) / e.slots
	score := runTime * 0.25 * utilization * utilization
	s := t.Stats
	if sinceFirstUse, ok := s.firstUse.Since(now); ok && sinceFirstUse < 3*time.Second {
		score += (score + runTime + slotWait + e.turn.Seconds()) * 1.0 * (1 - float64(sinceFirstUse)/float64(3*time.Second))
	}
	if t.Suspect {
		score += 100
	}
	if s.avoidUntil.After(now) {
		score += 10
	}
	if s.downUntil.After(now) {
		score += 300
	}
	if s.ejectUntil.After(now) {
		score += 1000
	}
	return expected + score, expected
}

// formerEstimate is the estimate before policies, with the last reported run time of the route.
func formerEstimate(t *Target, lastRunTime time.Duration, now time.Time) estimate {
	s := t.Stats
	own := float64(s.inFlight.Load())
	e := estimate{own: own, slots: float64(t.Slots), run: lastRunTime.Seconds()}
	if s.load.Slots == 0 {
		return e
	}
	e.turn = s.turnWait(own, now)
	e.weight = max(0, 1-float64(now.Sub(s.loadAt))/float64(time.Second))
	e.others = max(0, float64(int64(s.load.InFlight+s.load.Queued)-s.ownAtReport))
	e.slots = float64(s.load.Slots)
	e.failing = float64(s.load.Failing) / 1000
	return e
}

// Deployments that do not ask for another placement choose targets exactly as before: the scores
// of any targets are those of the former sum.
func TestFastestScoresAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		flag := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
		info := PickInfo{
			Route: rapid.SampledFrom([]string{"read", "write", "unknown"}).Draw(t, "route"), Policy: Fastest,
			Bytes: rapid.Float64Range(0, 1e6).Draw(t, "bytes"), Objective: duration("objective", 5*time.Second),
		}
		was, is := search{info: info, now: now}, search{info: info, now: now}
		var targets []*Target
		var before, after []estimate
		for range rapid.IntRange(1, 6).Draw(t, "targets") {
			target := &Target{Slots: rapid.IntRange(1, 20).Draw(t, "slots"), Suspect: flag("suspect"), Stats: &Stats{}}
			target.Distance = Distance(rapid.IntRange(int(SameNode), int(OtherRegion)).Draw(t, "distance"))
			s := target.Stats
			last := map[string]time.Duration{}
			lastOfAny := time.Duration(0)
			for i := range rapid.IntRange(0, 4).Draw(t, "reports") {
				s.inFlight.Store(int64(rapid.IntRange(0, 10).Draw(t, "own at report")))
				load := baobabtide.Load{
					InFlight: rapid.IntRange(0, 20).Draw(t, "running"), Queued: rapid.IntRange(0, 20).Draw(t, "waiting"),
					Slots: rapid.IntRange(0, 20).Draw(t, "reported slots"), Work: duration("work", time.Second), Failing: rapid.IntRange(0, 1000).Draw(t, "failing"),
				}
				if flag("limited") {
					load.RateLimit, load.Turn = rapid.Float64Range(0.1, 50).Draw(t, "rate"), duration("turn", time.Second)
				}
				route := rapid.SampledFrom([]string{"read", "write"}).Draw(t, "reported route")
				s.RecordLoad(route, load, now.Add(time.Duration(i-4)*duration("age", time.Second)))
				if load.Slots > 0 && load.Work > 0 {
					last[route], lastOfAny = load.Work, load.Work
				}
			}
			s.inFlight.Store(int64(rapid.IntRange(0, 20).Draw(t, "own")))
			for name, instant := range map[string]interface{ Set(time.Time) }{"eject": &s.ejectUntil, "avoid": &s.avoidUntil, "down": &s.downUntil} {
				if flag(name) {
					instant.Set(now.Add(duration(name+" until", 2*time.Second) - time.Second))
				}
			}
			if flag("first use") {
				s.firstUse.Set(now.Add(-duration("since first use", 4*time.Second)))
			}
			if _, ok := last[info.Route]; !ok {
				last[info.Route] = lastOfAny
			}
			targets = append(targets, target)
			before = append(before, formerEstimate(target, last[info.Route], now))
			after = append(after, target.estimate(info.Route, info.Policy, now))
			was.known.add(&before[len(before)-1])
			is.known.add(&after[len(after)-1])
		}
		for i, target := range targets {
			was.known.complete(&before[i])
			want, wantExpected := formerScore(target, &before[i], info, now)
			got := is.score(target, &after[i])
			if diff := cmp.Diff([]float64{want, wantExpected}, []float64{got.total(), got.expected()}, cmpopts.EquateApprox(1e-14, 0)); diff != "" {
				t.Fatalf("score and expected time of target %d (-former +now):\n%s", i, diff)
			}
		}
	})
}

// The choice among 12 targets with reports: go test -run '^$' -bench Choose ./btroute
func BenchmarkChoose(b *testing.B) {
	for name, policy := range map[string]*Policy{"fastest": Fastest, "balanced": Balanced} {
		b.Run(name, func(b *testing.B) {
			members := btfixture.Members(83, 4, 1, "v1")
			pool := Build(state("v1", "service-0"), members, Locality{Node: members[0].Name, Zone: members[0].Zone}, nil).Destination("c", "service-0").Current.Pool
			rng := rand.New(rand.NewPCG(1, 1))
			for _, t := range pool.Targets() {
				for _, route := range []string{"write", "read"} {
					t.Stats.Begin(now.Add(-time.Minute))
					load := baobabtide.Load{InFlight: rng.IntN(6), Slots: 6, Work: time.Duration(50+rng.IntN(100)) * time.Millisecond}
					t.Stats.RecordLoad(route, load, now.Add(-time.Duration(rng.IntN(900))*time.Millisecond))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				pool.Choose(now, rng, PickInfo{Route: "read", Bytes: 1000, Objective: time.Second, Policy: policy}, nil)
			}
		})
	}
}
