package btadmit

import (
	"math"
	"time"
)

const decayTimeConstant = time.Second // an added amount decays to 1/e of its value in this time

// decayingSum is an exponentially decaying sum with the time constant
// decayTimeConstant. The zero value is empty.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (d *decayingSum) add(amount float64, now time.Time) {
	d.sum = d.value(now) + amount
	d.updatedAt = now
}

func (d *decayingSum) value(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-float64(max(0, now.Sub(d.updatedAt)))/float64(decayTimeConstant))
}

// perSecond returns the average amount added per second.
func (d *decayingSum) perSecond(now time.Time) float64 {
	return d.value(now) / decayTimeConstant.Seconds()
}

// demand sums up requests and their expected run times. The zero value is empty.
type demand struct {
	requests decayingSum
	work     decayingSum // in seconds
}

func (d *demand) add(runTime time.Duration, now time.Time) {
	d.requests.add(1, now)
	d.work.add(runTime.Seconds(), now)
}
