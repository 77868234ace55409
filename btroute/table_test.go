package btroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

var (
	now      = time.Unix(10_000, 0)
	locality = Locality{Node: "node-0000", Zone: "zone-0"}
)

// state returns a configuration in which the given services are assigned a version.
func state(version string, services ...string) *btconfig.State {
	s := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Revision: 1, Contract: *btfixture.Contract("c", services...)}},
		Assignments: make(map[string]baobabtide.Assignment),
	}
	for _, name := range services {
		s.Assignments[btconfig.AssignmentKey("c", name)] = baobabtide.Assignment{Customer: "c", Service: name, Current: version}
	}
	return s
}

func startRollout(s *btconfig.State, service, to string) {
	key := btconfig.AssignmentKey("c", service)
	a := s.Assignments[key]
	a.Rollout = &baobabtide.Rollout{Offset: 2, Customer: "c", Service: service, From: a.Current, To: to, Terms: btfixture.RolloutTerms()}
	s.Assignments[key] = a
}

func TestMatch(t *testing.T) {
	s := state("v1", "service-0")
	routes := &s.Contracts["c"].Contract.Services[0].Routes
	*routes = []baobabtide.RouteTerms{
		{Name: "all", PathPrefix: "/a"},
		{Name: "post", Methods: []string{"POST"}, PathPrefix: "/a/b"},
		{Name: "deep", Methods: []string{"GET"}, PathPrefix: "/a/b/c/"},
	}
	table := Build(s, nil, locality, nil)
	tests := []struct{ customer, method, path, want string }{
		{"c", "GET", "/a", "all"},
		{"c", "GET", "/a?x=1", "all"},
		{"c", "GET", "/a/b", "all"},
		{"c", "POST", "/a/b", "post"},
		{"c", "GET", "/a/b/c/d", "deep"},
		{"c", "PUT", "/a/b/c/d", "all"},
		{"c", "GET", "/ab", ""},
		{"c", "GET", "/", ""},
		{"d", "GET", "/a", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.customer, "", tt.method, tt.path); r != nil {
			got = r.Terms.Name
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", tt.method, tt.path, diff)
		}
	}
}

// A route never leads to a version without known targets: the version of the
// previous table stays in use until a target of the new one is known.
func TestBuildKeepsPreviousVersionUntilTargetsAreKnown(t *testing.T) {
	old := Build(state("v1", "service-0"), btfixture.Members(3, 1, 1, "v1"), locality, nil)
	next := state("v2", "service-0")
	next.Offset = 9
	held := Build(next, btfixture.Members(3, 1, 1, "v1"), locality, old)
	dest := held.Destination("c", "service-0")
	if diff := cmp.Diff([]string{"v1", "v2"}, []string{dest.Current.Name, dest.Held}); diff != "" {
		t.Errorf("current and held version (-want +got):\n%s", diff)
	}
	updated := Build(next, btfixture.Members(3, 1, 1, "v2"), locality, held)
	dest = updated.Destination("c", "service-0")
	if diff := cmp.Diff([]string{"v2", ""}, []string{dest.Current.Name, dest.Held}); diff != "" {
		t.Errorf("current and held version once targets are known (-want +got):\n%s", diff)
	}
}

// unversioned returns a configuration with one unversioned service and the given orders, each
// the version that a rollout at offset 2, 3, ... moves traffic to.
func unversioned(orders ...string) *btconfig.State {
	s := state(baobabtide.AnyVersion, "service-0")
	s.Contracts["c"].Contract.Services[0].Unversioned = true
	for _, version := range orders {
		terms := btfixture.RolloutTerms()
		data, err := btcodec.EncodeJSON(&baobabtide.Record{
			ID: fmt.Sprintf("order.%d", s.Offset+1), Actor: "operator",
			Release: &baobabtide.Release{Service: "service-0", Version: version, Customers: []string{"c"}, Terms: &terms},
		})
		if err != nil {
			panic(err)
		}
		s = btconfig.Fold(s, baobabtide.Entry{Offset: s.Offset + 1, Time: now, Data: data})
	}
	return s
}

// outcome returns the outcome of the rollout at an offset.
func outcome(rollout baobabtide.Offset, version string, result baobabtide.Result) baobabtide.OutcomeRecord {
	return baobabtide.OutcomeRecord{Rollout: rollout, Customer: "c", Service: "service-0", Version: version, Result: result}
}

