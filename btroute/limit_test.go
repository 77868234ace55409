package btroute

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btfixture"
)

// timer is an action at a point in simulated time.
type timer struct {
	at     time.Time
	action func(now time.Time)
}

// timers is a heap of timers, earliest first.
type timers []timer

func (s timers) Len() int           { return len(s) }
func (s timers) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s timers) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *timers) Push(x any)        { *s = append(*s, x.(timer)) }
func (s *timers) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// limitedFleet simulates nodes that route requests to the targets of one service, some of
// which have a rate limit. Each target has a queue beside it, as in its node.
type limitedFleet struct {
	timers  timers
	now     time.Time
	rng     *rand.Rand
	queues  map[string]*btadmit.Queue // by node of the target
	pools   []*Pool                   // of the routing nodes
	pending map[*btadmit.Waiter]func()

	requests, onTime, refused, moves int
	granted                          map[string]int // by node of the target
}

const (
	fleetRunTime   = 220 * time.Millisecond
	fleetObjective = 600 * time.Millisecond
	fleetSlots     = 6
	fleetMoves     = 4
)

// newLimitedFleet returns a fleet with 13 routing nodes and 6 targets, whose rate limits are
// given by node.
func newLimitedFleet(limits map[string]float64) *limitedFleet {
	f := &limitedFleet{now: now, rng: rand.New(rand.NewPCG(3, 5)), queues: make(map[string]*btadmit.Queue), pending: make(map[*btadmit.Waiter]func()), granted: make(map[string]int)}
	members := btfixture.Members(6, 3, 1, "v1")
	for i := range members {
		members[i].Targets[0].Slots = fleetSlots
		queue := btadmit.NewQueue(fleetSlots)
		alarms := 0
		queue.Alarm = func(wait time.Duration) {
			alarms++
			alarm := alarms
			f.after(wait, func(now time.Time) {
				if alarm == alarms {
					queue.Wake(now)
				}
			})
		}
		if limit := limits[members[i].Name]; limit > 0 {
			queue.SetRateLimit(limit, now)
		}
		f.queues[members[i].Name] = queue
	}
	for range 13 {
		f.pools = append(f.pools, Build(state("v1", "service-0"), members, locality, nil).Destination("c", "service-0").Current.Pool)
	}
	return f
}

func (f *limitedFleet) after(d time.Duration, action func(time.Time)) {
	heap.Push(&f.timers, timer{f.now.Add(d), action})
}

// run offers perSecond requests for a time and returns when all have ended.
func (f *limitedFleet) run(perSecond float64, length time.Duration) {
	for at := time.Duration(0); at < length; at += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		f.after(at, func(now time.Time) { f.route(f.pools[f.rng.IntN(len(f.pools))], nil, 0, now) })
	}
	for len(f.timers) > 0 {
		t := heap.Pop(&f.timers).(timer)
		f.now = t.at
		t.action(t.at)
		for w, next := range f.pending {
			select {
			case <-w.Ready():
				delete(f.pending, w)
				next()
			default:
			}
		}
	}
}

// route sends a request that was moved so often to the best target that has not refused it and
// may have a turn for it in time.
func (f *limitedFleet) route(pool *Pool, tried []*Target, moves int, began time.Time) {
	if moves == 0 {
		f.requests++
	}
	if moves > fleetMoves {
		f.refused++
		return
	}
	target := pool.pick(f.now, f.rng, PickInfo{Route: "read"}, tried)
	for target != nil && target.TurnDelay("read", began.Add(fleetObjective).Sub(f.now), f.now) > 0 {
		tried = append(tried, target)
		target = pool.pick(f.now, f.rng, PickInfo{Route: "read"}, tried)
	}
	if target == nil {
		f.refused++
		return
	}
	if moves > 0 {
		f.moves++
	}
	queue := f.queues[target.Ref.Node]
	target.Stats.Begin(f.now)
	move := func(refusal *baobabtide.RequestError) {
		target.Stats.End(f.now, 0, false)
		target.Stats.RecordLoad("read", refusal.Load, f.now)
		f.route(pool, append(tried, target), moves+1, began)
	}
	w, refusal := queue.Offer(btadmit.Ticket{Customer: "c", Route: "read", Deadline: began.Add(4 * time.Second), Objective: began.Add(fleetObjective)}, f.now)
	if refusal != nil {
		move(refusal)
		return
	}
	f.pending[w] = func() {
		if w.Refusal() != nil {
			move(w.Refusal())
			return
		}
		f.granted[target.Ref.Node]++
		took := time.Duration(float64(fleetRunTime) * (0.5 + f.rng.ExpFloat64()/2))
		f.after(took, func(now time.Time) {
			queue.Complete(&btadmit.Ticket{Customer: "c", Route: "read"}, took, false, now)
			target.Stats.End(now, took, false)
			target.Stats.RecordLoad("read", queue.Load("read", now), now)
			if now.Sub(began) <= fleetObjective {
				f.onTime++
			}
		})
	}
}

// Two of six servers name limits. The others have room for all requests, so nearly all are
// on time, and few go to a limited server in vain. The limited ones, which are in need, still
// get enough to tell when their limits end.
func TestPlacementByRateLimits(t *testing.T) {
	limits := map[string]float64{"node-0001": 7.3, "node-0004": 4.9}
	f := newLimitedFleet(limits)
	const length = 60 * time.Second
	f.run(70, length)
	t.Logf("%d requests, %d on time, %d refused, %d moves, granted %v", f.requests, f.onTime, f.refused, f.moves, f.granted)
	if share := float64(f.onTime) / float64(f.requests); share < 0.93 {
		t.Errorf("%.3f on time", share)
	}
	if share := float64(f.moves) / float64(f.requests); share > 0.1 {
		t.Errorf("%.3f moves a request", share)
	}
	for node := range limits {
		if got := f.granted[node]; got < int(length.Seconds()/limitLifetime.Seconds()) {
			t.Errorf("%s got %d requests, too few to learn that it withdraws its limit", node, got)
		}
	}
}

// All servers name limits that together are a third of what arrives: what they accept is
// used, and no request waits for longer than its objective to be refused.
func TestAllServersLimited(t *testing.T) {
	limits := make(map[string]float64)
	for _, node := range []string{"node-0000", "node-0001", "node-0002", "node-0003", "node-0004", "node-0005"} {
		limits[node] = 5
	}
	f := newLimitedFleet(limits)
	const length = 60 * time.Second
	f.run(90, length)
	t.Logf("%d requests, %d on time, %d refused, %d moves, granted %v", f.requests, f.onTime, f.refused, f.moves, f.granted)
	if share := float64(f.moves) / float64(f.requests); share > 2.5 {
		t.Errorf("%.3f moves a request", share)
	}
	if least := 0.85 * 30 * length.Seconds(); float64(f.onTime) < least {
		t.Errorf("%d on time, want at least %.0f", f.onTime, least)
	}
}
