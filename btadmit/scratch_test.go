package btadmit

import (
	"testing"
	"time"
)

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func kind(name string, rate, run, obj, dl float64, prio int, call bool, v, l float64) load {
	return load{requestClass: requestClass{name, rate, ms(run), ms(obj), ms(dl), prio, call}, onTime: v, later: l}
}

type scene struct {
	name  string
	loads []load
	noisy bool
	long  bool
	cap   float64 // work per second at scale 1
}

func scenes() []scene {
	return []scene{
		{name: "supply", loads: []load{kind("payment", 7.03, 77, 250, 600, 8, false, 4.8, .58), kind("browse", 7.03, 440, 2000, 3000, 6, false, .42, .19), kind("check", 20, 27, 100, 300, 7, true, .84, .25)}},
		{name: "counter", loads: []load{kind("stock", 22, 110, 300, 800, 7, false, .84, .25), kind("pledge", 9.85, 140, 400, 1000, 7, false, 1.7, .51)}},
		{name: "transcript", noisy: true, long: true, loads: []load{kind("bulk", 8.5, 340, 1200, 5000, 6, false, 1, .3), kind("lookup", 17, 40, 150, 500, 6, true, 1, .3)}},
		{name: "status", noisy: true, long: true, loads: []load{kind("status", 17.9, 140, 500, 2000, 6, false, 1, .3)}},
	}
}

func (s scene) play(over float64, reports bool, seed uint64, foreign int) *replay {
	r := newReplay(6, seed)
	work := 0.0
	for _, l := range s.loads {
		work += l.perSecond * l.meanRunTime.Seconds()
	}
	if s.long {
		work *= 1.18
		r.longShare = .03
	}
	if s.noisy {
		work *= 1.225
		r.noisyShare, r.window = .15, 600*time.Millisecond
	}
	r.reports, r.foreign = reports, foreign
	var loads []load
	for _, l := range s.loads {
		l.perSecond *= over * 6 / work
		loads = append(loads, l)
	}
	r.play(loads, 60*time.Second)
	return r
}

func TestScratch(t *testing.T) {
	for _, s := range scenes() {
		for _, over := range []float64{.7, .9, 1.1, 1.3, 2} {
			for _, rep := range []bool{false, true} {
				if rep && !s.noisy {
					continue
				}
				total, shed, possible := 0.0, 0, 0.0
				c := map[string]*outcomeCounts{}
				for seed := range uint64(6) {
					r := s.play(over, rep, seed, 0)
					total += r.value
					shed += r.shed
					for _, l := range s.loads {
						possible += float64(r.counts[l.route].offered) * l.onTime
						if c[l.route] == nil {
							c[l.route] = &outcomeCounts{}
						}
						a, b := c[l.route], r.counts[l.route]
						a.offered += b.offered
						a.onTime += b.onTime
						a.late += b.late
						a.refused += b.refused
						a.missed += b.missed
					}
				}
				t.Logf("%-11s %.1f reports=%-5v worth %.3f shed %d", s.name, over, rep, total/possible, shed)
				for _, l := range s.loads {
					a := c[l.route]
					f := func(n int) float64 { return float64(n) / float64(a.offered) }
					t.Logf("      %-8s ontime %.3f late %.3f refused %.3f missed %.3f", l.route, f(a.onTime), f(a.late), f(a.refused), f(a.missed))
				}
			}
		}
	}
}
