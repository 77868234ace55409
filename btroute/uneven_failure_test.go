package btroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

const faultAt = 6 * time.Second // begin of the faults below, in the time of the simulation

// withFault returns the simulation of a service of 20 targets in three zones, and a fault.
func withFault(load float64, policy *Policy, fault func(f *unevenRun)) uneven {
	u := unevenFleets()[0].uneven
	u.load, u.policy, u.pick, u.reports, u.wave = load, policy, pickUneven, true, wave{}
	u.adjust = func(f *unevenRun) { f.after(faultAt, func(time.Time) { fault(f) }) }
	return u
}

// forget replaces what all nodes know of a target, as if it had just been started.
func (f *unevenRun) forget(node string) {
	for _, pool := range f.pools {
		for _, t := range pool.targets {
			if t.Ref.Node == node {
				t.Stats = &Stats{}
			}
		}
	}
}

// startedBetween returns the number of runs that began in a part of the simulation.
func (t *unevenTarget) startedBetween(from, until time.Duration) int {
	n := 0
	for _, at := range t.started {
		if after := at.Sub(nowAtStart); after >= from && after < until {
			n++
		}
	}
	return n
}

// Reports stop for good. A choice that holds on to the last ones would fill the targets that were
// idle then.
func TestBalancedWithoutReports(t *testing.T) {
	got := withFault(0.6, Balanced, func(f *unevenRun) { f.silent = true }).run(1).result()
	t.Log(got)
	if got.inTime < 0.85 {
		t.Errorf("%.3f within the objective", got.inTime)
	}
	if got.imbalance > 1.7 {
		t.Errorf("the busiest target got %.2f times the mean of its speed", got.imbalance)
	}
}

// A target starts, and no node knows anything of it. All nodes may take it for idle at once, or none
// may try it.
func TestBalancedWithNewTarget(t *testing.T) {
	f := withFault(0.6, Balanced, func(f *unevenRun) {
		f.forget("node-0004")
		f.targets["node-0004"].newQueue(f)
	}).run(1)
	target := f.targets["node-0004"]
	before := target.startedBetween(faultAt-2*time.Second, faultAt)
	first, later := target.startedBetween(faultAt, faultAt+time.Second), target.startedBetween(faultAt+4*time.Second, faultAt+6*time.Second)
	t.Logf("%d runs in 2 s before, %d in the first second, %d in 2 s after 4 s, %v", before, first, later, f.result())
	if float64(first) > 1.25*float64(before)/2 {
		t.Errorf("%d runs in the first second, %d in two before", first, before)
	}
	if float64(later) < 0.5*float64(before) {
		t.Errorf("%d runs in two seconds once it is known, %d before", later, before)
	}
}

// A cold target tolerates few requests. They are refused there, and must neither be moved more than
// once nor be late because of it.
func TestBalancedWithColdTarget(t *testing.T) {
	f := withFault(0.6, Balanced, func(f *unevenRun) {
		f.forget("node-0004")
		target := f.targets["node-0004"]
		target.newQueue(f)
		target.queue.SetCold(coldPerSecond, f.now.Add(4*time.Second), f.now)
	}).run(1)
	got := f.result()
	runs := f.targets["node-0004"].startedBetween(faultAt, faultAt+4*time.Second)
	t.Logf("%d runs while cold, %v", runs, got)
	if got.inTime < 0.95 || got.moves > 0.25 {
		t.Errorf("%.3f within the objective, %.3f moves a request", got.inTime, got.moves)
	}
	if runs < coldPerSecond || runs > 5*coldPerSecond {
		t.Errorf("%d runs in four seconds, %d a second are allowed", runs, coldPerSecond)
	}
}

const coldPerSecond = 8

