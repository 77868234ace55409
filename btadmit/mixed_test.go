package btadmit

import (
	"testing"
	"time"
)

// newLoad returns a load. Times are in milliseconds.
func newLoad(route string, perSecond, run, objective, deadline float64, priority int, onTime, later float64) load {
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	return load{requestClass: requestClass{route, perSecond, ms(run), ms(objective), ms(deadline), priority, false}, onTime: onTime, later: later}
}

// callLoad is newLoad for a call. The values are those of the requests that make the call.
func callLoad(route string, perSecond, run, objective, deadline float64, priority int, onTime, later float64) load {
	l := newLoad(route, perSecond, run, objective, deadline, priority, onTime, later)
	l.call = true
	return l
}

// supplyLoads is the load of a server that runs short payments of a high rank, long
// look-ups of a low one and calls. At a scale of 1 it needs 4.2 slots.
func supplyLoads(scale float64) []load {
	return []load{
		newLoad("payment", 7.03*scale, 77, 250, 600, 8, 4.8, 0.58),
		newLoad("browse", 7.03*scale, 440, 2000, 3000, 6, 0.42, 0.19),
		callLoad("check", 20*scale, 27, 100, 300, 7, 0.84, 0.25),
	}
}


// playAll returns the sums over replays with several seeds: the share of the value that is
// earned, and the outcomes by route and account.
func playAll(loads []load, slots int, prepare func(*replay)) (float64, map[string]*outcomeCounts) {
	earned, possible := 0.0, 0.0
	counts := make(map[string]*outcomeCounts)
	for seed := range uint64(6) {
		r := newReplay(slots, seed)
		if prepare != nil {
			prepare(r)
		}
		r.play(loads, 60*time.Second)
		earned += r.value
		for _, l := range loads {
			if c := r.counts[l.route]; c != nil {
				possible += l.onTime * l.perSecond * 60
			}
		}
		for name, c := range r.counts {
			sum := counts[name]
			if sum == nil {
				sum = &outcomeCounts{}
				counts[name] = sum
			}
			sum.offered += c.offered
			sum.onTime += c.onTime
			sum.late += c.late
			sum.refused += c.refused
			sum.missed += c.missed
		}
	}
	return earned / possible, counts
}

func (c *outcomeCounts) share(count int) float64 { return float64(count) / float64(max(1, c.offered)) }

// Runs of 27, 77 and 440 ms share the slots: the age of the long ones was taken for a slow
// server, because the mean over all runs was expected of each, and a tenth of the payments was
// refused with a third of the slots free.
func TestLongRunsAreNotTakenForASlowServer(t *testing.T) {
	worth, counts := playAll(supplyLoads(1), 6, nil)
	payment := counts["payment"]
	t.Logf("share of the value %.3f, payments %+v", worth, *payment)
	if refused := payment.share(payment.refused); refused > 0.02 {
		t.Errorf("%.3f of the payments were refused at 0.7 of the capacity", refused)
	}
	if worth < 0.93 {
		t.Errorf("only %.3f of the value was earned at 0.7 of the capacity", worth)
	}
}
