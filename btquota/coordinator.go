package btquota

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Coordinator collects the demand of the nodes of a zone and of the other zones, and tells the nodes
// what they may use. It is safe for concurrent use. One that gets no reports does nothing.
type Coordinator struct {
	node    string
	process uint64
	zone    string

	mu         sync.Mutex
	accounts   []account
	index      map[uint64]int // in accounts, by the account's number
	sources    map[string]*source
	noticed    map[string]time.Time // last notice sent to each node that has not reported lately
	reached    map[string]time.Time // last notice that each of them got
	own        []string             // live members of the zone
	takenAt    time.Time            // when this coordinator took over from one that its nodes had reported to, zero if it did not
	precededAt time.Time            // last answer of a candidate of the zone that precedes this one
	reporting  int                  // nodes that have reported lately
	members    int                  // live members of all zones
	zones      map[string]int       // live members of each other zone
	started    time.Time            // first report of a node, zero before
	begun      time.Time            // first report after an idle time, zero while idle
	lastSeen   time.Time            // last report of a node
	combined   time.Time            // when the sums of the accounts were computed
}

// account holds the sums of an account over all nodes.
type account struct {
	limit Limit
	id    uint64
	level float64 // tokens of the bucket of all nodes, at the time of the sums
	own   int64   // use that nodes have reported to this coordinator in total

	demand     float64   // requests per second of the nodes and zones that report
	ownDemand  float64   // of the nodes that report to this coordinator
	slow       float64   // sum of the demands, each as sourceRow.slow follows it
	nodeSlow   float64   // sum of sourceRow.slow of the nodes that report to this coordinator
	ownSlow    sourceRow // ownDemand as a source. The sum of nodeSlow exceeds it by the variation of each node, which would claim too much for the zone
	held       float64   // sum of the shares that are reserved for those that no longer report
	ownHeld    float64   // of those, by this coordinator for nodes of its zone
	idleHeld   float64   // the part of ownHeld for nodes without demand, before it is reduced
	heldBefore float64   // held of the sums before
	least      float64   // part of the limit that is not reserved, whatever the others have used
	admit      float64
}

// source is a node of the zone or the coordinator of another one.
type source struct {
	process     uint64
	zone        string
	coordinator bool
	follows     bool        // a candidate of the same zone behind this one; its nodes report here once they can
	at          time.Time   // of the last report
	rows        []sourceRow // of the accounts that the source has reported
	position    []int32     // 1 + index in rows, by index in Coordinator.accounts, 0 for no row
}

// find returns the row of an account, nil if there is none.
func (s *source) find(k int) *sourceRow {
	if s.position[k] == 0 {
		return nil
	}
	return &s.rows[s.position[k]-1]
}

// row returns the row of an account, and creates it if there is none. It is valid until the next call.
func (s *source) row(k int) *sourceRow {
	if s.position[k] == 0 {
		s.rows = append(s.rows, sourceRow{account: k})
		s.position[k] = int32(len(s.rows))
	}
	return s.find(k)
}

// sourceRow is the demand of a source for one account.
type sourceRow struct {
	account int     // index in Coordinator.accounts
	demand  float64 // requests per second at time at
	slow    float64 // follows demand up at once and down with slowTime
	share   float64 // that the source was told to use, or that another zone claims
	held    float64 // that another coordinator reserves for nodes of its zone
	used    int64   // last total of another coordinator
	counted bool    // used is valid
	at      time.Time
}

// NewCoordinator returns a Coordinator for a zone without limits.
func NewCoordinator(node string, process uint64, zone string) *Coordinator {
	return &Coordinator{node: node, process: process, zone: zone, sources: make(map[string]*source), noticed: make(map[string]time.Time), reached: make(map[string]time.Time)}
}

