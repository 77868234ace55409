package btnode

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btdispatch"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btquota"
	"github.com/baobabtide/baobabtide/btroute"
)

const (
	usageTimeout       = 150 * time.Millisecond // for the answer to a report, after which the next candidate gets it
	usageCandidates    = 4                      // members of a zone that may coordinate it
	usageTries         = 2                      // candidates that get one report
	preferredPause     = 2 * time.Second        // until a node reports to the first candidate again
	fallbackAfter      = 2 * time.Second        // without an answer, after which a fallback is logged
	maxAccountStatuses = 16                     // accounts in the status and the metrics of a node, those with the largest limits
)

// accounts enforces the limits of client accounts at this node.
type accounts struct {
	meter       *btquota.Meter
	coordinator *btquota.Coordinator
	changed     broadcast     // signaled when limits come into force
	reported    chan struct{} // receives a value when another node has reported

	mu         sync.Mutex // for the fields below
	generation uint64     // of the membership table that the fields below come from
	members    int
	candidates map[string][]baobabtide.Member // of each zone, see btmember.Table.Coordinators
	exchanges  map[string]*zoneExchange       // of each zone
	exchanging map[string]bool                // members that an exchange waits for

	noticing atomic.Bool // notices wait for their answers
	reporter reporter
}

// reporter is the state of usageLoop.
type reporter struct {
	first      int       // position of the candidate that gets the reports
	firstSince time.Time // when it was chosen
	coordinate string    // node that answered last
	answeredAt time.Time // zero for never
	fallback   bool      // no answer for longer than fallbackAfter
	since      time.Time // first report without an answer, zero after an answer
}

func newAccounts(locality btroute.Locality, process uint64) *accounts {
	return &accounts{
		meter:       btquota.NewMeter(rand.New(rand.NewPCG(rand.Uint64(), process))),
		coordinator: btquota.NewCoordinator(locality.Node, process, locality.Zone),
		reported:    make(chan struct{}, 1),
		exchanges:   make(map[string]*zoneExchange),
		exchanging:  make(map[string]bool),
	}
}

var _ btdispatch.Accounts = (*accounts)(nil)

// Take implements btdispatch.Accounts.
func (a *accounts) Take(req *baobabtide.Request, now time.Time) btquota.Admission {
	if !a.meter.Active() {
		return btquota.Admission{OK: true}
	}
	admission := a.meter.Take(btquota.Key{Customer: req.Customer, Account: req.Account}, now)
	req.AccountUse = admission.Use
	return admission
}

// Return implements btdispatch.Accounts.
func (a *accounts) Return(req *baobabtide.Request) {
	a.meter.Return(btquota.Key{Customer: req.Customer, Account: req.Account})
}

// accountLimits returns the limits of the accounts of all contracts.
func accountLimits(state *btconfig.State) []btquota.Limit {
	var limits []btquota.Limit
	for customer, c := range state.Contracts {
		for i := range c.Contract.Accounts {
			a := &c.Contract.Accounts[i]
			if a.RequestsPerSecond > 0 {
				limits = append(limits, btquota.Limit{Key: btquota.Key{Customer: customer, Account: a.Name}, Rate: a.RequestsPerSecond, Burst: a.Burst})
			}
		}
	}
	return limits
}

// setAccountLimits puts the limits of a configuration in force.
func (n *Node) setAccountLimits(limits []btquota.Limit, now time.Time) {
	if len(limits) == 0 && !n.accounts.meter.Active() {
		return
	}
	n.refreshCoordinators()
	n.accounts.mu.Lock()
	members := n.accounts.members
	n.accounts.mu.Unlock()
	n.accounts.coordinator.SetLimits(limits, now)
	n.accounts.meter.SetLimits(limits, members, now)
	n.accounts.changed.signal()
}