// A fifth of the targets names limits. Nodes that ignore them send requests in vain.
func TestBalancedWithLimitedTargets(t *testing.T) {
	limit := func(f *unevenRun) {
		for _, t := range f.order[3:7] {
			t.queue.SetRateLimit(6, f.now)
		}
	}
	f := withFault(0.6, Balanced, limit).run(1)
	got := f.result()
	fastest := withFault(0.6, Fastest, limit).run(1).result()
	t.Logf("balanced %v; fastest %v", got, fastest)
	if got.inTime < 0.95 || got.inTime < fastest.inTime || got.moves > fastest.moves {
		t.Errorf("balanced %v; fastest %v", got, fastest)
	}
	for i, target := range f.order[3:7] {
		if runs := target.startedBetween(faultAt, 18*time.Second); runs < 12 {
			t.Errorf("target %d got %d requests in 12 s, too few to tell when its limit ends", i, runs)
		}
	}
}

// A target that has said that it leaves looks idle, as its requests end.
func TestBalancedWithLeavingTarget(t *testing.T) {
	pool := Build(state("v1", "service-0"), btfixture.Members(6, 1, 1, "v1"), locality, nil).Destination("c", "service-0").Current.Pool
	leaving := pool.Targets()[3]
	for _, t := range pool.Targets() {
		t.Stats.RecordLoad("read", baobabtide.Load{InFlight: 6, Slots: 6, Work: time.Second}, now)
	}
	leaving.Stats.RecordLoad("read", baobabtide.Load{Slots: 6, Work: time.Millisecond, Leaving: true}, now)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if pool.pick(now, rng, PickInfo{Route: "read", Policy: Balanced}, nil) == leaving {
			t.Fatal("picked")
		}
	}
}

// Two targets fail all runs after 2 ms, so that their slots are always free. Requests must go
// elsewhere, and come back once the targets are sound.
func TestBalancedWithFailingTargets(t *testing.T) {
	const length = 50 * time.Second
	sound := faultAt + 6*time.Second
	u := withFault(0.6, Balanced, func(f *unevenRun) {
		for _, t := range f.order[3:5] {
			t.failing = 1
			f.after(sound-faultAt, func(time.Time) { t.failing = 0 })
		}
	})
	u.length = length
	f := u.run(1)
	t.Logf("%d failures of %d, %v", f.failures, f.requests, f.result())
	failing := 0
	for _, target := range f.order[3:5] {
		failing += target.startedBetween(faultAt, sound)
		before, after := target.startedBetween(0, faultAt), target.startedBetween(length-faultAt, length)
		if 2*after < before {
			t.Errorf("%d runs in the last %s, %d before the fault", after, faultAt, before)
		}
	}
	offered := float64(f.requests) * (sound - faultAt).Seconds() / (length - unevenWarmUp).Seconds()
	if share := float64(failing) / offered; share > 0.05 {
		t.Errorf("%.3f of the requests went to targets that fail", share)
	}
}

// The balanced placement is worth its name only if it serves more callers than the other one, with
// fewer moves and less traffic between zones, at demand that varies and with uneven targets.
func TestBalancedServesMore(t *testing.T) {
	for _, load := range []float64{0.9, 1.2} {
		var bytesFastest, bytesBalanced float64
		for _, c := range unevenFleets()[:5] {
			if c.name != "status-portal" && c.name != "counter" {
				continue // the others are in BenchmarkUnevenRivals
			}
			c.load, c.pick, c.reports = load, pickUneven, true
			c.policy = Fastest
			fastest := c.run(1).result()
			c.policy = Balanced
			balanced := c.run(1).result()
			t.Logf("%s, load %.1f: fastest %v; balanced %v", c.name, load, fastest, balanced)
			if balanced.inTime < fastest.inTime-0.005 || balanced.moves > 0.6*fastest.moves {
				t.Errorf("%s, load %.1f: fastest %v; balanced %v", c.name, load, fastest, balanced)
			}
			bytesFastest, bytesBalanced = bytesFastest+fastest.bytes, bytesBalanced+balanced.bytes
		}
		if bytesBalanced > 0.7*bytesFastest {
			t.Errorf("load %.1f: %.0f bytes between zones a request, fastest %.0f", load, bytesBalanced, bytesFastest)
		}
	}
}
