// Package btroute matches requests to routes and picks the targets that serve
// them. A Table is built from a configuration together with the targets that its
// routes need. Its routes and targets never change; only rollout shares, the
// counters of split routes and the statistics of targets do.
package btroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
)

const maxLeaving = 256 // leaving targets that a table remembers; they stop within seconds

// Table maps requests to routes and routes to targets. Once built, it is safe
// for concurrent use.
type Table struct {
	Offset       baobabtide.Offset // log offset of the configuration
	Revision     uint64            // of the configuration, as btconfig.State.Revision returns it
	customers    map[string]*customerRoutes
	destinations map[string]*Destination // by btconfig.AssignmentKey
	targets      map[targetKey]*Target
	leaving      []targetKey // see leavingTargets
	position     float64     // of the node on the rings of the pools
}

// Route is a customer's route with the destinations that serve it.
type Route struct {
	Customer    string
	Terms       baobabtide.RouteTerms
	Destination *Destination // the only destination, or the first of a split route
	split       *split       // nil for a route that goes to one service
}

// Choose returns the destination of the next request.
func (r *Route) Choose() *Destination {
	if r.split == nil {
		return r.Destination
	}
	return r.split.choose()
}

// targetKey identifies a target. The incarnation distinguishes it from earlier
// targets of the same name at the same node.
type targetKey struct {
	node        string
	name        string
	incarnation uint64
}

// Locality is the location of the node that uses a table. It determines the distance
// to each target.
type Locality struct {
	Node   string
	Zone   string
	Region string
}

