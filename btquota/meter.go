package btquota

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	surge       = 8.0                   // requests beyond four deviations of the expected number that show a flood
	surgeWeight = 0.8                   // of a report that shows one in the measured demand
	minCount    = 0.05                  // requests within rateTime below which a demand counts as ended
	maxCredit   = 2.0                   // admissions that a node can save up while requests are thinned out
	minWait     = 10 * time.Millisecond // bounds of the time that Take returns for a refused request
	maxWait     = 10 * time.Second
)

// Meter admits the requests of accounts on one node. It is safe for concurrent use. A Meter without
// limits admits every request.
type Meter struct {
	table  atomic.Pointer[meterTable] // nil for no limits
	wake   chan struct{}
	demand atomic.Bool // there was demand since the last report
	short  atomic.Bool // an account has used up most of what the last answer gave it

	mu         sync.Mutex // for the fields below, held before that of an account
	random     *rand.Rand
	members    int
	reportedAt time.Time // when the last report was made
}

// meterTable holds the accounts with a limit. It does not change.
type meterTable struct {
	byKey map[Key]*meterAccount
	byID  map[uint64]*meterAccount
}

// meterAccount is the state of one account on a node. Its bucket is refilled at the rate of the
// node's share, and each answer sets its level.
type meterAccount struct {
	mu       sync.Mutex
	limit    Limit
	id       uint64
	equal    float64 // an equal part of the limit for each live member
	share    float64
	admit    float64 // fraction of requests that are admitted
	use      float64
	answered time.Time // when the report was made whose answer gave share, zero for none
	level    float64   // tokens, at time touched
	credit   float64   // a request takes one; grows by admit with each request
	touched  time.Time

	count        int64     // requests since the last report
	rate         float64   // requests per second, at time measured
	measured     time.Time // zero before the first report
	used         int64     // tokens taken less those returned, in total
	reported     int64     // used in the last report
	acknowledged int64     // used in the last report with an answer
	counted      time.Time // last report after a request
	watched      bool      // the account is short, and reports on it go on although there is no demand
	open         bool      // the last report held a row with demand
	pending      bool      // the report that waits for its answer holds a row
	withheld     float64   // tokens that fail took from level
	draw         float64   // random number from 0 to 1
	failed       bool      // the last report got no answer

	admitted, refused int64 // in total
}

// NewMeter returns a Meter without limits. The source serves to spread the admission of thinned out
// requests over the nodes.
func NewMeter(random *rand.Rand) *Meter {
	return &Meter{wake: make(chan struct{}, 1), random: random, members: 1}
}

// Wake returns a channel that receives a value when a report is due: after the first request since
// the last report, and when an account has little left of its share.
func (m *Meter) Wake() <-chan struct{} { return m.wake }

// signal makes Wake receive a value.
func (m *Meter) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Active reports whether any account has a limit.
func (m *Meter) Active() bool { return m.table.Load() != nil }

// SetLimits replaces the limits, and the number of live members. An account that keeps its name
// keeps its share, of the new limit.
func (m *Meter) SetLimits(limits []Limit, members int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = max(members, 1)
	old := m.table.Load()
	if len(limits) == 0 {
		m.table.Store(nil)
		return
	}
	table := &meterTable{make(map[Key]*meterAccount, len(limits)), make(map[uint64]*meterAccount, len(limits))}
	equal := 1 / float64(m.members)
	for _, limit := range limits {
		var a *meterAccount
		if old != nil {
			a = old.byKey[limit.Key]
		}
		if a == nil {
			a = &meterAccount{
				id: limit.id(), share: equal, admit: 1, credit: m.random.Float64(), draw: m.random.Float64(), touched: now,
				level: 1 + limit.Rate*equal/2, // others may have used the burst just before
			}
		}
		a.setLimit(limit, equal, now)
		table.byKey[limit.Key] = a
		table.byID[a.id] = a
	}
	m.table.Store(table)
}

// SetMembers sets the number of live members, which is the divisor of an equal part of a limit.
func (m *Meter) SetMembers(members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	members = max(members, 1)
	table := m.table.Load()
	if members == m.members || table == nil {
		return
	}
	m.members = members
	for _, a := range table.byID {
		a.mu.Lock()
		a.equal = 1 / float64(members)
		a.mu.Unlock()
	}
}

func (a *meterAccount) setLimit(limit Limit, equal float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit.Rate > 0 {
		a.refill(now)
	}
	a.limit, a.equal = limit, equal
	a.level = min(a.level, a.capacity(a.share))
}

