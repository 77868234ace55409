package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "mesh.example"

// workOf takes the run time from the path, which ends in its milliseconds.
func workOf(r *http.Request) time.Duration {
	ms := 20
	_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

// startAll starts three machines with a target of one service each.
func startAll(repo string, book *record, b bounds, services []string, timeout int) (*cluster, error) {
	c, err := newCluster(repo, book, b, services)
	if err != nil {
		return nil, err
	}
	c.configure(1, []string{"board", "desk"}, []route{
		{"look", host, "/look/", "idempotent", timeout, 800, 2, "desk", 2},
		{"book", host, "/book/", "non_idempotent", timeout, 800, 1, "desk", 2},
		{"board", host, "/board/", "idempotent", timeout, 800, 2, "board", 2},
	})
	for i, m := range c.machines {
		if err := m.begin(fmt.Sprintf("i-%d", i+1), "v1", nil); err != nil {
			return c, err
		}
	}
	if err := c.awaitServing(host, "/look/20"); err != nil {
		return c, err
	}
	return c, nil
}

// longStop: a planned stop of one machine while requests of its clients run, under the bounds of
// large/LATER.md.
func longStop(repo string, book *record, trouble bool) (int, error) {
	large := bounds{4 * time.Second, 3 * time.Second, 10 * time.Second, 3 * time.Second}
	c, err := startAll(repo, book, large, []string{"desk", "desk", "desk"}, 6000)
	if c != nil {
		defer c.stop(false)
	}
	if err != nil {
		return failed, err
	}
	time.Sleep(large.StableWindow)
	first := c.machines[0]
	stoppedAt := time.Now()
	if trouble {
		first.signal(syscall.SIGTERM)
	}
	type sent struct {
		id    string
		after time.Duration
		reply *reply
	}
	var requests []*sent
	var wg sync.WaitGroup
	for i, after := range []time.Duration{0, 500, 1000, 1500} {
		s := &sent{id: fmt.Sprintf("long-%d", i), after: after * time.Millisecond}
		requests = append(requests, s)
		wg.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(s.after)))
			s.reply = first.send(s.id, "POST", host, "/book/4100", 6*time.Second, []byte("booking"))
		})
	}
	wg.Wait()
	code := held
	for _, s := range requests {
		runs := book.runsOf(s.id)
		ended := s.reply.Sent.Add(s.reply.Took).Sub(stoppedAt)
		if len(runs) == 0 || s.reply.Whole || ended >= large.Grace*5/6 {
			continue
		}
		book.printf("LOST: %s was read and passed on to %s; %d ms after the SIGTERM its client got %s", s.id, runs[0].Target, ended.Milliseconds(), s.reply)
		code = broken
	}
	if trouble && !first.wait(large.Grace) {
		book.printf("the node did not end within the grace time")
	}
	return code, nil
}

// departure is a target that deregisters, with two heartbeats that it had sent before and that
// arrive late.
type departure struct {
	machine      *machine
	late         [][]byte
	acknowledged time.Time
}

// deregister lets the target of a machine deregister.
func (m *machine) deregister() (*departure, error) {
	t := m.target
	t.stopBeats()
	d := &departure{machine: m, late: [][]byte{t.nextBeat(), t.nextBeat()}}
	if !t.post("deregister", []byte(fmt.Sprintf(`{"born":%d}`, t.born.UnixMilli()))) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	d.acknowledged = time.Now()
	m.cluster.book.printf("%s: deregistration of %s is acknowledged", m.name, t.id)
	return d, nil
}

// arrive lets the late heartbeats arrive, the first after a time and the second after a pause.
func (d *departure) arrive(since time.Time, after, pause time.Duration) {
	for i, body := range d.late {
		time.Sleep(time.Until(since.Add(after + time.Duration(i)*pause)))
		age := time.Since(d.acknowledged).Milliseconds()
		d.machine.cluster.book.printf("late heartbeat %d of %s arrives %d ms after its departure was acknowledged: acknowledged %t",
			i+1, d.machine.target.id, age, d.machine.target.post("heartbeat", body))
	}
}