// SetLimits replaces the limits. An account that keeps its name keeps the level of its bucket, up to
// the new size.
func (c *Coordinator) SetLimits(limits []Limit, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started.IsZero() {
		c.started = now
	}
	accounts := make([]account, len(limits))
	index := make(map[uint64]int, len(limits))
	for i, limit := range limits {
		a := account{limit: limit, id: limit.id(), admit: 1}
		// After a restart of all nodes, the burst may have been used just before.
		a.level = min(a.afterStart(), a.size())
		if old, ok := c.index[a.id]; ok {
			a = c.accounts[old]
			a.limit = limit
			a.level = min(a.level, a.size())
		}
		accounts[i], index[a.id] = a, i
	}
	for _, s := range c.sources {
		rows := s.rows
		s.rows, s.position = nil, make([]int32, len(limits))
		for i := range rows {
			if k, ok := index[c.accounts[rows[i].account].id]; ok {
				rows[i].account = k
				*s.row(k) = rows[i]
			}
		}
	}
	c.accounts, c.index, c.combined = accounts, index, time.Time{}
}

// Member is a node that the membership knows.
type Member struct {
	Name    string
	Zone    string
	Process uint64
	Left    bool // it has stopped as planned
}

// SetMembers sets the members of all zones. What is reserved for those that have left or have started
// again is free.
func (c *Coordinator) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members, c.zones, c.own = 0, make(map[string]int), nil
	live := make(map[string]bool, len(members))
	for _, m := range members {
		if s := c.sources[m.Name]; s != nil && (m.Left || m.Process > s.process) {
			delete(c.sources, m.Name)
		}
		if m.Left {
			continue
		}
		live[m.Name] = true
		c.members++
		if m.Zone == c.zone {
			c.own = append(c.own, m.Name)
		} else {
			c.zones[m.Zone]++
		}
	}
	for _, names := range []map[string]time.Time{c.noticed, c.reached} {
		maps.DeleteFunc(names, func(name string, _ time.Time) bool { return !live[name] })
	}
}

// size returns the number of tokens that the bucket of an account holds at most. The part of those
// that can't be reached is left to them.
func (a *account) size() float64 { return (a.limit.Burst + slack) * (1 - a.held) }

// target returns the level of the bucket that the control aims at. An account that sends little more
// than its limit may use the whole burst: its use does not change much until it is reported.
func (a *account) target() float64 {
	overload := min(max(a.demand/a.limit.Rate-1, 0), 1)
	return overload * reserve * a.limit.Burst * (1 - a.held)
}

// afterStart is the level of a bucket whose use in the last seconds is not known.
func (a *account) afterStart() float64 { return startBurst*a.limit.Burst + slack }

// Report takes the report of a node or another coordinator and returns the answer.
func (c *Coordinator) Report(r *Report, now time.Time) *Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := &Answer{Node: c.node, Process: c.process, Zone: c.zone}
	if r.Coordinator {
		c.combine(now, false)
		answer.Rows = c.rows()
		c.addZone(r.Node, r.Process, r.Zone, r.Rows, now)
		if s := c.sources["zone "+r.Node]; s != nil && r.Zone == c.zone {
			s.follows = true // Exchange is sent to none of the zone but those that precede
		}
		return answer
	}
	if r.Leave {
		delete(c.sources, r.Node)
		return answer
	}
	c.begin(r, now)
	s := c.source(r.Node, r.Process, r.Zone, false)
	silent := age(s.at, now) > freshFor
	s.at = now
	for i := range r.Rows {
		row := &r.Rows[i]
		if k, ok := c.index[row.Account]; ok {
			known := s.row(k)
			used := known.usedSince(row, silent, r.Moved)
			known.update(float64(row.Demand), now)
			c.accounts[k].own += used
			c.accounts[k].level -= float64(used)
		}
	}
	c.combine(now, false)
	answer.Yield = c.preceded(now)
	answer.Ready = c.ready(now) && !answer.Yield
	if answer.Ready {
		answer.Shares = c.shares(r, s)
	}
	return answer
}

// begin records the time of a report. A coordinator that takes over from another one does not know
// the use of the last seconds, so its buckets begin with the reserve only.
func (c *Coordinator) begin(r *Report, now time.Time) {
	if age(c.lastSeen, now) > freshFor {
		c.begun = now
		c.takenAt = time.Time{}
		if r.Moved {
			c.takenAt = now
			c.combine(now, true)
			for k := range c.accounts {
				a := &c.accounts[k]
				a.level = min(a.level, a.afterStart())
			}
		}
	}
	c.lastSeen = now
}

