package btquota

import (
	"math"
	"slices"
	"time"
)

// combine computes the sums of all accounts, unless they are recent and force is not set.
func (c *Coordinator) combine(now time.Time, force bool) {
	elapsed := now.Sub(c.combined)
	if elapsed < combine && !force {
		return
	}
	if c.combined.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	c.combined = now
	for k := range c.accounts {
		a := &c.accounts[k]
		a.demand, a.ownDemand, a.slow, a.nodeSlow, a.held, a.ownHeld, a.idleHeld = 0, 0, 0, 0, 0, 0, 0
	}
	for name, s := range c.sources {
		if !c.combineSource(s, now) {
			delete(c.sources, name)
		}
	}
	c.reporting = 0
	for _, s := range c.sources {
		if !s.coordinator && age(s.at, now) <= freshFor {
			c.reporting++
		}
	}
	unknown, correction := c.unknown(now), c.correction(now)
	for k := range c.accounts {
		a := &c.accounts[k]
		if a.ownDemand > 0 {
			a.idleHeld += unknown
		}
		// An account that is used at few nodes is not likely to be used by those that were idle.
		a.ownHeld += a.idleHeld * max(0, 1-a.ownHeld)
		a.held += a.ownHeld
		a.ownSlow.update(a.ownDemand, now)
		a.demand *= correction
		a.slow += a.ownSlow.slow
		a.least = leastParts * float64(c.reporting) / float64(max(c.members, 1))
		a.control(elapsed)
	}
}

// combineSource adds the demand of a source to the sums, or the shares that are reserved for it if
// it has gone silent. It returns false for one that needs no longer be known.
func (c *Coordinator) combineSource(s *source, now time.Time) bool {
	silence := age(s.at, now)
	fresh, limit := freshFor, holdFor
	if s.coordinator {
		fresh, limit = zoneFresh, zoneFor
	}
	if s.follows {
		limit = freshFor
	}
	if silence > limit {
		return false
	}
	lost := !s.coordinator && silence > fresh
	if lost && c.preceded(now) {
		return false // the preceding candidate reserves its share
	}
	if lost && s.hasDemand() {
		c.reserveLost(s, silence)
		return true
	}
	for i := range s.rows {
		row := &s.rows[i]
		a := &c.accounts[row.account]
		switch {
		case row.at.IsZero():
		case silence > fresh && s.coordinator && (row.demand > 0 || row.held > 0):
			a.held += row.share + row.held
		default:
			a.addDemand(row, s.coordinator, now)
		}
	}
	return true
}

// addDemand adds the demand of a source that reports to the sums.
func (a *account) addDemand(row *sourceRow, coordinator bool, now time.Time) {
	a.held += row.held
	a.demand += row.demand
	if coordinator {
		a.slow += row.slowAt(now)
		return
	}
	a.ownDemand += row.demand
	a.nodeSlow += row.slowAt(now)
}

// reserveLost reserves the shares of a node that has gone silent while it had demand.
func (c *Coordinator) reserveLost(s *source, silence time.Duration) {
	equal := 1 / float64(max(c.members, 1))
	for k := range c.accounts {
		a := &c.accounts[k]
		if row := s.find(k); row != nil && row.demand > 0 {
			a.ownHeld += reservedShare(row.share, equal, silence)
		} else { // it may use an equal part
			a.idleHeld += equal
		}
	}
}

// hasDemand reports whether the last report on any account held demand.
func (s *source) hasDemand() bool {
	return slices.ContainsFunc(s.rows, func(r sourceRow) bool { return r.demand > 0 })
}

// correction returns the factor between the demand and its measured value shortly after the start of
// all nodes. Nothing is known from before, which counts as no demand. A coordinator that takes over gets
// values that are not measured from zero.
func (c *Coordinator) correction(now time.Time) float64 {
	since := now.Sub(c.started)
	if !c.takenAt.IsZero() || since > 4*rateTime {
		return 1
	}
	return 1 / (1 - math.Exp(-max(since, Period).Seconds()/rateTime.Seconds()))
}

// control advances the bucket of an account by a time and determines which fraction of the requests
// the nodes admit: the one at which the level returns to its reserve with the time constant settle.
func (a *account) control(elapsed time.Duration) {
	a.held = min(a.held, 1-a.least)
	if a.held > a.heldBefore && a.level > 0 { // those that can't be reached have the same level
		a.level *= (1 - a.held) / (1 - a.heldBefore)
	}
	a.heldBefore = a.held
	rate := a.limit.Rate * (1 - a.held)
	a.level = min(a.level+rate*elapsed.Seconds(), a.size())
	a.level = max(a.level, -maxDebt*a.limit.Rate)
	allowed := max(0, rate+(a.level-a.target())/settle.Seconds())
	a.admit = 1
	if a.demand > allowed {
		a.admit = allowed / a.demand
	}
}

// part returns the part of the limit for a demand, as one of all demands that are known.
func (a *account) part(slow float64) float64 {
	if a.slow <= 0 {
		return 0
	}
	return min(1, slow/a.slow) * (1 - a.held)
}

// nodePart returns the share of the limit that a node of the zone may use.
func (a *account) nodePart(row *sourceRow) float64 {
	if a.nodeSlow <= 0 {
		return 0
	}
	return a.part(a.ownSlow.slow) * min(1, row.slow/a.nodeSlow)
}

// shares returns the shares of the accounts in a report, and the admitted fraction of the others
// that are short.
func (c *Coordinator) shares(r *Report, s *source) []Share {
	shares := make([]Share, 0, len(r.Rows))
	equal := 1 / float64(max(c.members, 1))
	listed := make([]bool, len(c.accounts))
	for i := range r.Rows {
		k, ok := c.index[r.Rows[i].Account]
		if !ok {
			continue
		}
		listed[k] = true
		a, row := &c.accounts[k], s.row(k)
		row.share = a.nodePart(row)
		shares = append(shares, a.share(row.share, equal))
	}
	for k := range c.accounts {
		if a := &c.accounts[k]; !listed[k] && a.admit < 1 {
			shares = append(shares, a.share(min(equal, 1-a.held), equal))
		}
	}
	return shares
}

// share returns the message to a node that may use a fraction of the limit.
func (a *account) share(fraction, equal float64) Share {
	return Share{
		Account:  a.id,
		Fraction: float32(fraction),
		Tokens:   float32(fraction*max(0, a.level) + a.limit.floor(equal)),
		Admit:    float32(a.admit),
		Use:      float32(min(a.demand/a.limit.Rate, maxUse)),
	}
}