// capacity returns the size of the bucket for a share.
func (a *meterAccount) capacity(share float64) float64 {
	return share*a.limit.Burst + a.limit.floor(a.equal)
}

// capacityAt is capacity for the share that the node holds at a time. Without answers, the floors of
// all nodes would add up to several bursts.
func (a *meterAccount) capacityAt(share float64, since time.Duration) float64 {
	if a.failed || (a.open && since != never && since > keepFor) {
		return share*a.limit.Burst + 1
	}
	return a.capacity(share)
}

// never is the age of an answer that there was not.
const never = time.Duration(math.MaxInt64)

// sinceAnswer returns the age of the last answer.
func (a *meterAccount) sinceAnswer(now time.Time) time.Duration {
	if a.answered.IsZero() {
		return never
	}
	return age(a.answered, now)
}

// heldAt returns the share that the node may use when its last answer has an age.
func (a *meterAccount) heldAt(since time.Duration) float64 {
	return heldShare(a.share, a.equal, since)
}

// refill adds the tokens of the time since the last call. After a pause of the process it begins
// anew with little: the share may have been given to others.
func (a *meterAccount) refill(now time.Time) {
	idle, since := max(0, now.Sub(a.touched)), a.sinceAnswer(now)
	share := a.heldAt(since)
	a.level = min(a.level+idle.Seconds()*share*a.limit.Rate, a.capacityAt(share, since))
	if since > paused && since != never && a.open && age(a.touched, now) > paused {
		a.level = min(a.level, 1+share*a.limit.Rate*Period.Seconds())
	}
	if a.admit < 1 && !a.open && !a.watched && since > admitFor {
		a.admit = 1
	}
	if a.admit < 1 && since > keepFor {
		// The fraction describes a demand that has passed, so that the bucket alone decides. The
		// burst has been used up.
		a.admit, a.level = 1, min(a.level, 1+share*a.limit.Rate*Period.Seconds())
	}
	a.touched = now
}

// Admission is the result of Take.
type Admission struct {
	OK      bool          // the request is admitted
	Counted bool          // it took a token, which Return gives back; false for an account without a limit
	Wait    time.Duration // time after which a request that is not admitted would be
	Use     float64       // demand of the account over all nodes divided by its limit, 0 if unknown
}

// Take admits a request of an account or refuses it.
func (m *Meter) Take(key Key, now time.Time) Admission {
	table := m.table.Load()
	if table == nil {
		return Admission{OK: true}
	}
	a := table.byKey[key]
	if a == nil {
		return Admission{OK: true}
	}
	a.mu.Lock()
	wait, ok := a.take(now)
	use := a.use
	if now.Sub(a.answered) > keepFor {
		use = 0
	}
	short := a.level < a.limit.floor(a.equal)/2 && a.admit >= 1 && !a.failed
	a.mu.Unlock()
	first := !m.demand.Load() && !m.demand.Swap(true)
	if short && !m.short.Load() && !m.short.Swap(true) || first {
		m.signal()
	}
	return Admission{OK: ok, Counted: ok, Wait: wait, Use: use}
}

func (a *meterAccount) take(now time.Time) (time.Duration, bool) {
	a.refill(now)
	a.count++
	if a.admit < 1 {
		a.credit = min(a.credit+a.admit, maxCredit)
		if a.credit < 1 {
			a.refused++
			return a.wait(1-a.credit, a.admit*a.rate), false
		}
	}
	if a.level < 1 {
		a.refused++
		return a.wait(1-a.level, a.heldAt(a.sinceAnswer(now))*a.limit.Rate), false
	}
	if a.admit < 1 {
		a.credit--
	}
	a.level--
	a.used++
	a.admitted++
	return 0, true
}

// wait returns the time until an amount has accrued at a rate. The next answer may admit requests
// earlier; without one, the equal part of the limit accrues at least.
func (a *meterAccount) wait(amount, rate float64) time.Duration {
	rate = max(rate, a.equal*a.limit.Rate)
	seconds := min(amount/rate, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// Return gives back the token of a request that was admitted and did not run. It must be called only for
// one that Take has counted.
func (m *Meter) Return(key Key) {
	table := m.table.Load()
	if table == nil {
		return
	}
	a := table.byKey[key]
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level = min(a.level+1, a.capacity(a.share))
	if a.admit < 1 {
		a.credit = min(a.credit+1, maxCredit)
	}
	a.used--
	a.admitted--
}