// Due reports whether the sums of another coordinator are no longer recent.
func (c *Coordinator) Due(node string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sources["zone "+node]
	return s == nil || now.Sub(s.at) >= exchangeAfter
}

// Exchange returns the report to the other coordinators.
func (c *Coordinator) Exchange(now time.Time) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.combine(now, false)
	return &Report{Node: c.node, Process: c.process, Zone: c.zone, Coordinator: true, Rows: c.rows()}
}

// AddAnswer takes the answer of another coordinator to a report of Exchange.
func (c *Coordinator) AddAnswer(a *Answer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addZone(a.Node, a.Process, a.Zone, a.Rows, now)
	if a.Zone == c.zone && a.Node != c.node {
		c.precededAt = now // Exchange is sent to none of the zone but those
	}
}

// Active reports whether a node reports to this coordinator, so that it must exchange sums.
func (c *Coordinator) Active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastSeen.IsZero() && now.Sub(c.lastSeen) < keepFor
}

// source returns the state of a source, and creates it if its process is new.
func (c *Coordinator) source(node string, process uint64, zone string, coordinator bool) *source {
	name := node
	if coordinator {
		name = "zone " + node // a coordinator is also a node that may report
	}
	s := c.sources[name]
	if s == nil || s.process != process {
		s = &source{process: process, zone: zone, coordinator: coordinator, position: make([]int32, len(c.accounts))}
		c.sources[name] = s
	}
	return s
}

// usedSince returns what a node used since its last report on an account. Of one that was silent, the
// share was reserved. What it used before it moved here, another coordinator has counted.
func (r *sourceRow) usedSince(row *Row, silent, moved bool) int64 {
	used := row.Used - r.used
	switch {
	case !r.counted && moved:
		used = 0
	case !r.counted:
		used = min(used, int64(math.Ceil(float64(row.Demand)*rateTime.Seconds())))
	case silent && r.demand > 0:
		used = 0
	}
	r.used, r.counted = row.Used, true
	return used
}

// update records the demand of a source.
func (r *sourceRow) update(demand float64, now time.Time) {
	if !r.at.IsZero() {
		r.slow = r.slowAt(now)
	}
	r.slow = max(r.slow, demand)
	r.demand, r.at = demand, now
}

// slowAt returns slow at a time after at. It decreases nearly as an exponential does, at a fraction
// of the cost: this is computed for each account and source.
func (r *sourceRow) slowAt(now time.Time) float64 {
	return r.slow / (1 + now.Sub(r.at).Seconds()/slowTime.Seconds())
}

// addZone records the sums of another coordinator. It takes the place of an earlier one of its zone
// that is silent.
func (c *Coordinator) addZone(node string, process uint64, zone string, rows []Row, now time.Time) {
	if node == c.node {
		return
	}
	for name, s := range c.sources {
		if s.coordinator && s.zone == zone && name != "zone "+node && age(s.at, now) > freshFor && zone != c.zone {
			delete(c.sources, name)
		}
	}
	s := c.source(node, process, zone, true)
	since := age(s.at, now)
	silent := since > zoneFresh
	s.at = now
	reported := make([]bool, len(c.accounts))
	for i := range rows {
		k, ok := c.index[rows[i].Account]
		if !ok {
			continue
		}
		reported[k] = true
		row := s.row(k)
		if row.counted {
			used := float64(rows[i].Used - row.used)
			if silent { // less what the bucket did not get while the share was reserved
				used = max(0, used-(row.share+row.held)*c.accounts[k].limit.Rate*(since-zoneFresh).Seconds())
			}
			c.accounts[k].level -= used
		}
		row.used, row.counted, row.held = rows[i].Used, true, float64(rows[i].Held)
		row.update(float64(rows[i].Demand), now)
	}
	for i := range s.rows {
		if row := &s.rows[i]; !reported[row.account] && !row.at.IsZero() {
			row.held = 0
			row.update(0, now)
		}
	}
	c.combine(now, true)
	for i := range s.rows {
		// The largest of the last seconds: as a flood begins, this coordinator sees it in its own zone
		// first, and would claim the shares of the others if it lost them just then.
		row := &s.rows[i]
		row.share = max(c.accounts[row.account].part(row.slow), row.share/(1+since.Seconds()/shareTime.Seconds()))
	}
}