// check sends requests of the clients at a machine for a time, and returns broken if one reaches
// the target that has departed. All machines are in touch by then.
func (d *departure) check(clients *machine, duration time.Duration) int {
	book, began := clients.cluster.book, time.Now()
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := 0; time.Since(began) < duration; i++ {
		wg.Go(func() {
			if clients.send(fmt.Sprintf("after-%d", i), "GET", host, "/look/300", 2*time.Second, nil).Whole {
				served.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	code := held
	for _, r := range book.runsAt(d.machine.target.id) {
		if since := r.Start.Sub(d.acknowledged); since > clients.cluster.bounds.Drain && r.Start.After(began) {
			book.printf("DRAIN: %s reached %s %d ms after its departure was acknowledged", r.ID, r.Target, since.Milliseconds())
			code = broken
		}
	}
	book.printf("%d requests were served", served.Load())
	return code
}

// restart kills the nodes of machines at the same moment and starts them again after a pause. It
// returns when the last has started.
func (c *cluster) restart(machines []*machine, pause time.Duration) (time.Time, error) {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.wait(5 * time.Second)
	}
	time.Sleep(pause)
	for _, m := range machines {
		if err := m.start(); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// touchMargin is added to the time after which a machine is in touch.
const touchMargin = 200 * time.Millisecond

// killedTwice: a target deregisters, the node beside it is killed and started again twice, and two
// heartbeats that the target had sent before arrive late.
func killedTwice(repo string, book *record, trouble bool) (int, error) {
	c, err := startAll(repo, book, smallBounds, []string{"board", "desk", "desk"}, 2000)
	if c != nil {
		defer c.stop(false)
	}
	if err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	d, err := c.machines[2].deregister()
	if err != nil {
		return failed, err
	}
	time.Sleep(300 * time.Millisecond)
	restarted := time.Now()
	for i := 0; i < 2 && trouble; i++ {
		if restarted, err = c.restart(c.machines[2:], 500*time.Millisecond); err != nil {
			return failed, err
		}
		if i == 0 {
			time.Sleep(1500 * time.Millisecond)
		}
	}
	d.arrive(restarted, 500*time.Millisecond, time.Second)
	time.Sleep(time.Until(restarted.Add(c.bounds.StableWindow + touchMargin)))
	return d.check(c.machines[0], 3*time.Second), nil
}

// lateReady: a target reports that it is draining, the node beside it is killed and started again
// once, and the target's heartbeats around that arrive seconds late: first one from before, in
// which it was ready, and then those that repeat that it is draining.
func lateReady(repo string, book *record, trouble bool) (int, error) {
	c, err := startAll(repo, book, smallBounds, []string{"board", "desk", "desk"}, 2000)
	if c != nil {
		defer c.stop(false)
	}
	if err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	m, t := c.machines[2], c.machines[2].target
	t.stopBeats()
	ready := t.nextBeat() // on its way for seconds
	t.setState("draining")
	if !t.post("heartbeat", t.nextBeat()) {
		return failed, fmt.Errorf("the heartbeat was not acknowledged")
	}
	d := &departure{machine: m, late: [][]byte{ready}, acknowledged: time.Now()}
	book.printf("%s: the heartbeat in which %s is draining is acknowledged", m.name, t.id)
	time.Sleep(300 * time.Millisecond)
	restarted := time.Now()
	if trouble {
		if restarted, err = c.restart(c.machines[2:], 500*time.Millisecond); err != nil {
			return failed, err
		}
	}
	draining := &departure{machine: m, late: [][]byte{t.nextBeat(), t.nextBeat()}, acknowledged: d.acknowledged}
	d.arrive(restarted, 2200*time.Millisecond, 0)
	var wg sync.WaitGroup
	wg.Go(func() { draining.arrive(restarted, 5000*time.Millisecond, 1500*time.Millisecond) })
	defer wg.Wait()
	time.Sleep(time.Until(restarted.Add(c.bounds.StableWindow + touchMargin)))
	return d.check(c.machines[0], 3*time.Second), nil
}

// quietRollout: a new version of a service with little traffic is bad from its start.
func quietRollout(repo string, book *record, trouble bool) (int, error) {
	const (
		pause    = 500 * time.Millisecond // between two requests
		duration = 16                     // s, of the rollout
		rollback = 5 * time.Second        // rollbackMs
		mostBad  = 50
	)
	c, err := newCluster(repo, book, smallBounds, []string{"board", "desk", "desk", "desk", "desk"})
	if c != nil {
		defer c.stop(false)
	}
	if err != nil {
		return failed, err
	}
	c.configure(1, []string{"board", "desk"}, []route{{"book", host, "/book/", "non_idempotent", 2000, 800, 1, "desk", 2}})
	for i, m := range c.machines[:3] {
		if err := m.begin(fmt.Sprintf("i-%d-v1", i+1), "v1", nil); err != nil {
			return failed, err
		}
	}
	if err := c.awaitServing(host, "/book/20"); err != nil {
		return failed, err
	}
	fails := func() bool { return trouble && rand.IntN(2) == 0 }
	for i, m := range c.machines[3:] { // the new targets are started beside the old ones
		if err := m.begin(fmt.Sprintf("i-%d-v2", i+4), "v2", fails); err != nil {
			return failed, err
		}
	}
	time.Sleep(smallBounds.StableWindow + 1250*time.Millisecond)
	c.store.put("keyed.op", "rollout/desk", map[string]any{"service": "desk", "newVersion": "v2", "durationS": duration})
	book.printf("operator: the order to move desk to v2 in %d s is acknowledged", duration)
	isNew := func(target string) bool { return strings.HasSuffix(target, "-v2") }
	code, state, began := held, "", time.Now()
	for i := 0; time.Since(began) < 95*time.Second && code == held; i++ {
		if now := c.rolloutState("desk"); now != state {
			state = now
			book.printf("status/rollout/desk: %s %s", state, c.reason)
			if state == "completed" {
				for _, m := range c.machines[1:3] { // the old targets stop at once, their nodes get SIGTERM
					m.target.end()
					m.signal(syscall.SIGTERM)
				}
			}
		}
		id := fmt.Sprintf("book-%d", i)
		sentAt := time.Now()
		c.machines[0].send(id, "POST", host, "/book/20", 2*time.Second, []byte("booking"))
		last := book.nthBad(mostBad, isNew)
		for _, r := range book.runsOf(id) {
			if isNew(r.Target) && !last.IsZero() && sentAt.Sub(last) > rollback {
				book.printf("EXPOSURE: %s reached %s, sent %d ms after the %dth bad answer of v2", id, r.Target, sentAt.Sub(last).Milliseconds(), mostBad)
				code = broken
			}
		}
		if !trouble && state == "completed" && time.Since(began) > (duration+10)*time.Second {
			break
		}
		if state == "rolled_back" {
			break // the new targets drain and leave
		}
		time.Sleep(time.Until(sentAt.Add(pause)))
	}
	return code, nil
}

// tenantName: a configuration moves a route, takes a key away and adds a tenant whose name holds a
// space.
func tenantName(repo string, book *record, trouble bool) (int, error) {
	b := bounds{3 * time.Second, 2500 * time.Millisecond, 6 * time.Second, 2500 * time.Millisecond}
	c, err := newCluster(repo, book, b, []string{"counter", "supply", "stock"})
	if c != nil {
		defer c.stop(false)
	}
	if err != nil {
		return failed, err
	}
	c.contracts = append(c.contracts, "health", "pool", "tenants", "quota")
	services := []string{"counter", "supply", "stock"}
	routes := func(service string) []route {
		return []route{{"look", host, "/look/", "idempotent", 2000, 800, 2, service, 2}}
	}
	c.configure(1, services, routes("supply"), tenant{"growers", []string{"key-1", "key-2"}})
	for i, m := range c.machines {
		if err := m.begin(fmt.Sprintf("i-%d", i+1), "v1", nil); err != nil {
			return failed, err
		}
	}
	for n := 0; !c.machines[0].sendWithKey(fmt.Sprintf("warm-%d", n), "GET", host, "/look/20", 2*time.Second, nil, "key-1").Whole; n++ {
		if n > 100 {
			return failed, fmt.Errorf("nothing is served")
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(b.StableWindow + time.Second)
	name := "Swan Coast"
	if !trouble {
		name = "Swan-Coast"
	}
	c.configure(2, services, routes("stock"), tenant{"growers", []string{"key-1"}}, tenant{name, []string{"key-3"}})
	time.Sleep(b.ConfigApply + 100*time.Millisecond)
	counts := make(map[string]int)
	for i, began := 0, time.Now(); time.Since(began) < 8*time.Second; i++ {
		for _, key := range []string{"key-1", "key-2", "key-3"} {
			id := fmt.Sprintf("after-%d-%s", i, key)
			r := c.machines[i%3].sendWithKey(id, "GET", host, "/look/20", 2*time.Second, nil, key)
			for _, run := range book.runsOf(id) {
				switch {
				case run.Target == "i-2":
					counts["run by the old service"]++
				case key == "key-2":
					counts["run with a dropped key"]++
				default:
					counts["run as the newest version says"]++
				}
			}
			if r.Status == 401 && key != "key-2" {
				counts["refused with 401 though the key is there"]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	code := held
	for what, count := range counts {
		if what != "run as the newest version says" {
			book.printf("CONFIG: %d requests, sent later than %d ms after the acknowledgement of version 2, %s", count, b.ConfigApply.Milliseconds(), what)
			code = broken
		}
	}
	book.printf("%d requests were run as version 2 says", counts["run as the newest version says"])
	return code, nil
}
