package btquarantine

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

var start = time.Unix(10_000, 0)

// event is an action at a point in simulated time.
type event struct {
	at     time.Time
	action func()
}

// schedule is a heap of events, earliest first.
type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// policy selects which parts of the design a simulation uses.
type policy struct {
	clear   bool // a response clears the request
	isolate bool // suspects run one at a time, and not on the last server
}

// simServer is a backend server with its running requests.
type simServer struct {
	up          bool
	incarnation uint64
	running     []*simRun // in the order of their starts
}

// simRun is a run of a request.
type simRun struct {
	suspect bool
	crash   func() // records that the server crashed
	retry   func() // sends the request to another server
}

// simulation simulates the servers of one service, with innocent requests and some that
// crash the servers that run them. All nodes share one table.
type simulation struct {
	policy  policy
	rng     *rand.Rand
	events  schedule
	now     time.Time
	table   Table
	servers []*simServer
	digests uint32

	crashes         int
	culpritRuns     int
	innocent        int
	served          int
	quarantined     int // innocent requests that were refused as quarantined
	suspectRefusals int // innocent requests that were refused as suspect and ended refused
	cut             int // innocent requests whose last attempt ended in a crash
}

const (
	simSlots       = 6
	simRunTime     = 150 * time.Millisecond
	simCrashAfter  = 50 * time.Millisecond
	simRestart     = 3 * time.Second
	simMaxAttempts = 3
)

func (sim *simulation) after(d time.Duration, action func()) {
	heap.Push(&sim.events, event{sim.now.Add(d), action})
}

func digestOf(kind byte, n uint32) baobabtide.Digest {
	return baobabtide.Digest{kind, byte(n), byte(n >> 8), byte(n >> 16)}
}

// run plays a minute in which each of the given number of culprits comes twice a second for
// 20 s, one after the other.
func run(p policy, seed uint64, servers, culprits int) *simulation {
	sim := &simulation{policy: p, rng: rand.New(rand.NewPCG(seed, seed)), now: start}
	for range servers {
		sim.servers = append(sim.servers, &simServer{up: true, incarnation: 1})
	}
	const perSecond = 30.0
	for at := time.Duration(0); at < time.Minute; at += time.Duration(sim.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		sim.after(at, func() {
			digest := digestOf(1, sim.digests)
			sim.digests++
			if sim.rng.Float64() < 0.3 {
				digest = digestOf(2, uint32(sim.rng.IntN(20))) // a popular one
			}
			sim.innocent++
			sim.send(&baobabtide.Request{Digest: digest, Service: "s"}, false, nil, 1)
		})
	}
	for i := range culprits {
		digest := digestOf(3, uint32(i))
		begin := time.Duration(i) * 50 * time.Second / time.Duration(max(1, culprits))
		for at := begin; at < begin+20*time.Second; at += time.Duration(sim.rng.ExpFloat64() * float64(500*time.Millisecond)) {
			sim.after(at, func() { sim.send(&baobabtide.Request{Digest: digest, Service: "s"}, true, nil, 1) })
		}
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	return sim
}

func (sim *simulation) up() int {
	count := 0
	for _, s := range sim.servers {
		if s.up {
			count++
		}
	}
	return count
}

// send sends a request to the server with the fewest running requests that it has not tried.
func (sim *simulation) send(req *baobabtide.Request, culprit bool, tried []int, attempt int) {
	var refusal *baobabtide.RequestError
	for _, i := range sim.order(tried) {
		s := sim.servers[i]
		var standing Standing
		if standing, refusal = sim.admit(req, s); refusal != nil {
			if refusal.Reason == baobabtide.ReasonQuarantined {
				break
			}
			continue
		}
		sim.start(req, culprit, append(tried, i), attempt, i, standing)
		return
	}
	switch {
	case culprit || refusal == nil:
	case refusal.Reason == baobabtide.ReasonQuarantined:
		sim.quarantined++
	default:
		sim.suspectRefusals++
	}
}

func (sim *simulation) order(tried []int) []int {
	var order []int
	for i, s := range sim.servers {
		if s.up && len(s.running) < simSlots && !slices.Contains(tried, i) {
			order = append(order, i)
		}
	}
	sim.rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	return order
}

// admit decides as the node beside a server does, as far as the policy goes.
func (sim *simulation) admit(req *baobabtide.Request, s *simServer) (Standing, *baobabtide.RequestError) {
	if !sim.policy.isolate {
		standing := sim.table.Standing(req.Digest, sim.now)
		return standing, Refuse(standing)
	}
	situation := Situation{Servers: sim.up()}
	for _, other := range s.running {
		situation.SuspectRuns = situation.SuspectRuns || other.suspect
	}
	return sim.table.Admit(req.Digest, req.Service, situation, sim.now)
}

func (sim *simulation) start(req *baobabtide.Request, culprit bool, tried []int, attempt, i int, standing Standing) {
	s := sim.servers[i]
	r := &simRun{suspect: standing == Suspect}
	s.running = append(s.running, r)
	incarnation := s.incarnation
	r.retry = func() {
		if attempt < simMaxAttempts {
			sim.send(req, culprit, tried, attempt+1)
		} else if !culprit {
			sim.cut++
		}
	}
	r.crash = func() {
		sim.table.RecordCrash(req, Crash{Server: string(rune('a' + i)), Incarnation: incarnation}, sim.now)
	}
	if culprit {
		sim.culpritRuns++
		sim.after(simCrashAfter, func() {
			if slices.Contains(s.running, r) {
				sim.crash(s)
			}
		})
		return
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()*float64(simRunTime)), func() {
		i := slices.Index(s.running, r)
		if i < 0 {
			return
		}
		s.running = slices.Delete(s.running, i, i+1)
		sim.served++
		if sim.policy.clear {
			sim.table.Clear(req.Digest, sim.now)
		}
	})
}