// rows returns the sums of the nodes that report to this coordinator, without accounts that had no
// demand yet.
func (c *Coordinator) rows() []Row {
	var rows []Row
	for k := range c.accounts {
		if a := &c.accounts[k]; a.ownDemand > 0 || a.own != 0 {
			rows = append(rows, Row{Account: a.id, Demand: float32(a.ownDemand), Held: float32(min(a.ownHeld, 1)), Used: a.own})
		}
	}
	return rows
}

// preceded reports whether a candidate of the zone that precedes this one answers, so that the zone's
// nodes only need to find their way back to it.
func (c *Coordinator) preceded(now time.Time) bool {
	return !c.precededAt.IsZero() && age(c.precededAt, now) <= freshFor
}

// unknown returns the part of each limit that is reserved for the members of the zone that have not
// reported since this coordinator took over. They may be cut off together with the earlier one.
func (c *Coordinator) unknown(now time.Time) float64 {
	if c.takenAt.IsZero() || now.Sub(c.takenAt) > holdFor || c.members == 0 || c.preceded(now) {
		return 0
	}
	count := 0
	for _, node := range c.own {
		if c.sources[node] == nil && !c.reached[node].After(c.takenAt) {
			count++
		}
	}
	return float64(count) / float64(c.members)
}

// Notice returns a message for nodes of the zone that have not reported lately, and the names of
// those, if there is any reason to send it: that accounts are short, of which each of these nodes
// could admit a request before its report is answered, or that this coordinator has taken over and
// does not know whether they are idle or cut off. Each node gets a notice once per noticeAfter.
func (c *Coordinator) Notice(now time.Time) ([]string, *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSeen.IsZero() || age(c.lastSeen, now) > freshFor {
		return nil, nil
	}
	c.combine(now, false)
	notice := &Report{Node: c.node, Process: c.process, Zone: c.zone, Notice: true}
	equal := 1 / float64(max(c.members, 1))
	for k := range c.accounts {
		if a := &c.accounts[k]; a.admit < 1 {
			notice.Shares = append(notice.Shares, a.share(min(equal, 1-a.held), equal))
		}
	}
	if len(notice.Shares) == 0 && c.unknown(now) == 0 {
		return nil, nil
	}
	var silent []string
	for _, node := range c.own {
		s := c.sources[node]
		unheard := s == nil && !c.takenAt.IsZero() && !c.reached[node].After(c.takenAt)
		if (unheard || len(notice.Shares) > 0 && (s == nil || age(s.at, now) > freshFor)) && now.Sub(c.noticed[node]) > noticeAfter {
			silent = append(silent, node)
			c.noticed[node] = now
		}
	}
	return silent, notice
}

// Reached records that a node got a notice.
func (c *Coordinator) Reached(node string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[node] = now
}

// ready reports whether this coordinator knows the demand of all zones with members. It does not wait
// longer than readyFor: for a zone that does not answer, it reserves the part of its members.
func (c *Coordinator) ready(now time.Time) bool {
	missing := false
	for zone, members := range c.zones {
		if members == 0 || c.heard(zone) {
			continue
		}
		missing = true
		if now.Sub(c.begun) >= readyFor {
			c.reserve(zone, members, now)
		}
	}
	return !missing || now.Sub(c.begun) >= readyFor
}

func (c *Coordinator) heard(zone string) bool {
	for _, s := range c.sources {
		if s.coordinator && s.zone == zone {
			return true
		}
	}
	return false
}

// reserve adds a silent source for a zone that has never answered. Its share is that of its members.
func (c *Coordinator) reserve(zone string, members int, now time.Time) {
	s := c.source("?"+zone, 0, zone, true)
	s.at = now.Add(-2 * freshFor)
	for k := range c.accounts {
		*s.row(k) = sourceRow{account: k, demand: 1, share: float64(members) / float64(max(c.members, members)), at: s.at}
	}
}
