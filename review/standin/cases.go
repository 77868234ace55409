package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
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
	drainTime   = 2 * time.Second
	configApply = 2 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
	rollback    = 5 * time.Second
	rollbackBad = 50 // bad answers after which rollback begins
	stable      = 3 * time.Second
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
func begin(c *cluster) error {
	c.store.put("config", config(7, routes()))
	for i, service := range []string{board, board, board, board, desk, desk} {
		m, err := c.addMachine(i%3, service)
		if err != nil {
			return err
		}
		if _, err := c.addTarget(m, fmt.Sprintf("i-%04x", i+1), "v1", nil); err != nil {
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
	for _, m := range c.machines {
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
func addVersion(c *cluster, version string, count int, bad func(since time.Duration) float64) error {
	for i := range count {
		m, err := c.addMachine(i%3, board)
		if err != nil {
			return err
		}
		if _, err := c.addTarget(m, "i-"+version+"-"+fmt.Sprint(i), version, func(t *target) { t.badShare = bad }); err != nil {
			return err
		}
		go c.watchReady(m)
	}
	return nil
}

// order orders a rollout of berthboard.
func order(c *cluster, version string, length time.Duration) time.Time {
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

// superseded orders a bad version and, with trouble, another version before the first rollout has
// ended.
func superseded(c *cluster, trouble bool) (string, error) {
	if err := begin(c); err != nil {
		return "", err
	}
	stop := traffic(c, look)
	time.Sleep(2 * time.Second)
	const length = 30 * time.Second
	ordered := order(c, "v2", length)
	bad := func(since time.Duration) float64 { // turns bad 20 s after its start
		if since < 20*time.Second {
			return 0
		}
		return 0.5
	}
	if err := addVersion(c, "v2", 4, bad); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		order(c, "v3", length)
		if err := addVersion(c, "v3", 4, nil); err != nil {
			return "", err
		}
	}
	deadline := ordered.Add(length)
	time.Sleep(time.Until(deadline))
	stop()
	return exposure(c, "v2", ordered, deadline), nil
}

// rerelease orders v2 twice: the first rollout is taken back, the second is completed. With
// trouble, the nodes are then restarted in turn while a bad v3 is rolled out.
func rerelease(c *cluster, trouble bool) (string, error) {
	return "", fmt.Errorf("not written")
}

// lateBeat: see review/3/claim.txt.
func lateBeat(c *cluster, trouble bool) (string, error) {
	return "", fmt.Errorf("not written")
}

// refusedConfig: see review/4/claim.txt.
func refusedConfig(c *cluster, trouble bool) (string, error) {
	return "", fmt.Errorf("not written")
}

var _ = strings.TrimSpace
