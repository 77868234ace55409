// Package btrollout decides on rollouts: which share of traffic the new version
// gets, whether the version is bad and which outcome to propose. Each decision is
// a function of the rollout's terms, the time and the merged evidence of all
// nodes.
package btrollout

import (
	"slices"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// ID identifies the rollout of one release to one customer.
type ID struct {
	Offset   baobabtide.Offset `cbor:"1,keyasint"` // of the release
	Customer string            `cbor:"2,keyasint"`
	Service  string            `cbor:"3,keyasint"`
}

// IDOf returns the ID of a rollout.
func IDOf(r *baobabtide.Rollout) ID {
	return ID{Offset: r.Offset, Customer: r.Customer, Service: r.Service}
}

// Report holds the counts of one node for one rollout. Counts only grow, so of
// two reports of one incarnation the one with the higher counts is the later one.
type Report struct {
	Rollout     ID                         `cbor:"1,keyasint"`
	Node        string                     `cbor:"2,keyasint"`
	Incarnation uint64                     `cbor:"3,keyasint"`
	Routes      []baobabtide.RouteEvidence `cbor:"4,keyasint"` // ordered by route
}

// Covers reports whether a report is of the same node, incarnation and rollout as another one and
// at least as late.
func (r *Report) Covers(other *Report) bool {
	return r.Rollout == other.Rollout && r.Node == other.Node && r.Incarnation == other.Incarnation && sumCounts(r.Routes) >= sumCounts(other.Routes)
}

// Trip declares the new version of a rollout bad. A trip is never withdrawn.
type Trip struct {
	Rollout  ID                         `cbor:"1,keyasint"`
	Node     string                     `cbor:"2,keyasint"` // node that found the version bad
	Reason   string                     `cbor:"3,keyasint"`
	Evidence []baobabtide.RouteEvidence `cbor:"4,keyasint"`
}

// reporter identifies one incarnation of a node. After a restart a node counts
// from 0 again, so its incarnations report separately.
type reporter struct {
	node        string
	incarnation uint64
}

// ReportStore stores the latest reports of all nodes and one trip per rollout. The
// zero value is empty. It is not safe for concurrent use.
type ReportStore struct {
	reports map[ID]map[reporter]Report
	trips   map[ID]Trip
}

// Merge stores a report and returns true, unless a report of the same node and
// incarnation with counts at least as high is stored already.
func (s *ReportStore) Merge(r Report) bool {
	if s.reports == nil {
		s.reports = make(map[ID]map[reporter]Report)
	}
	byReporter := s.reports[r.Rollout]
	if byReporter == nil {
		byReporter = make(map[reporter]Report)
		s.reports[r.Rollout] = byReporter
	}
	key := reporter{r.Node, r.Incarnation}
	if old, ok := byReporter[key]; ok && sumCounts(old.Routes) >= sumCounts(r.Routes) {
		return false
	}
	byReporter[key] = r
	return true
}

// sumCounts returns the sum of all counts of a report.
func sumCounts(routes []baobabtide.RouteEvidence) int {
	sum := 0
	for _, r := range routes {
		sum += r.Old.Requests + r.New.Requests + r.Old.Failures + r.New.Failures
	}
	return sum
}

// AddTrip stores a trip and returns true, unless the rollout has a trip of the
// same node or of one whose name sorts before. Of several trips the one of the
// node that sorts first is kept, so that all nodes agree on its reason.
func (s *ReportStore) AddTrip(t Trip) bool {
	if s.trips == nil {
		s.trips = make(map[ID]Trip)
	}
	if old, ok := s.trips[t.Rollout]; ok && old.Node <= t.Node {
		return false
	}
	s.trips[t.Rollout] = t
	return true
}

// Trip returns the trip of a rollout and whether there is one.
func (s *ReportStore) Trip(id ID) (Trip, bool) {
	t, ok := s.trips[id]
	return t, ok
}

// Evidence returns the sum of all reports on a rollout per route, ordered by route.
func (s *ReportStore) Evidence(id ID) []baobabtide.RouteEvidence {
	sums := make(map[string]baobabtide.RouteEvidence)
	for _, report := range s.reports[id] {
		for _, r := range report.Routes {
			sum := sums[r.Route]
			sum.Route = r.Route
			sum.Old = addCounts(sum.Old, r.Old)
			sum.New = addCounts(sum.New, r.New)
			sums[r.Route] = sum
		}
	}
	evidence := make([]baobabtide.RouteEvidence, 0, len(sums))
	for _, sum := range sums {
		evidence = append(evidence, sum)
	}
	slices.SortFunc(evidence, func(a, b baobabtide.RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
	return evidence
}

func addCounts(a, b baobabtide.Counts) baobabtide.Counts {
	return baobabtide.Counts{Requests: a.Requests + b.Requests, Failures: a.Failures + b.Failures}
}

// Reports returns the reports and trips of every rollout for which keep returns
// true, to be sent to a node that has just connected.
func (s *ReportStore) Reports(keep func(ID) bool) ([]Report, []Trip) {
	var reports []Report
	for id, byReporter := range s.reports {
		if !keep(id) {
			continue
		}
		for _, r := range byReporter {
			reports = append(reports, r)
		}
	}
	var trips []Trip
	for id, t := range s.trips {
		if keep(id) {
			trips = append(trips, t)
		}
	}
	return reports, trips
}

// Move stores the reports and the trip of a rollout under another ID of the same rollout, and returns the
// trip and whether there is one.
func (s *ReportStore) Move(from, to ID) (Trip, bool) {
	for _, r := range s.reports[from] {
		r.Rollout = to
		s.Merge(r)
	}
	delete(s.reports, from)
	if t, ok := s.trips[from]; ok {
		t.Rollout = to
		s.AddTrip(t)
		delete(s.trips, from)
	}
	return s.Trip(to)
}

// Forget deletes the reports and trips of every rollout for which keep returns
// false.
func (s *ReportStore) Forget(keep func(ID) bool) {
	for id := range s.reports {
		if !keep(id) {
			delete(s.reports, id)
		}
	}
	for id := range s.trips {
		if !keep(id) {
			delete(s.trips, id)
		}
	}
}
