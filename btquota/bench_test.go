package btquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide/btcodec"
)

func manyLimits(count int) []Limit {
	limits := make([]Limit, count)
	for i := range limits {
		limits[i] = limitOf(fmt.Sprintf("account-%d", i), 5+float64(i))
	}
	return limits
}

// Take and Return are called for every request.
func BenchmarkTakeReturn(b *testing.B) {
	now := time.Now()
	m := NewMeter(rand.New(rand.NewPCG(1, 2)))
	limits := manyLimits(84)
	m.SetLimits(limits, 83, now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		key := limits[i%84].Key
		if m.Take(key, now).Counted {
			m.Return(key)
		}
	}
}

// One round of reports of the nodes of a zone, as a coordinator serves five times a second.
func BenchmarkCoordinatorRound(b *testing.B) {
	const nodes, accounts = 25, 84
	now := time.Now()
	limits := manyLimits(accounts)
	c := NewCoordinator("n0", 1, "z")
	c.SetLimits(limits, now)
	reports := make([]*Report, nodes)
	for i := range reports {
		reports[i] = &Report{Node: fmt.Sprintf("n%d", i), Process: 1, Zone: "z"}
		for k := range limits {
			reports[i].Rows = append(reports[i].Rows, Row{Account: limits[k].id(), Demand: 2, Used: 1})
		}
	}
	for _, encoded := range []bool{false, true} {
		b.Run(fmt.Sprintf("encoded=%t", encoded), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for _, r := range reports {
					now = now.Add(Period / nodes)
					if !encoded {
						c.Report(r, now)
						continue
					}
					if err := serveEncoded(c, r, now); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// serveEncoded decodes a report and encodes its answer, as the coordinator does.
func serveEncoded(c *Coordinator, r *Report, now time.Time) error {
	data, err := btcodec.EncodeCBOR(r)
	if err != nil {
		return err
	}
	var received Report
	if err := btcodec.DecodeCBOR(data, &received); err != nil {
		return err
	}
	_, err = btcodec.EncodeCBOR(c.Report(&received, now))
	return err
}