// refreshCoordinators takes over the membership, if it has changed. Failed members count as long as
// they are known: they may be cut off and use a part of the limits.
func (n *Node) refreshCoordinators() {
	a := n.accounts
	n.members.mu.Lock()
	generation := n.members.table.Generation()
	a.mu.Lock()
	unchanged := generation == a.generation
	a.mu.Unlock()
	if unchanged {
		n.members.mu.Unlock()
		return
	}
	all := n.members.table.Members()
	candidates := n.members.table.Coordinators(usageCandidates)
	n.members.mu.Unlock()
	members, count := make([]btquota.Member, 0, len(all)), 0
	for i := range all {
		m := &all[i]
		members = append(members, btquota.Member{Name: m.Name, Zone: m.Zone, Process: m.Process, Left: m.Status == baobabtide.Left})
		if m.Status != baobabtide.Left {
			count++
		}
	}
	a.coordinator.SetMembers(members)
	a.meter.SetMembers(count)
	a.mu.Lock()
	a.generation, a.members, a.candidates = generation, count, candidates
	a.mu.Unlock()
}

// zoneCandidates returns the members that may coordinate a zone, the preferred one first.
func (a *accounts) zoneCandidates(zone string) []baobabtide.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidates[zone]
}

// usageLoop reports the demand of accounts to the coordinator of the zone. It waits while no account
// has a limit or there is no demand.
func (n *Node) usageLoop() {
	a := n.accounts
	for n.ctx.Err() == nil {
		changed := a.changed.wait()
		at, due := a.meter.Next()
		if wait := time.Until(at); !due || wait > 0 {
			var timer <-chan time.Time
			if due {
				timer = time.After(wait)
			}
			select {
			case <-n.ctx.Done():
			case <-changed:
			case <-a.meter.Wake():
			case <-timer:
			}
			continue
		}
		n.reportUsage()
	}
}

// reportUsage sends one report and applies the answer.
func (n *Node) reportUsage() {
	a := n.accounts
	now := time.Now()
	rows := a.meter.Report(now)
	if len(rows) == 0 {
		return
	}
	n.refreshCoordinators()
	candidates := a.zoneCandidates(n.locality.Zone)
	r := &a.reporter
	if r.first >= len(candidates) || (r.first > 0 && now.Sub(r.firstSince) > preferredPause) {
		r.first = 0
	}
	for range min(usageTries, len(candidates)) {
		to := &candidates[r.first]
		report := &btquota.Report{Node: n.locality.Node, Process: n.incarnation, Zone: n.locality.Zone, Rows: rows}
		report.Moved = r.coordinate != "" && r.coordinate != to.Name && now.Sub(r.answeredAt) < btquota.MovedWindow
		answer, err := n.sendUsage(to, report)
		if err == nil {
			a.meter.Apply(answer.Shares, answer.Ready, now, time.Now())
			n.leaveCoordinator(to.Name)
			n.recordUsageAnswer(to.Name, now)
			if answer.Yield {
				r.first = 0
			}
			return
		}
		r.first, r.firstSince = (r.first+1)%len(candidates), now
	}
	a.meter.Unanswered()
	n.recordUsageUnanswered(now)
	n.sleep(btquota.Period)
}

// leaveCoordinator tells the member that answered until now, if that was another one, that this
// node no longer reports to it. It need not be a candidate any more: a node that starts knows only
// itself at first, and would reserve the whole limit for itself as a node that has gone silent.
func (n *Node) leaveCoordinator(next string) {
	former := n.accounts.reporter.coordinate
	if former == "" || former == next {
		return
	}
	n.members.mu.Lock()
	m, known := n.members.table.Get(former)
	n.members.mu.Unlock()
	if !known || m.Status >= baobabtide.Failed {
		return
	}
	// If it can't be reached, it reserves the share for as long as this node might use it.
	_, _ = n.sendUsage(&m, &btquota.Report{Node: n.locality.Node, Process: n.incarnation, Zone: n.locality.Zone, Leave: true})
}

// sendUsage sends a report to a member, which may be this node, and returns the answer.
func (n *Node) sendUsage(to *baobabtide.Member, report *btquota.Report) (*btquota.Answer, error) {
	if to.Name == n.locality.Node {
		return n.Usage(report), nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, usageTimeout)
	defer cancel()
	return n.peers.Usage(ctx, to.PeerAddress, report)
}

