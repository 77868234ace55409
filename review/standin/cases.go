package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Names of the example deployment.
const (
	board = "berthboard"
	desk  = "jobdesk"
	host  = "jepu9.example"
)

// Bounds of the settings.
const (
	drainTime      = 2 * time.Second
	configApply    = 2 * time.Second
	exposeShare    = 0.1
	exposeSlack    = 50
	rollback       = 5 * time.Second
	rollbackBad    = 50 // bad answers after which rollback begins
	stable         = 3 * time.Second
	versionTargets = 4  // of a new version, as many as of the old one
	leastAdded     = 20 // requests on routes that were added later
	rollGap        = 1300 * time.Millisecond
	startTime      = 300 * time.Millisecond // of the machines that are lost as they start
)

// Classes of requests.
var (
	look = class{name: "berth-look", method: http.MethodGet, host: host, path: "/look/", perSecond: 60, deadline: 1200 * time.Millisecond}
	book = class{name: "job-book", method: http.MethodPost, host: host, path: "/book/", perSecond: 20, deadline: 1500 * time.Millisecond}
)

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeoutMs"`
	AimMS       int    `json:"aimMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

func routes() []route {
	return []route{
		{"r-look", host, look.path, "idempotent", 1200, 300, 2, board, 2},
		{"r-book", host, book.path, "non_idempotent", 1500, 400, 1, desk, 2},
	}
}

// config returns a configuration.
func config(version int, routes []route) map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 130}
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{service(board), service(desk)},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000,
		},
	}
}

// begin starts six machines in three zones, four with a target of berthboard and two with one of
// jobdesk, and returns when the nodes have been ready for the stable window.
//
// The first configuration has the last routes of all, as many as count says.
func begin(c *cluster, count int) error {
	all := routes()
	c.store.put("config", config(7, all[len(all)-count:]))
	for i, service := range []string{board, board, board, board, desk, desk} {
		m, err := c.addMachine(i%3, service)
		if err != nil {
			return err
		}
		if err := c.addTarget(m, fmt.Sprintf("i-%04x", i+1), "v1", nil); err != nil {
			return err
		}
		go c.watchReady(m)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range c.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(stable)
	return nil
}

// traffic starts the clients of all machines and returns a function that ends them.
func traffic(c *cluster, classes ...class) func() {
	ctx, cancel := context.WithCancel(c.ctx)
	c.traffic = ctx
	for _, m := range c.present() {
		for _, k := range classes {
			c.runClients(ctx, m, k)
		}
	}
	return func() {
		cancel()
		c.clients.Wait()
	}
}

// addVersion adds machines with targets of a new version of berthboard.
func addVersion(c *cluster, version, name string, bad func(since time.Duration) float64) ([]*machine, error) {
	var added []*machine
	for i := range versionTargets {
		m, err := c.addMachine(i%3, board)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("i-%s-%s-%d", version, name, i)
		if err := c.addTarget(m, id, version, func(t *target) { t.badShare = bad }); err != nil {
			return nil, err
		}
		go c.watchReady(m)
		added = append(added, m)
	}
	return added, nil
}

// order orders a rollout of berthboard.
func order(c *cluster, version string, length time.Duration) time.Time {
	c.store.mu.Lock()
	c.statuses = len(c.store.topics["keyed.status"])
	c.store.mu.Unlock()
	return c.store.put("rollout/"+board, map[string]any{"service": board, "newVersion": version, "durationS": length.Seconds()})
}

// exposure checks the rule EXPOSURE for a bad version between its order and its deadline.
func exposure(c *cluster, version string, ordered, deadline time.Time) string {
	total, exposed, badAnswers := 0, 0, 0
	for _, r := range c.allRuns() {
		if r.service != board || r.at.Before(ordered) || r.at.After(deadline) {
			continue
		}
		total++
		if r.version == version {
			exposed++
			if r.bad {
				badAnswers++
			}
		}
	}
	limit := exposeShare*float64(total) + exposeSlack
	c.rec.event("exposure", version, "got", exposed, "of", total, "requests to the service, limit", limit, ", bad answers", badAnswers)
	fmt.Printf("%s got %d of %d requests to the service (limit %.0f), %d bad answers\n", version, exposed, total, limit, badAnswers)
	if float64(exposed) > limit {
		return fmt.Sprintf("EXPOSURE: %s got %d of %d requests, the limit is %.0f", version, exposed, total, limit)
	}
	return ""
}

// orderBack orders a version that turns bad later. With trouble, the operator orders the old version
// before the rollout has ended.
func orderBack(c *cluster, trouble bool) (string, error) {
	if err := begin(c, 2); err != nil {
		return "", err
	}
	clients := look
	clients.perSecond /= 2 // there are more machines than in other cases
	stop := traffic(c, clients)
	time.Sleep(2 * time.Second)
	const length, turnsBad = 16 * time.Second, 6 * time.Second
	ordered := order(c, "v2", length)
	bad := func(since time.Duration) float64 {
		if since < turnsBad {
			return 0
		}
		return 0.5
	}
	added, err := addVersion(c, "v2", "first", bad)
	if err != nil {
		return "", err
	}
	for _, m := range added {
		c.runClients(c.traffic, m, clients)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		order(c, "v1", length)
	}
	deadline := ordered.Add(length)
	time.Sleep(time.Until(deadline))
	stop()
	return exposure(c, "v2", ordered, deadline), nil
}

// orderCurrent orders a bad version, which is taken back. With trouble, the operator then orders the
// version that carries the traffic.
func orderCurrent(c *cluster, trouble bool) (string, error) {
	if err := begin(c, 1); err != nil {
		return "", err
	}
	c.store.put("config", config(8, routes())) // adds the route of look
	time.Sleep(configApply)
	stop := traffic(c, look, book)
	time.Sleep(time.Second)
	if err := takenBack(c, "v2"); err != nil {
		return "", err
	}
	time.Sleep(grace + stable)
	if trouble {
		order(c, "v1", 20*time.Second)
	}
	time.Sleep(time.Second)
	from := time.Now()
	time.Sleep(10 * time.Second)
	to := time.Now()
	stop()
	return addedRoutes(c, from, to), nil
}

// rerelease orders v2 twice: the first rollout is taken back, the second is completed. Then a bad v3
// is ordered and taken back. With trouble, all nodes are stopped and started in turn after that.
func rerelease(c *cluster, trouble bool) (string, error) {
	if err := begin(c, 1); err != nil {
		return "", err
	}
	c.store.put("config", config(8, routes())) // adds the route of look
	time.Sleep(configApply)
	first := c.ofService(board)
	stop := traffic(c, look, book)
	time.Sleep(time.Second)
	if err := takenBack(c, "v2"); err != nil {
		return "", err
	}
	order(c, "v2", 8*time.Second)
	added, err := addVersion(c, "v2", "second", nil)
	if err != nil {
		return "", err
	}
	if err := c.awaitStatus("completed", "v2"); err != nil {
		return "", err
	}
	for _, m := range first { // at completed, the old targets stop at once
		m.target.stop()
		m.remove()
	}
	for _, m := range added {
		c.runClients(c.traffic, m, look)
		c.runClients(c.traffic, m, book)
	}
	time.Sleep(stable)
	if err := takenBack(c, "v3"); err != nil {
		return "", err
	}
	time.Sleep(grace) // until the nodes of v3 have stopped
	if trouble {
		for _, m := range c.present() {
			go m.term()
			time.Sleep(rollGap)
		}
	}
	time.Sleep(grace + 2*time.Second + stable)
	from := time.Now()
	time.Sleep(8 * time.Second)
	to := time.Now()
	stop()
	return addedRoutes(c, from, to), nil
}

// vanished orders a good version. With trouble, the machines of that version are lost as they start.
func vanished(c *cluster, trouble bool) (string, error) {
	if err := begin(c, 1); err != nil {
		return "", err
	}
	c.store.put("config", config(8, routes())) // adds the route of look
	time.Sleep(configApply)
	first := c.ofService(board)
	stop := traffic(c, look, book)
	time.Sleep(time.Second)
	const length = 30 * time.Second
	order(c, "v2", length)
	added, err := addVersion(c, "v2", "first", nil)
	if err != nil {
		return "", err
	}
	time.Sleep(startTime)
	if trouble {
		for _, m := range added {
			m.target.stop()
			m.remove()
		}
	}
	state, err := c.awaitEnd("v2")
	if err != nil {
		return "", err
	}
	if state == "completed" { // the old targets stop at once, and their machines are removed
		for _, m := range first {
			m.target.stop()
			m.remove()
		}
	}
	for _, m := range added {
		if !m.isRemoved() {
			c.runClients(c.traffic, m, look)
			c.runClients(c.traffic, m, book)
		}
	}
	time.Sleep(stable + time.Second)
	from := time.Now()
	time.Sleep(8 * time.Second)
	to := time.Now()
	stop()
	return addedRoutes(c, from, to), nil
}

// takenBack orders a bad version, waits until it is rolled back and removes its targets.
func takenBack(c *cluster, version string) error {
	order(c, version, 12*time.Second)
	added, err := addVersion(c, version, "first", func(time.Duration) float64 { return 0.5 })
	if err != nil {
		return err
	}
	if err := c.awaitStatus("rolled_back", version); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c.leave(added)
	return nil
}

// addedRoutes checks the rule CONFIG on routes that were added later, which here are those of look.
func addedRoutes(c *cluster, from, to time.Time) string {
	sent, served := make(map[string]int), make(map[string]int)
	for _, a := range c.answersBetween(from, to) {
		sent[a.class]++
		if a.status == http.StatusOK && a.signature != "" {
			served[a.class]++
		}
	}
	c.rec.event("routes", "sent", fmt.Sprint(sent), "served", fmt.Sprint(served))
	fmt.Println("steady state: sent", sent, "served", served)
	added := float64(served[look.name]) / float64(sent[look.name])
	old := float64(served[book.name]) / float64(sent[book.name])
	if sent[look.name] >= leastAdded && added < old/4 {
		return fmt.Sprintf("CONFIG: on the route that was added later %d of %d requests were served, on the first route %d of %d",
			served[look.name], sent[look.name], served[book.name], sent[book.name])
	}
	return ""
}

// lateBeat makes a target leave that deregisters without draining. With trouble, all nodes are
// killed right after the acknowledgement, and a heartbeat that the target had sent before arrives
// late.
func lateBeat(c *cluster, trouble bool) (string, error) {
	const late, stay = 5 * time.Second, 14 * time.Second
	if err := begin(c, 2); err != nil {
		return "", err
	}
	stop := traffic(c, look)
	time.Sleep(2 * time.Second)
	t := c.targets[0]
	delayed := t.nextBeat() // on its way from now on
	sent := time.Now()
	acked := t.deregister()
	if trouble {
		for _, m := range c.machines {
			m.kill()
		}
	}
	time.Sleep(time.Until(sent.Add(late)))
	t.send("heartbeat", delayed)
	time.Sleep(time.Until(acked.Add(stay)))
	t.stop()
	stop()
	count := 0
	touch := acked.Add(restartDelay + time.Second + stable) // all processes have run for the stable window
	for _, r := range t.all() {
		if r.at.After(acked.Add(drainTime)) && r.at.After(touch) {
			count++
		}
	}
	c.rec.event("drain", count, "requests reached", t.id, "later than drainMs after the acknowledgement, by machines in touch")
	if count > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached %s later than %s after the acknowledgement", count, t.id, drainTime), nil
	}
	return "", nil
}

// refusedConfig writes a configuration that moves a route to the other service. With trouble, it
// also sets a longer idle timeout.
func refusedConfig(c *cluster, trouble bool) (string, error) {
	if err := begin(c, 2); err != nil {
		return "", err
	}
	stop := traffic(c, look)
	time.Sleep(2 * time.Second)
	moved := routes()
	moved[0].Service = desk
	next := config(9, moved)
	if trouble {
		next["limits"].(map[string]any)["idleTimeoutMs"] = 3_600_000 //nolint:forcetypeassert // as config sets it
	}
	acked := c.store.put("config", next)
	time.Sleep(12 * time.Second)
	stop()
	sent := make(map[string]time.Time)
	for _, a := range c.answers {
		sent[a.id] = a.sent
	}
	older, newer := 0, 0
	for _, r := range c.allRuns() {
		at, ok := sent[r.id]
		if !ok || at.Before(acked.Add(configApply)) {
			continue
		}
		if r.service == board {
			older++
		} else {
			newer++
		}
	}
	c.rec.event("config", older, "requests ran as the older version says,", newer, "as the newer")
	if older > 0 {
		return fmt.Sprintf("CONFIG: %d requests that were sent later than %s after the acknowledgement ran at the old service, %d at the new one", older, configApply, newer), nil
	}
	return "", nil
}