// Build returns the table for a configuration and the members with their targets.
// It keeps a reference to the contracts in state, which must not change afterwards.
// Targets that prev contains keep their statistics; prev may be nil. If no target
// of an assigned version is known yet, the version that prev uses stays in use if
// it still has targets, so that routes don't lead to a version without targets.
func Build(state *btconfig.State, members []baobabtide.Member, locality Locality, prev *Table) *Table {
	t := &Table{
		Offset:       state.Offset,
		Revision:     state.Revision(),
		customers:    make(map[string]*customerRoutes, len(state.Contracts)),
		destinations: make(map[string]*Destination, len(state.Assignments)),
		targets:      make(map[targetKey]*Target),
		leaving:      prev.leavingTargets(),
		position:     ringPosition(members, locality),
	}
	pools := t.collectTargets(members, locality, prev)
	for customer, c := range state.Contracts {
		t.addContract(state, customer, &c.Contract, pools, prev)
	}
	return t
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// collectTargets adds the available targets to the table and returns them grouped
// by version. A target is available if it is ready and its node is live or suspect.
func (t *Table) collectTargets(members []baobabtide.Member, locality Locality, prev *Table) map[versionKey]*Pool {
	pools := make(map[versionKey]*Pool)
	for i := range members {
		m := &members[i]
		if m.Status >= baobabtide.Failed {
			continue
		}
		for j := range m.Targets {
			if m.Targets[j].State != baobabtide.TargetReady {
				continue
			}
			target := newTarget(m, &m.Targets[j], locality, prev)
			if slices.Contains(t.leaving, target.key()) {
				continue
			}
			t.targets[target.key()] = target
			key := versionKey{target.Service, target.Version}
			if pools[key] == nil {
				pools[key] = &Pool{}
			}
			pools[key].add(target)
		}
	}
	for _, pool := range pools {
		pool.arrange(t.position)
	}
	return pools
}

// leavingTargets returns the keys of the targets that have said that they are about to stop,
// oldest first, maxLeaving at most. Such a target gets no requests even if the node beside
// it, which may have forgotten it in a restart, announces it as ready.
func (t *Table) leavingTargets() []targetKey {
	if t == nil {
		return nil
	}
	leaving := t.leaving
	for key, target := range t.targets {
		if target.Stats.leaving.Load() {
			leaving = append(slices.Clip(leaving), key)
		}
	}
	return leaving[max(0, len(leaving)-maxLeaving):]
}

func newTarget(m *baobabtide.Member, announced *baobabtide.Target, locality Locality, prev *Table) *Target {
	target := &Target{
		Ref: baobabtide.TargetRef{
			Node:        m.Name,
			Address:     m.PeerAddress,
			Process:     m.Process,
			Name:        announced.Name,
			Incarnation: announced.Incarnation,
		},
		Service:  announced.Service,
		Version:  announced.Version,
		Slots:    announced.Slots,
		Suspect:  m.Status == baobabtide.Suspect,
		Distance: distance(m, locality),
		nodeHash: xxhash.Sum64String(m.Name),
	}
	if prev != nil {
		if old, ok := prev.targets[target.key()]; ok {
			target.Stats = old.Stats
		}
	}
	if target.Stats == nil {
		target.Stats = &Stats{}
	}
	return target
}

func distance(m *baobabtide.Member, locality Locality) Distance {
	switch {
	case m.Name == locality.Node:
		return SameNode
	case m.Zone == locality.Zone:
		return SameZone
	case m.Region == locality.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (t *Table) addContract(state *btconfig.State, customer string, c *baobabtide.Contract, pools map[versionKey]*Pool, prev *Table) {
	routes := newCustomerRoutes(c)
	routes.accounts = newAccounts(c.Accounts, prev.Accounts(customer))
	for i := range c.Services {
		t.addDestination(state, customer, &c.Services[i], pools, prev)
	}
	for i := range c.Services {
		terms := &c.Services[i]
		for j := range terms.Routes {
			route := &Route{Customer: customer, Terms: terms.Routes[j], Destination: t.Destination(customer, terms.Service)}
			if len(route.Terms.Split) > 0 {
				route.split = t.newSplit(customer, route.Terms.Split)
				route.Destination = route.split.parts[0].destination
			}
			routes.add(route)
		}
	}
	t.customers[customer] = routes
}

// addDestination adds the destination for a customer's service, with its versions
// and their targets.
func (t *Table) addDestination(state *btconfig.State, customer string, terms *baobabtide.ServiceTerms, pools map[versionKey]*Pool, prev *Table) *Destination {
	key := btconfig.AssignmentKey(customer, terms.Service)
	dest := &Destination{Customer: customer, Service: terms.Service, Terms: terms}
	t.destinations[key] = dest
	a, ok := state.Assignments[key]
	if !ok {
		return dest
	}
	if a.Current == baobabtide.AnyVersion {
		dest.Current = anyVersion(&a, pools, t.position)
	} else {
		dest.Current = version(terms.Service, a.Current, pools)
	}
	if a.Running() {
		dest.Next = version(terms.Service, a.Rollout.To, pools)
		dest.Rollout = a.Rollout
	}
	if dest.Current.Pool.Size() > 0 {
		return dest
	}
	var old *Destination
	if prev != nil {
		old = prev.destinations[key]
	}
	dest.keepPrevious(old, pools)
	dest.useOnlyVersion(&a, old)
	return dest
}

// useOnlyVersion makes the version being rolled out to an unversioned service the current one if no
// other version has targets: operators may order the version that carries the traffic. Where the
// targets of other versions have been lost, the new version is still unproven and keeps its share.
func (d *Destination) useOnlyVersion(a *baobabtide.Assignment, old *Destination) {
	if a.Current != baobabtide.AnyVersion || d.Rollout == nil || d.Current.Pool.Size() > 0 {
		return
	}
	d.lost = a.InForce != "" || d.losesTargets(old)
	if d.lost || d.Next.Pool.Size() == 0 {
		return
	}
	d.IsOnly = true
	d.Current, d.Next, d.Rollout = d.Next, Version{}, nil
}

// losesTargets reports whether a version other than the one being rolled out had targets in an
// earlier table, which served the same rollout or the time before it.
func (d *Destination) losesTargets(old *Destination) bool {
	if old == nil {
		return false
	}
	if old.lost && old.Rollout != nil && d.Rollout.Is(old.Rollout.Offset, old.Rollout.To, old.Rollout.Sum) {
		return true
	}
	return slices.ContainsFunc(old.Current.Pool.Targets(), func(t *Target) bool { return t.Version != d.Rollout.To })
}

// keepPrevious replaces the current version, which has no known target, by the one
// of the previous table if that still has targets.
func (d *Destination) keepPrevious(old *Destination, pools map[versionKey]*Pool) {
	if old == nil || old.Current.Name == d.Current.Name || old.IsOnly {
		return
	}
	held := version(d.Service, old.Current.Name, pools)
	if held.Pool.Size() == 0 {
		return
	}
	d.Held = d.Current.Name
	d.Current = held
}

func version(service, name string, pools map[versionKey]*Pool) Version {
	return Version{Name: name, Pool: pools[versionKey{service, name}]}
}

// anyVersion returns the targets that receive the traffic of an unversioned
// service: those of the version in force, if it has any; otherwise all targets
// except those of the version that a running rollout introduces and those of
// refused versions.
func anyVersion(a *baobabtide.Assignment, pools map[versionKey]*Pool, position float64) Version {
	if a.InForce != "" {
		if v := version(a.Service, a.InForce, pools); v.Pool.Size() > 0 {
			return v
		}
	}
	v := Version{Name: baobabtide.AnyVersion}
	for key, pool := range pools {
		isNext := a.Running() && a.Rollout.To == key.version
		if key.service != a.Service || isNext || slices.Contains(a.Refused, key.version) {
			continue
		}
		if v.Pool == nil {
			v.Pool = &Pool{}
		}
		v.Pool.targets = append(v.Pool.targets, pool.targets...)
	}
	if v.Pool != nil {
		v.Pool.arrange(position)
	}
	return v
}

// Configured reports whether the table was built from a configuration with a contract. It
// returns false for a nil table.
func (t *Table) Configured() bool { return t != nil && t.Offset > 0 && len(t.customers) > 0 }

// HasCustomer reports whether the customer has a contract.
func (t *Table) HasCustomer(customer string) bool {
	_, ok := t.customers[customer]
	return ok
}

// CallerLimits returns the limits on requests of a customer's callers, nil for none.
func (t *Table) CallerLimits(customer string) *baobabtide.CallerLimits {
	if routes := t.customers[customer]; routes != nil {
		return routes.callerLimits
	}
	return nil
}

// Match returns the route for a request, or nil. Among the routes of the host that
// accept the method, it selects the one with the longest prefix of the path,
// ignoring the query. If there is none, it does the same among the routes without a
// host. It does not allocate.
func (t *Table) Match(customer, host, method, path string) *Route {
	routes := t.customers[customer]
	if routes == nil {
		return nil
	}
	return routes.match(host, method, path)
}

// Destination returns the destination for a customer's service, or nil.
func (t *Table) Destination(customer, service string) *Destination {
	return t.destinations[btconfig.AssignmentKey(customer, service)]
}

// Servers returns the number of available targets of a service, whatever their version,
// without those that have crashed.
func (t *Table) Servers(service string, now time.Time) int {
	count := 0
	for _, target := range t.targets {
		if target.Service == service && !target.Stats.downUntil.After(now) {
			count++
		}
	}
	return count
}

// RecordDown records that an incarnation of a backend server has crashed. The target stays in
// its pool, because the homes of keys depend on the targets.
func (t *Table) RecordDown(name string, incarnation uint64, now time.Time) {
	for _, target := range t.targets {
		if target.Ref.Name == name && target.Ref.Incarnation == incarnation {
			target.Stats.RecordDown(now)
		}
	}
}

// Destinations returns all destinations in no particular order.
func (t *Table) Destinations() []*Destination {
	destinations := make([]*Destination, 0, len(t.destinations))
	for _, d := range t.destinations {
		destinations = append(destinations, d)
	}
	return destinations
}