// recordUsageAnswer logs a change of the node that answers the reports.
func (n *Node) recordUsageAnswer(node string, now time.Time) {
	r := &n.accounts.reporter
	if node != r.coordinate || r.fallback {
		n.log.Info().Str("event", string(btlog.AccountsAnswered)).Str("member", node).Str("previous", r.coordinate).Bool("fallback", r.fallback).Send()
	}
	r.coordinate, r.answeredAt, r.fallback, r.since = node, now, false, time.Time{}
}

// recordUsageUnanswered logs once that reports get no answer any more.
func (n *Node) recordUsageUnanswered(now time.Time) {
	r := &n.accounts.reporter
	if r.since.IsZero() {
		r.since = now
	}
	if !r.fallback && now.Sub(r.since) > fallbackAfter {
		r.fallback = true
		n.log.Warn().Str("event", string(btlog.AccountsFallback)).Str("previous", r.coordinate).Dur("silence-ms", now.Sub(r.since)).Send()
	}
}

// Usage implements btpeer.Node.
func (n *Node) Usage(report *btquota.Report) *btquota.Answer {
	a := n.accounts
	if report.Notice {
		a.meter.Notice(report.Shares, time.Now())
		return &btquota.Answer{Node: n.locality.Node, Process: n.incarnation, Zone: n.locality.Zone}
	}
	if !report.Coordinator && !report.Leave {
		select {
		case a.reported <- struct{}{}:
		default:
		}
	}
	return a.coordinator.Report(report, time.Now())
}

// coordinateLoop exchanges sums with the coordinators of other zones while nodes report to this one.
func (n *Node) coordinateLoop() {
	a := n.accounts
	for n.ctx.Err() == nil {
		select {
		case <-n.ctx.Done():
			return
		case <-a.reported:
		}
		for n.ctx.Err() == nil && a.coordinator.Active(time.Now()) {
			began := time.Now()
			n.refreshCoordinators()
			n.exchangeUsage()
			n.wg.Go(n.sendUsageNotices)
			n.sleep(btquota.Period - time.Since(began))
		}
	}
}

// zoneExchange selects the candidates of a zone that this node exchanges sums with.
type zoneExchange struct {
	current string // candidate that answered last, or that is tried after those that did not
	probe   int    // counts the probes of the candidates before current
}

// targets returns the candidates that get sums in this round: the current one, and in turn one of
// those before it. A zone's nodes report to the first candidate that answers them, which need not be
// the one that answered here after a lost message.
func (e *zoneExchange) targets(candidates []baobabtide.Member) []baobabtide.Member {
	if len(candidates) == 0 {
		return nil
	}
	i := max(position(candidates, e.current), 0)
	e.current = candidates[i].Name
	targets := candidates[i : i+1 : i+1]
	if i > 0 {
		e.probe++
		targets = append(targets, candidates[e.probe%i])
	}
	return targets
}

// answered records that a candidate has answered.
func (e *zoneExchange) answered(candidates []baobabtide.Member, name string) {
	if position(candidates, name) < position(candidates, e.current) {
		e.current = name
	}
}

// unanswered records that a candidate has not answered.
func (e *zoneExchange) unanswered(candidates []baobabtide.Member, name string) {
	if i := position(candidates, name); name == e.current && i >= 0 {
		e.current = candidates[(i+1)%len(candidates)].Name
	}
}

// position returns the index of a member, -1 if it is not in the list.
func position(members []baobabtide.Member, name string) int {
	return slices.IndexFunc(members, func(m baobabtide.Member) bool { return m.Name == name })
}

// exchangeUsage starts an exchange of sums with the coordinator of each other zone whose sums are not
// recent, and with those of this zone that precede this node. It does not wait for the answers: the
// timeouts of a zone that is cut off would make the sums of all others older than a coordinator
// regards as recent.
func (n *Node) exchangeUsage() {
	a := n.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	for zone, candidates := range a.candidates {
		if zone == n.locality.Zone {
			candidates = candidates[:max(position(candidates, n.locality.Node), 0)]
		}
		e := a.exchanges[zone]
		if e == nil {
			e = &zoneExchange{}
			a.exchanges[zone] = e
		}
		for _, to := range e.targets(candidates) {
			if a.exchanging[to.Name] {
				continue
			}
			if !a.coordinator.Due(to.Name, time.Now()) {
				e.answered(candidates, to.Name)
				continue
			}
			a.exchanging[to.Name] = true
			n.wg.Go(func() { n.exchangeWith(e, candidates, &to) })
		}
	}
}