// TestVersionReleasedAgainStaysInForce guards against nodes that start and send nothing to a version
// that was taken back once, ordered again and completed, after a later one was taken back.
func TestVersionReleasedAgainStaysInForce(t *testing.T) {
	outcomes := []baobabtide.OutcomeRecord{
		outcome(2, "v2", baobabtide.Reverted),
		outcome(3, "v2", baobabtide.Completed),
		outcome(4, "v3", baobabtide.Reverted),
	}
	tests := map[string][]int{"in order": {0, 1, 2}, "reversed": {2, 1, 0}, "mixed": {1, 2, 0}}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			s := unversioned("v2", "v2", "v3")
			for _, i := range order {
				s = s.WithOutcome(outcomes[i])
			}
			members := append(btfixture.Members(3, 1, 1, "v2"), btfixture.Members(1, 1, 1, "v3")...)
			members[3].Name = "node-0003"
			dest := Build(s, members, locality, nil).Destination("c", "service-0")
			if diff := cmp.Diff(map[string]int{"v2": 3}, versionsOf(dest.Current.Pool)); diff != "" {
				t.Errorf("current targets by version (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedRolloutGetsNoTraffic guards against an order that replaces a running rollout and thereby
// gives nearly all traffic to the version of that rollout, which nothing has cleared.
func TestReplacedRolloutGetsNoTraffic(t *testing.T) {
	type want struct {
		Current, Next map[string]int
		IsOnly        bool
	}
	none := map[string]int{}
	tests := map[string]struct {
		before, after []string // orders
		outcomes      []baobabtide.OutcomeRecord
		members       []string // versions of their targets
		want          want
	}{
		"back to the old version": {
			[]string{"v2"},
			[]string{"v2", "v1"},
			nil,
			[]string{"v1", "v1", "v2"},
			want{map[string]int{"v1": 2}, none, true},
		},
		"on to a third version": {
			[]string{"v2"},
			[]string{"v2", "v3"},
			nil,
			[]string{"v1", "v1", "v2", "v3"},
			want{map[string]int{"v1": 2}, map[string]int{"v3": 1}, false},
		},
		"the version that carries the traffic": {
			[]string{"v2"},
			[]string{"v2", "v1"},
			[]baobabtide.OutcomeRecord{outcome(2, "v2", baobabtide.Reverted)},
			[]string{"v1", "v1"},
			want{map[string]int{"v1": 2}, none, true},
		},
		"the version in force by name": {
			[]string{"v1"},
			[]string{"v1", "v1"},
			[]baobabtide.OutcomeRecord{outcome(2, "v1", baobabtide.Completed)},
			[]string{"v1", "v1"},
			want{map[string]int{"v1": 2}, map[string]int{"v1": 2}, false},
		},
		"the first order names the only version": {
			nil,
			[]string{"v1"},
			nil,
			[]string{"v1", "v1"},
			want{map[string]int{"v1": 2}, none, true},
		},
		"the same version again": {
			[]string{"v2"},
			[]string{"v2", "v2"},
			nil,
			[]string{"v1", "v2"},
			want{map[string]int{"v1": 1}, map[string]int{"v2": 1}, false},
		},
	}
	for name, tt := range tests {
		for _, node := range []string{"running", "starting"} {
			t.Run(name+"/"+node, func(t *testing.T) {
				members := membersOf(tt.members...)
				before, after := unversioned(tt.before...), unversioned(tt.after...)
				for _, o := range tt.outcomes {
					before, after = before.WithOutcome(o), after.WithOutcome(o)
				}
				var prev *Table
				if node == "running" {
					prev = Build(before, members, locality, nil)
				}
				for range 2 { // the second time after an unrelated change
					prev = Build(after, members, locality, prev)
					dest := prev.Destination("c", "service-0")
					got := want{versionsOf(dest.Current.Pool), versionsOf(dest.Next.Pool), dest.IsOnly}
					if diff := cmp.Diff(tt.want, got); diff != "" {
						t.Errorf("targets by version (-want +got):\n%s", diff)
					}
				}
			})
		}
	}
}

// An unproven version keeps its share although the targets of the old one are lost, also after
// further changes; they get all other requests as soon as they are back.
func TestNewVersionKeepsItsShareWhenTheOldIsLost(t *testing.T) {
	s := unversioned("v2")
	table := Build(s, membersOf("v1", "v2"), locality, nil)
	for range 2 {
		table = Build(s, membersOf("v2"), locality, table)
		dest := table.Destination("c", "service-0")
		if diff := cmp.Diff([]int{0, 1}, []int{dest.Current.Pool.Size(), dest.Next.Pool.Size()}); diff != "" {
			t.Errorf("targets of the current and the next version (-want +got):\n%s", diff)
		}
	}
	table = Build(s, membersOf("v1", "v2"), locality, table)
	if diff := cmp.Diff(map[string]int{"v1": 1}, versionsOf(table.Destination("c", "service-0").Current.Pool)); diff != "" {
		t.Errorf("current targets once the old version is back (-want +got):\n%s", diff)
	}
}

// membersOf returns members with one target each, of the given versions.
func membersOf(versions ...string) []baobabtide.Member {
	members := btfixture.Members(len(versions), 1, 1, "")
	for i, version := range versions {
		members[i].Targets[0].Version = version
	}
	return members
}

// versionsOf returns the number of targets of each version.
func versionsOf(pool *Pool) map[string]int {
	count := make(map[string]int)
	for _, target := range pool.Targets() {
		count[target.Version]++
	}
	return count
}

func TestNextVersionWithoutTargetsGetsNoTraffic(t *testing.T) {
	s := state("v1", "service-0")
	startRollout(s, "service-0", "v2")
	dest := Build(s, btfixture.Members(3, 1, 1, "v1"), locality, nil).Destination("c", "service-0")
	dest.SetShare(1)
	if diff := cmp.Diff("v1", dest.Choose(0).Name); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
}

func TestBuildExcludesUnavailableTargets(t *testing.T) {
	members := btfixture.Members(5, 1, 1, "v1")
	members[0].Targets[0].State = baobabtide.TargetDraining
	members[1].Targets[0].State = baobabtide.TargetStarting
	members[2].Status = baobabtide.Failed
	members[3].Status = baobabtide.Left
	pool := Build(state("v1", "service-0"), members, locality, nil).Destination("c", "service-0").Current.Pool
	if pool.Size() != 1 || pool.Targets()[0].Ref.Node != "node-0004" {
		t.Errorf("targets %+v", pool.Targets())
	}
}

// pick returns the target of Choose.
func (p *Pool) pick(now time.Time, rng Random, info PickInfo, tried []*Target) *Target {
	return p.Choose(now, rng, info, tried).Target
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		prepare func(targets map[string]*Target)
		wanted  func(*Target) bool
	}{
		"prefers own zone": {func(map[string]*Target) {}, func(t *Target) bool { return t.Distance <= SameZone }},
		"spills over when the zone is full": {func(targets map[string]*Target) {
			for _, t := range targets {
				if t.Distance <= SameZone {
					t.Stats.inFlight.Store(int64(2 * t.Slots))
				}
			}
		}, func(t *Target) bool { return t.Distance > SameZone }},
		"avoids ejected targets": {func(targets map[string]*Target) {
			for _, t := range targets {
				if t.Ref.Node != "node-0005" {
					t.Stats.ejectUntil.Set(now.Add(time.Second))
				}
			}
		}, func(t *Target) bool { return t.Ref.Node == "node-0005" }},
		"uses an ejected target if all are ejected": {func(targets map[string]*Target) {
			for _, t := range targets {
				t.Stats.ejectUntil.Set(now.Add(time.Second))
			}
		}, func(t *Target) bool { return t != nil }},
		"avoids crashed targets": {func(targets map[string]*Target) {
			for _, t := range targets {
				if t.Ref.Node != "node-0003" {
					t.Stats.RecordDown(now)
				}
			}
		}, func(t *Target) bool { return t.Ref.Node == "node-0003" }},
		"uses a crashed target if all have crashed": {func(targets map[string]*Target) {
			for _, t := range targets {
				t.Stats.RecordDown(now)
			}
		}, func(t *Target) bool { return t != nil }},
		"avoids suspect targets": {func(targets map[string]*Target) {
			for _, t := range targets {
				t.Suspect = t.Ref.Node != "node-0004"
			}
		}, func(t *Target) bool { return t.Ref.Node == "node-0004" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			pool := Build(state("v1", "service-0"), btfixture.Members(6, 3, 1, "v1"), locality, nil).Destination("c", "service-0").Current.Pool
			targets := make(map[string]*Target)
			for _, target := range pool.Targets() {
				targets[target.Ref.Node] = target
			}
			tt.prepare(targets)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 100 {
				if target := pool.pick(now, rng, PickInfo{Route: "read"}, nil); !tt.wanted(target) {
					t.Fatalf("picked %+v", target)
				}
			}
		})
	}
}

func TestPickSkipsTriedTargets(t *testing.T) {
	pool := Build(state("v1", "service-0"), btfixture.Members(3, 3, 1, "v1"), locality, nil).Destination("c", "service-0").Current.Pool
	rng := rand.New(rand.NewPCG(1, 1))
	var tried []*Target
	for range 3 {
		target := pool.pick(now, rng, PickInfo{Route: "read"}, tried)
		if target == nil || wasTried(tried, target) {
			t.Fatalf("picked %+v after %d tried targets", target, len(tried))
		}
		tried = append(tried, target)
	}
	if target := pool.pick(now, rng, PickInfo{Route: "read"}, tried); target != nil {
		t.Errorf("picked %+v although all targets were tried", target)
	}
}

// A key keeps its home when a target other than its home is removed.
func TestHomeIsStable(t *testing.T) {
	members := btfixture.Members(20, 3, 1, "v1")
	all := Build(state("v1", "service-0"), members, locality, nil).Destination("c", "service-0").Current.Pool
	fewer := Build(state("v1", "service-0"), members[:19], locality, nil).Destination("c", "service-0").Current.Pool
	for key := range uint64(1000) {
		home := all.Home(mix(key))
		if home.Ref.Node != "node-0019" && fewer.Home(mix(key)).Ref.Node != home.Ref.Node {
			t.Fatalf("key %d moved from %s", key, home.Ref.Node)
		}
	}
}

// The home of a key is beside the same node for both versions of a rollout.
func TestHomeIsBesideSameNodeForBothVersions(t *testing.T) {
	members := btfixture.Members(6, 3, 1, "v1")
	for i, m := range btfixture.Members(6, 3, 1, "v2") {
		members[i].Targets = append(members[i].Targets, m.Targets...)
	}
	s := state("v1", "service-0")
	startRollout(s, "service-0", "v2")
	dest := Build(s, members, locality, nil).Destination("c", "service-0")
	for key := range uint64(100) {
		old, next := dest.Home(mix(key), &dest.Current), dest.Home(mix(key), &dest.Next)
		if old.Ref.Node != next.Ref.Node || next.Version != "v2" {
			t.Fatalf("key %d: %+v and %+v", key, old.Ref, next.Ref)
		}
	}
}

func TestRoutingDoesNotAllocate(t *testing.T) {
	table := Build(state("v1", "service-0", "service-1"), btfixture.Members(50, 7, 2, "v1"), locality, nil)
	rng := rand.New(rand.NewPCG(1, 1))
	var tried [3]*Target
	allocs := testing.AllocsPerRun(1000, func() {
		route := table.Match("c", "", "GET", "/service-1/x")
		target := route.Destination.Choose(0.5).Pool.pick(now, rng, PickInfo{Route: "read"}, tried[:0])
		target.Stats.Begin(now)
		target.Stats.End(now, time.Millisecond, false)
	})
	if diff := cmp.Diff(0.0, allocs); diff != "" {
		t.Errorf("allocations (-want +got):\n%s", diff)
	}
}

// fleet returns the configuration and the members of a system of the design size:
// 2,000 routes and 2,000 targets in 250 services.
func fleet() (*btconfig.State, []baobabtide.Member) {
	const routesOfService = 8
	var services []string
	for i := range 250 {
		services = append(services, fmt.Sprintf("service-%d", i))
	}
	s := state("v1", services...)
	terms := s.Contracts["c"].Contract.Services
	for i := range terms {
		first := terms[i].Routes[0]
		for j := range routesOfService - len(terms[i].Routes) {
			route := first
			route.Name = fmt.Sprintf("%s-%d", first.Name, j)
			route.Host = fmt.Sprintf("host-%d.example", i%40)
			route.PathPrefix = fmt.Sprintf("/%s/%d/", services[i], j)
			terms[i].Routes = append(terms[i].Routes, route)
		}
	}
	return s, btfixture.Members(2000, 7, 250, "v1")
}

func TestFleetHasDesignSize(t *testing.T) {
	s, members := fleet()
	routes := 0
	for _, terms := range s.Contracts["c"].Contract.Services {
		routes += len(terms.Routes)
	}
	if routes != 2000 || len(members) != 2000 {
		t.Errorf("%d routes, %d targets", routes, len(members))
	}
	route := Build(s, members, locality, nil).Match("c", "host-37.example", "GET", "/service-77/3/a/b?c=d")
	if route == nil || route.Terms.PathPrefix != "/service-77/3/" {
		t.Errorf("matched %+v", route)
	}
}

// Limits on building a table for 2,000 routes and targets in 250 services. They
// follow from the design target of 1,300 changes per day and 32 MB per node: a
// rebuild may produce garbage of the size of one more table.
const (
	maxBuildAllocs = 20_000
	maxBuildBytes  = 4 << 20
)

func TestBuildAllocationLimits(t *testing.T) {
	s, members := fleet()
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Build(s, members, locality, nil)
		}
	})
	if got := result.AllocsPerOp(); got > maxBuildAllocs {
		t.Errorf("%d allocations exceed %d", got, maxBuildAllocs)
	}
	if got := result.AllocedBytesPerOp(); got > maxBuildBytes {
		t.Errorf("%d bytes exceed %d", got, maxBuildBytes)
	}
}