// crash ends a server with all its requests, which are retried elsewhere.
func (sim *simulation) crash(s *simServer) {
	sim.crashes++
	running := s.running
	s.running, s.up = nil, false
	for _, r := range running {
		r.crash()
	}
	for _, r := range running {
		sim.after(time.Millisecond, r.retry)
	}
	sim.after(simRestart, func() {
		s.up = true
		s.incarnation++
	})
}

// Three culprits, one after the other, twice a second each, on three and on six servers. With
// the whole design no innocent request is quarantined, and a culprit crashes three servers, or
// a few more if it runs at several at once. Without its parts, innocent requests are.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	policies := []struct {
		name   string
		policy policy
	}{
		{"count only", policy{}},
		{"cleared by a response", policy{clear: true}},
		{"cleared, and suspects isolated", policy{clear: true, isolate: true}},
	}
	const seeds, culprits = 20, 3
	for _, servers := range []int{3, 6} {
		for _, p := range policies {
			var total simulation
			for seed := range uint64(seeds) {
				sim := run(p.policy, seed+1, servers, culprits)
				total.innocent += sim.innocent
				total.served += sim.served
				total.crashes += sim.crashes
				total.culpritRuns += sim.culpritRuns
				total.quarantined += sim.quarantined
				total.suspectRefusals += sim.suspectRefusals
				total.cut += sim.cut
			}
			t.Logf("%d servers, %s: %d innocent, %d served, %d quarantined, %d refused as suspect, %d cut; %.1f crashes and %.1f runs a culprit",
				servers, p.name, total.innocent, total.served, total.quarantined, total.suspectRefusals, total.cut,
				float64(total.crashes)/seeds/culprits, float64(total.culpritRuns)/seeds/culprits)
			if !p.policy.isolate {
				continue
			}
			if diff := cmp.Diff(0, total.quarantined); diff != "" {
				t.Errorf("%d servers: innocent requests quarantined (-want +got):\n%s", servers, diff)
			}
			if most := 6.0; float64(total.culpritRuns)/seeds/culprits > most {
				t.Errorf("%d servers: %.1f runs a culprit, %v are allowed", servers, float64(total.culpritRuns)/seeds/culprits, most)
			}
		}
	}
}