// exchangeWith exchanges sums with one candidate of a zone.
func (n *Node) exchangeWith(e *zoneExchange, candidates []baobabtide.Member, to *baobabtide.Member) {
	a := n.accounts
	answer, err := n.sendUsage(to, a.coordinator.Exchange(time.Now()))
	if err == nil {
		a.coordinator.AddAnswer(answer, time.Now())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.exchanging, to.Name)
	if err == nil {
		e.answered(candidates, to.Name)
	} else {
		e.unanswered(candidates, to.Name)
	}
}

// sendUsageNotices tells the nodes of the zone that do not report which accounts are short. It does
// nothing while earlier notices wait for their answers.
func (n *Node) sendUsageNotices() {
	a := n.accounts
	if !a.noticing.CompareAndSwap(false, true) {
		return
	}
	defer a.noticing.Store(false)
	silent, notice := a.coordinator.Notice(time.Now())
	if len(silent) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, name := range silent {
		n.members.mu.Lock()
		m, known := n.members.table.Get(name)
		n.members.mu.Unlock()
		if !known || m.Status >= baobabtide.Failed {
			continue
		}
		wg.Go(func() {
			if _, err := n.sendUsage(&m, notice); err == nil {
				a.coordinator.Reached(name, time.Now())
			}
		})
	}
	wg.Wait()
}

// statuses returns the state of the accounts with the largest limits, the largest first.
func (a *accounts) statuses(now time.Time) []baobabtide.AccountStatus {
	all := a.meter.Statuses(now)
	largest := all[:min(maxAccountStatuses, len(all))]
	statuses := make([]baobabtide.AccountStatus, 0, len(largest))
	for i := range largest {
		s := &largest[i]
		statuses = append(statuses, baobabtide.AccountStatus{
			Customer: s.Customer, Account: s.Account, RequestsPerSecond: s.Rate, Burst: s.Burst, Share: s.Share,
			Admit: s.Admit, Use: s.Use, Demand: s.Demand, Age: s.Age, Admitted: s.Admitted, Refused: s.Refused,
		})
	}
	return statuses
}

// addAccountMetrics registers the counters and gauges of the accounts with the largest limits. All
// others count together as "other".
func (n *Node) addAccountMetrics() {
	n.metrics.RegisterMetricsWriter(func(w io.Writer) {
		var otherAdmitted, otherRefused int64
		for i, s := range n.accounts.meter.Statuses(time.Now()) {
			if i >= maxAccountStatuses {
				otherAdmitted += s.Admitted
				otherRefused += s.Refused
				continue
			}
			writeAccountCounts(w, s.Customer, s.Account, s.Admitted, s.Refused)
			labels := fmt.Sprintf("{customer=%s,account=%s}", labelValue(s.Customer), labelValue(s.Account))
			fmt.Fprintf(w, "baobabtide_account_share%s %g\n", labels, s.Share)
			fmt.Fprintf(w, "baobabtide_account_admit%s %g\n", labels, s.Admit)
			fmt.Fprintf(w, "baobabtide_account_use%s %g\n", labels, s.Use)
		}
		if otherAdmitted+otherRefused > 0 {
			writeAccountCounts(w, "", "other", otherAdmitted, otherRefused)
		}
	})
}

func writeAccountCounts(w io.Writer, customer, account string, admitted, refused int64) {
	labels := fmt.Sprintf("customer=%s,account=%s", labelValue(customer), labelValue(account))
	fmt.Fprintf(w, "baobabtide_account_requests_total{%s,result=\"admitted\"} %d\n", labels, admitted)
	fmt.Fprintf(w, "baobabtide_account_requests_total{%s,result=\"refused\"} %d\n", labels, refused)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue returns a value of a label as the Prometheus text format quotes it, which knows fewer
// escapes than Go.
func labelValue(value string) string { return `"` + labelEscaper.Replace(value) + `"` }
