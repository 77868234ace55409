package btquota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Next returns the time of the next report, and false if none is due before the next value of Wake.
func (m *Meter) Next() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.short.Load():
		return m.reportedAt.Add(urgent), true
	case m.demand.Load() || m.open():
		return m.reportedAt.Add(Period), true
	default:
		return time.Time{}, false
	}
}

// Report returns the rows of the accounts with demand since the last report, and a last row with no
// demand for each that had some before. It is called again only after Apply or Unanswered.
func (m *Meter) Report(now time.Time) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Store(false)
	m.short.Store(false)
	table := m.table.Load()
	if table == nil {
		return nil
	}
	m.reportedAt = now
	var rows []Row
	for id, a := range table.byID {
		if row, ok := a.report(now); ok {
			row.Account = id
			rows = append(rows, row)
		}
	}
	return rows
}

// open reports whether a row is due although there was no demand since the last report.
func (m *Meter) open() bool {
	table := m.table.Load()
	if table == nil {
		return false
	}
	for _, a := range table.byID {
		a.mu.Lock()
		open := a.open || a.watched || a.used != a.acknowledged
		a.mu.Unlock()
		if open {
			return true
		}
	}
	return false
}

func (a *meterAccount) report(now time.Time) (Row, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count > 0 {
		a.counted = now
	}
	watched := a.admit < 1 && now.Sub(a.counted) < watchFor
	a.watched = watched
	if a.count == 0 && a.used == a.acknowledged && !a.open && !watched {
		return Row{}, false
	}
	interval := Period.Seconds()
	if !a.measured.IsZero() && a.open {
		interval = max(now.Sub(a.measured).Seconds(), 1e-3)
	}
	weight := 1 - math.Exp(-interval/rateTime.Seconds())
	if expected := a.rate * interval; a.open && float64(a.count) > expected+4*math.Sqrt(expected)+surge {
		weight = max(weight, surgeWeight)
	}
	if !a.open {
		a.rate = 0
		if a.count > surge {
			weight = surgeWeight
		}
	}
	a.rate += (float64(a.count)/interval - a.rate) * weight
	if a.count == 0 && a.rate*rateTime.Seconds() < minCount {
		a.rate = 0
	}
	a.measured, a.count = now, 0
	a.open = a.rate > 0
	a.reported, a.pending = a.used, true
	return Row{Demand: float32(a.rate), Used: a.used}, true
}

// Apply takes the shares of an answer to the report that was made at time sent.
func (m *Meter) Apply(shares []Share, ready bool, sent, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := m.table.Load()
	if table == nil {
		return
	}
	current := ready && age(sent, now) <= freshFor
	for i := range shares {
		if a := table.byID[shares[i].Account]; a != nil && current {
			a.apply(&shares[i], sent, now)
		}
	}
	for _, a := range table.byID {
		a.mu.Lock()
		if a.pending {
			a.acknowledged = a.reported
		}
		if current && !a.answered.Equal(sent) {
			a.admit = 1 // the answer lists each account that is short
		}
		if a.failed && ready {
			a.failed = false
			if !a.answered.Equal(sent) {
				a.level = min(a.level+a.withheld, a.capacity(a.share))
			}
		}
		a.pending = false
		a.mu.Unlock()
	}
	if !ready { // the next answer may be
		m.short.Store(true)
		m.signal()
	}
}

func (a *meterAccount) apply(s *Share, sent, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.share, a.admit, a.use, a.answered = float64(s.Fraction), float64(s.Admit), float64(s.Use), sent
	// What was taken since the report is not yet part of the coordinator's sums.
	a.level = min(float64(s.Tokens)-float64(a.used-a.reported), a.capacity(a.share))
}

// Notice takes the shares that a coordinator sent on its own to a node without demand.
func (m *Meter) Notice(shares []Share, now time.Time) {
	table := m.table.Load()
	if table == nil {
		return
	}
	for i := range shares {
		a := table.byID[shares[i].Account]
		if a == nil {
			continue
		}
		a.mu.Lock()
		idle := !a.open && a.count == 0
		a.mu.Unlock()
		if idle {
			a.apply(&shares[i], now, now)
		}
	}
}

// Unanswered records that the last report got no answer. It may have arrived all the same.
func (m *Meter) Unanswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := m.table.Load()
	if table == nil {
		return
	}
	for _, a := range table.byID {
		a.mu.Lock()
		a.fail()
		a.pending = false
		a.mu.Unlock()
	}
}

// fail restricts the bucket to its share. The tokens beyond the share are for the time until the next
// answer; of all nodes together they exceed the tolerance of a small limit. Each node rounds its share
// up or down at random, so that the sum remains.
func (a *meterAccount) fail() {
	if a.failed {
		return
	}
	a.failed = true
	share := max(0, a.level-a.limit.floor(a.equal)) + slack*a.equal
	before := a.level
	a.level = min(a.level, math.Floor(share+a.draw))
	a.withheld = before - a.level
}

// Status is the state of one account on a node.
type Status struct {
	Limit
	Share    float64       // of the limit that the node may use
	Admit    float64       // fraction of requests that the node admits
	Use      float64       // demand over all nodes divided by the limit, 0 if unknown
	Demand   float64       // requests per second on this node
	Age      time.Duration // of the last answer, -1 for none
	Admitted int64         // requests that this process admitted and that ran or are running
	Refused  int64         // requests that this process refused for the limit
}

// Statuses returns the state of all accounts, those with the largest limits first.
func (m *Meter) Statuses(now time.Time) []Status {
	table := m.table.Load()
	if table == nil {
		return nil
	}
	statuses := make([]Status, 0, len(table.byID))
	for _, a := range table.byID {
		a.mu.Lock()
		s := Status{Limit: a.limit, Share: a.heldAt(a.sinceAnswer(now)), Admit: a.admit, Use: a.use, Demand: a.rate, Age: -1, Admitted: a.admitted, Refused: a.refused}
		if !a.answered.IsZero() {
			s.Age = age(a.answered, now)
		}
		a.mu.Unlock()
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Account, b.Account))
	})
	return statuses
}
