// Package btroute builds route tables and chooses targets. A table is built
// with the targets that its routes need and is never changed afterwards.
package btroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
)

// Table maps requests to routes and routes to targets.
type Table struct {
	Offset    baobabtide.Offset // configuration version
	customers map[string]*customerRoutes
	lines     map[string]*Line // by btconfig.AssignmentKey
	targets   map[targetKey]*Target
}

// Route is one customer's route with the lines that serve it.
type Route struct {
	Customer string
	Terms    baobabtide.RouteTerms
	Line     *Line  // the only line, or the first of a split route
	split    *split // nil for a route that goes to one service
}

// Choose returns the line that serves the next request.
func (r *Route) Choose() *Line {
	if r.split == nil {
		return r.Line
	}
	return r.split.choose()
}

// targetKey tells a target from its predecessor at the same node.
type targetKey struct {
	node        string
	name        string
	incarnation uint64
}

// Place is where a table's node stands, for the choice of near targets.
type Place struct {
	Node   string
	Zone   string
	Region string
}

// Build returns the table for a configuration and a membership. Statistics of
// targets that prev knows are kept. Where no target of an assignment's version
// is known yet, the line of prev stays in force, so that no route points at a
// version that this node can't reach.
func Build(state *btconfig.State, members []baobabtide.Member, place Place, prev *Table) *Table {
	t := &Table{
		Offset:    state.Offset,
		customers: make(map[string]*customerRoutes, len(state.Contracts)),
		lines:     make(map[string]*Line, len(state.Assignments)),
		targets:   make(map[targetKey]*Target),
	}
	versions := t.collectTargets(members, place, prev)
	for customer, c := range state.Contracts {
		t.addContract(state, customer, &c.Contract, versions, prev)
	}
	return t
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// collectTargets groups the targets that may get work by version.
func (t *Table) collectTargets(members []baobabtide.Member, place Place, prev *Table) map[versionKey]*Pool {
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
			target := newTarget(m, &m.Targets[j], place, prev)
			t.targets[target.key()] = target
			key := versionKey{target.Service, target.Version}
			if pools[key] == nil {
				pools[key] = &Pool{}
			}
			pools[key].add(target)
		}
	}
	for _, pool := range pools {
		pool.sort()
	}
	return pools
}

func newTarget(m *baobabtide.Member, announced *baobabtide.Target, place Place, prev *Table) *Target {
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
		Distance: distance(m, place),
		hash:     xxhash.Sum64String(m.Name),
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

func distance(m *baobabtide.Member, place Place) Distance {
	switch {
	case m.Name == place.Node:
		return SameNode
	case m.Zone == place.Zone:
		return SameZone
	case m.Region == place.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (t *Table) addContract(state *btconfig.State, customer string, c *baobabtide.Contract, pools map[versionKey]*Pool, prev *Table) {
	routes := newCustomerRoutes(c)
	for i := range c.Services {
		t.line(state, customer, &c.Services[i], pools, prev)
	}
	for i := range c.Services {
		terms := &c.Services[i]
		for j := range terms.Routes {
			route := &Route{Customer: customer, Terms: terms.Routes[j], Line: t.Line(customer, terms.Service)}
			if len(route.Terms.Split) > 0 {
				route.split = t.newSplit(customer, route.Terms.Split)
				route.Line = route.split.parts[0].line
			}
			routes.add(route)
		}
	}
	t.customers[customer] = routes
}

// line returns the versions and targets that serve a customer's service.
func (t *Table) line(state *btconfig.State, customer string, terms *baobabtide.ServiceTerms, pools map[versionKey]*Pool, prev *Table) *Line {
	key := btconfig.AssignmentKey(customer, terms.Service)
	line := &Line{Customer: customer, Service: terms.Service, Terms: terms}
	t.lines[key] = line
	a, ok := state.Assignments[key]
	if !ok {
		return line
	}
	if a.Current == baobabtide.AnyVersion {
		line.Current = anyVersion(&a, pools)
	} else {
		line.Current = version(terms.Service, a.Current, pools)
	}
	if a.Running() {
		line.Next = version(terms.Service, a.Rollout.To, pools)
		line.Rollout = a.Rollout
	}
	if line.Current.Pool.Size() == 0 && prev != nil {
		line.keepPrevious(prev.lines[key], pools)
	}
	return line
}

// keepPrevious serves the version of an earlier table while no target of the
// assigned one is known.
func (l *Line) keepPrevious(old *Line, pools map[versionKey]*Pool) {
	if old == nil || old.Current.Name == l.Current.Name {
		return
	}
	held := version(l.Service, old.Current.Name, pools)
	if held.Pool.Size() == 0 {
		return
	}
	l.Held = l.Current.Name
	l.Current = held
}

func version(service, name string, pools map[versionKey]*Pool) Version {
	return Version{Name: name, Pool: pools[versionKey{service, name}]}
}

// anyVersion returns the targets of an unversioned service that carry its
// traffic: those of the version that a rollout has completed, or else all but
// those of versions that a rollout moves traffic to or has taken back.
func anyVersion(a *baobabtide.Assignment, pools map[versionKey]*Pool) Version {
	if a.Rollout != nil && a.Rollout.Result == baobabtide.Completed {
		if v := version(a.Service, a.Rollout.To, pools); v.Pool.Size() > 0 {
			return v
		}
	}
	v := Version{Name: baobabtide.AnyVersion}
	for key, pool := range pools {
		taken := a.Running() && a.Rollout.To == key.version
		if key.service != a.Service || taken || slices.Contains(a.Refused, key.version) {
			continue
		}
		if v.Pool == nil {
			v.Pool = &Pool{}
		}
		v.Pool.targets = append(v.Pool.targets, pool.targets...)
	}
	if v.Pool != nil {
		v.Pool.sort()
	}
	return v
}

// HasCustomer tells whether a contract names the customer.
func (t *Table) HasCustomer(customer string) bool {
	_, ok := t.customers[customer]
	return ok
}

// Callers returns the bounds on a customer's callers, nil for none.
func (t *Table) Callers(customer string) *baobabtide.CallerLimits {
	if routes := t.customers[customer]; routes != nil {
		return routes.callers
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path that
// takes the method, or nil. Routes without a host take what no route of the
// host does. It does not allocate.
func (t *Table) Match(customer, host, method, path string) *Route {
	routes := t.customers[customer]
	if routes == nil {
		return nil
	}
	return routes.match(host, method, path)
}

// Line returns the versions that serve a customer's service, or nil.
func (t *Table) Line(customer, service string) *Line {
	return t.lines[btconfig.AssignmentKey(customer, service)]
}

// Lines returns all lines in no particular order.
func (t *Table) Lines() []*Line {
	lines := make([]*Line, 0, len(t.lines))
	for _, l := range t.lines {
		lines = append(lines, l)
	}
	return lines
}
