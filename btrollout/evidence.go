// Package btrollout decides how far a rollout has got: the share of traffic for
// the new version, whether the version is bad, and when the rollout has ended.
// Each decision is a function of the terms, the time and the merged evidence.
package btrollout

import (
	"slices"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// ID names the rollout of one release to one customer.
type ID struct {
	Offset   baobabtide.Offset `cbor:"1,keyasint"`
	Customer string            `cbor:"2,keyasint"`
	Service  string            `cbor:"3,keyasint"`
}

// IDOf returns the ID of a rollout.
func IDOf(r *baobabtide.Rollout) ID {
	return ID{Offset: r.Offset, Customer: r.Customer, Service: r.Service}
}

// Report is what one node has counted for one rollout. Counts only grow, so
// that of two reports of one incarnation the larger one is the later one.
type Report struct {
	Rollout     ID                         `cbor:"1,keyasint"`
	Node        string                     `cbor:"2,keyasint"`
	Incarnation uint64                     `cbor:"3,keyasint"`
	Routes      []baobabtide.RouteEvidence `cbor:"4,keyasint"` // ordered by route
}

// Trip says that a version is bad. Trips are never taken back.
type Trip struct {
	Rollout  ID                         `cbor:"1,keyasint"`
	Node     string                     `cbor:"2,keyasint"` // node that raised it
	Reason   string                     `cbor:"3,keyasint"`
	Evidence []baobabtide.RouteEvidence `cbor:"4,keyasint"`
}

// reporter tells a node's counts from those of its predecessor.
type reporter struct {
	node        string
	incarnation uint64
}

// Book merges the reports of all nodes. The zero value is empty. Its owner
// serializes calls.
type Book struct {
	reports map[ID]map[reporter]Report
	trips   map[ID]Trip
}

// Merge takes in a report and returns false where it is not news.
func (b *Book) Merge(r Report) bool {
	if b.reports == nil {
		b.reports = make(map[ID]map[reporter]Report)
	}
	nodes := b.reports[r.Rollout]
	if nodes == nil {
		nodes = make(map[reporter]Report)
		b.reports[r.Rollout] = nodes
	}
	key := reporter{r.Node, r.Incarnation}
	if old, ok := nodes[key]; ok && total(old.Routes) >= total(r.Routes) {
		return false
	}
	nodes[key] = r
	return true
}

func total(routes []baobabtide.RouteEvidence) int {
	n := 0
	for _, r := range routes {
		n += r.Old.Requests + r.New.Requests + r.Old.Failures + r.New.Failures
	}
	return n
}

// Raise takes in a trip and returns false where the rollout had one. Of two
// trips the one of the node that orders first is kept, so that all nodes agree.
func (b *Book) Raise(t Trip) bool {
	if b.trips == nil {
		b.trips = make(map[ID]Trip)
	}
	if old, ok := b.trips[t.Rollout]; ok && old.Node <= t.Node {
		return false
	}
	b.trips[t.Rollout] = t
	return true
}

// Trip returns the trip of a rollout.
func (b *Book) Trip(id ID) (Trip, bool) {
	t, ok := b.trips[id]
	return t, ok
}

// Evidence returns the sum of all reports on a rollout, ordered by route.
func (b *Book) Evidence(id ID) []baobabtide.RouteEvidence {
	sums := make(map[string]baobabtide.RouteEvidence)
	for _, report := range b.reports[id] {
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

// Reports returns all reports and trips on rollouts that keep names, for a node
// that has just connected.
func (b *Book) Reports(keep func(ID) bool) ([]Report, []Trip) {
	var reports []Report
	for id, nodes := range b.reports {
		if !keep(id) {
			continue
		}
		for _, r := range nodes {
			reports = append(reports, r)
		}
	}
	var trips []Trip
	for id, t := range b.trips {
		if keep(id) {
			trips = append(trips, t)
		}
	}
	return reports, trips
}

// Forget drops what is known of rollouts that keep does not name.
func (b *Book) Forget(keep func(ID) bool) {
	for id := range b.reports {
		if !keep(id) {
			delete(b.reports, id)
		}
	}
	for id := range b.trips {
		if !keep(id) {
			delete(b.trips, id)
		}
	}
}