func BenchmarkBuild2000(b *testing.B) {
	s, members := fleet()
	prev := Build(s, members, locality, nil)
	b.ReportAllocs()
	for b.Loop() {
		Build(s, members, locality, prev)
	}
}

func BenchmarkRoute(b *testing.B) {
	s, members := fleet()
	table := Build(s, members, locality, nil)
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		route := table.Match("c", "host-37.example", "GET", "/service-77/3/some/thing")
		route.Destination.Choose(0.5).Pool.pick(now, rng, PickInfo{Route: "read"}, nil)
	}
}

// A target that said that it leaves got requests again once the node beside it had restarted
// and announced it as ready.
func TestLeavingTargetIsNotPicked(t *testing.T) {
	s, members := state("v1", "service-0"), btfixture.Members(2, 1, 1, "v1")
	table := Build(s, members, locality, nil)
	pool := table.Destination("c", "service-0").Current.Pool
	leaving := pool.Targets()[0]
	leaving.Stats.RecordLoad("read", baobabtide.Load{Slots: 1, Leaving: true}, now)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		if pool.pick(now, rng, PickInfo{Route: "read"}, nil) == leaving {
			t.Fatal("picked before the table was rebuilt")
		}
	}
	index := 0
	if members[1].Name == leaving.Ref.Node {
		index = 1
	}
	incarnation := members[index].Targets[0].Incarnation
	steps := []struct {
		name    string
		prepare func(target *baobabtide.Target)
		want    int // targets
	}{
		{"same announcement", func(*baobabtide.Target) {}, 1},
		{"draining", func(target *baobabtide.Target) { target.State = baobabtide.TargetDraining }, 1},
		{"ready again", func(target *baobabtide.Target) { target.State = baobabtide.TargetReady }, 1},
		{"restarted", func(target *baobabtide.Target) { target.Incarnation = incarnation + 1 }, 2},
	}
	for _, step := range steps {
		step.prepare(&members[index].Targets[0])
		table = Build(s, members, locality, table)
		if diff := cmp.Diff(step.want, table.Destination("c", "service-0").Current.Pool.Size()); diff != "" {
			t.Errorf("%s: targets (-want +got):\n%s", step.name, diff)
		}
	}
}

