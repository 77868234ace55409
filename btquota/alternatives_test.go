package btquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// bucket is a token bucket of the alternatives.
type bucket struct{ level, rate, size float64 }

func (b *bucket) advance() { b.level = min(b.level+b.rate*simTick.Seconds(), b.size) }

func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// alternative is another way to enforce the limit of an account on 83 nodes.
type alternative struct {
	advance func(tick int)
	take    func(node int) bool
}

const fleet = 83

func buckets(count int, rate float64) []bucket {
	all := make([]bucket, count)
	for i := range all {
		part := rate / float64(count)
		all[i] = bucket{level: max(part, 1), rate: part, size: max(part, 1)}
	}
	return all
}

// equalShares gives each node the same part of the limit.
func equalShares(rate float64, _ *rand.Rand) alternative {
	nodes := buckets(fleet, rate)
	return alternative{func(int) {
		for i := range nodes {
			nodes[i].advance()
		}
	}, func(node int) bool { return nodes[node].take() }}
}

// demandShares gives each node a part that follows its demand of the last 0.4 s, every 200 ms.
func demandShares(rate float64, _ *rand.Rand) alternative {
	nodes := buckets(fleet, rate)
	counts, demand := make([]float64, fleet), make([]float64, fleet)
	return alternative{func(tick int) {
		sum := 0.0
		for i := range nodes {
			nodes[i].advance()
			if tick%20 == 0 {
				demand[i] += (counts[i]/Period.Seconds() - demand[i]) * (1 - math.Exp(-Period.Seconds()/rateTime.Seconds()))
				counts[i] = 0
			}
			sum += demand[i]
		}
		for i := range nodes {
			part := rate * (0.8*demand[i]/max(sum, 1e-9) + 0.2/fleet)
			nodes[i].rate, nodes[i].size = part, max(part, 1)
			nodes[i].level = min(nodes[i].level, nodes[i].size)
		}
	}, func(node int) bool {
		counts[node]++
		return nodes[node].take()
	}}
}

// homeLeases lets one node per account grant tokens for 50 ms at a time. It is down from second 6 to 8,
// and another one takes over after that.
func homeLeases(rate float64, _ *rand.Rand) alternative {
	home := bucket{level: rate, rate: rate, size: rate}
	leased, down := make([]float64, fleet), false
	return alternative{func(tick int) {
		home.advance()
		down = tick >= 600 && tick < 800
	}, func(node int) bool {
		if leased[node] < 1 { // the request waits for the answer
			grant := min(max(1, math.Floor(rate/20)), math.Floor(home.level))
			if down || grant < 1 {
				return false
			}
			leased[node] += grant
			home.level -= grant
		}
		leased[node]--
		return true
	}}
}

// admittingNodes counts at the nodes of the 47 servers of a service. A request is moved four times.
func admittingNodes(rate float64, random *rand.Rand) alternative {
	servers := buckets(47, rate)
	return alternative{func(int) {
		for i := range servers {
			servers[i].advance()
		}
	}, func(int) bool {
		for range 5 {
			if servers[random.IntN(47)].take() {
				return true
			}
		}
		return false
	}}
}

// The figures of the design note: what each alternative refuses of the usual demand, and how the
// requests that it admits in a flood compare with the bound.
func TestAlternatives(t *testing.T) {
	alternatives := []struct {
		name   string
		create func(rate float64, random *rand.Rand) alternative
	}{{"equal shares", equalShares}, {"shares by demand", demandShares}, {"leases of a home node", homeLeases}, {"admitting nodes", admittingNodes}}
	for _, a := range alternatives {
		for _, rate := range []float64{4.5, 50, 595} {
			line := fmt.Sprintf("%-22s rate %5.1f:", a.name, rate)
			for _, spread := range []int{1, 10, fleet} {
				refused, _ := runAlternative(a.create, rate, spread, 1)
				_, worst := runAlternative(a.create, rate, spread, flood)
				line += fmt.Sprintf("  %2d nodes: usual refused %4.1f%%, flood %.2f of bound", spread, 100*refused, worst)
			}
			t.Log(line)
		}
	}
	for _, rate := range []float64{4.5, 50, 595} {
		line := fmt.Sprintf("%-22s rate %5.1f:", "adopted", rate)
		for _, spread := range []int{1, 10, fleet} {
			sc := scenario{factor: always(1), on: nodes(spread)}
			s := sc.run(t, 5, limitOf("a", rate), true, 12*time.Second)
			sc.factor = after(4*time.Second, flood)
			f := sc.run(t, 5, limitOf("a", rate), true, 12*time.Second)
			worst, _ := f.worstWindow(0, 0)
			refused := float64(s.total[0]-s.taken[0]) / float64(s.total[0])
			line += fmt.Sprintf("  %2d nodes: usual refused %4.1f%%, flood %.2f of bound", spread, 100*refused, worst)
			if refused > 0.04 || worst > 1 {
				t.Errorf("rate %g, %d nodes: %.3f refused, %.2f of the bound", rate, spread, refused, worst)
			}
		}
		t.Log(line)
	}
}

// runAlternative returns the fraction of the requests that is refused, and the largest number of
// admitted ones in a window relative to the bound. The demand changes by factor after 4 s.
func runAlternative(create func(float64, *rand.Rand) alternative, rate float64, spread int, factor float64) (float64, float64) {
	const ticks, width = 1200, 500
	random := rand.New(rand.NewPCG(5, 6))
	s := &sim{random: random}
	a := create(rate, random)
	admitted := make([]int, ticks)
	total, taken, sum, worst := 0, 0, 0, 0
	for tick := range ticks {
		a.advance(tick)
		demand := rate * usual
		if tick >= 400 {
			demand *= factor
		}
		for range s.poisson(demand) {
			total++
			if a.take(random.IntN(spread)) {
				admitted[tick]++
				taken++
			}
		}
		sum += admitted[tick]
		if tick >= width {
			sum -= admitted[tick-width]
		}
		worst = max(worst, sum)
	}
	return 1 - float64(taken)/float64(total), float64(worst) / ((rate*5+rate)*1.1 + 20)
}
