package btadmit

import (
	"math"
	"time"
)

const decayTime = time.Second // in which what was added counts 1/e as much

// decayingSum is a rate over the last second or so. The zero value is empty.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) add(x float64, now time.Time) {
	d.sum = d.value(now) + x
	d.at = now
}

func (d *decayingSum) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-float64(max(0, now.Sub(d.at)))/float64(decayTime))
}

// perSecond returns the sum of what was added in a second, on average.
func (d *decayingSum) perSecond(now time.Time) float64 {
	return d.value(now) / decayTime.Seconds()
}