// Requests left their zone for targets that were faster by less than their objectives allow, and
// the bodies of requests did not count: two thirds of the bytes crossed zones where each zone had
// room.
func TestRequestsStayInTheirZone(t *testing.T) {
	const objective = 300 * time.Millisecond
	tests := map[string]struct {
		local, remote time.Duration // expected run times
		queued        int           // at the local target
		bytes         float64
		wantLocal     bool
	}{
		"as fast":                     {90 * time.Millisecond, 90 * time.Millisecond, 0, 1000, true},
		"slower within the objective": {140 * time.Millisecond, 90 * time.Millisecond, 0, 1000, true},
		"late in the own zone":        {280 * time.Millisecond, 90 * time.Millisecond, 0, 1000, false},
		"long queue in the own zone":  {90 * time.Millisecond, 90 * time.Millisecond, 30, 1000, false},
		"long upload":                 {280 * time.Millisecond, 90 * time.Millisecond, 0, 100_000, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			pool := Build(state("v1", "service-0"), btfixture.Members(2, 2, 1, "v1"), locality, nil).Destination("c", "service-0").Current.Pool
			for _, target := range pool.Targets() {
				load := baobabtide.Load{InFlight: 5, Slots: 15, Work: tt.remote}
				if target.Distance <= SameZone {
					load.Work = tt.local
					if tt.queued > 0 {
						load.InFlight, load.Queued = 15, tt.queued
					}
				}
				target.Stats.RecordLoad("read", load, now)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			for range 20 {
				target := pool.pick(now, rng, PickInfo{Route: "read", Bytes: tt.bytes, Objective: objective}, nil)
				if diff := cmp.Diff(tt.wantLocal, target.Distance <= SameZone); diff != "" {
					t.Fatalf("in the own zone (-want +got):\n%s", diff)
				}
			}
		})
	}
}
