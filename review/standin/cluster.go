package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace        = 6 * time.Second        // from SIGTERM to SIGKILL
	restartDelay = 500 * time.Millisecond // after the end of a process
)

// Ports of each machine.
const (
	inboundPort  = 8300
	appPort      = 8301
	readyPort    = 8302
	outboundPort = 8304
	controlPort  = 8306
	firstPort    = 7620
	lastPort     = 7635
	storePort    = 8309
)

// cluster is a deployment: the store, machines with their nodes and targets, and clients.
type cluster struct {
	ctx      context.Context
	rec      *recorder
	root     string // of the repository
	dir      string // temporary folder
	prefix   string // first two bytes of all addresses
	store    *store
	machines []*machine
	targets  []*target
	traffic  context.Context // ends with the clients
	statuses int             // records of statuses before the latest order

	mu      sync.Mutex
	answers []answer
	clients sync.WaitGroup
}

// machine is a machine with its node process.
type machine struct {
	cluster              *cluster
	name, zone, ip       string
	service              string
	target               *target
	settings             string // path
	mu                   sync.Mutex
	process              *exec.Cmd
	ended                chan struct{} // closed when process has ended
	removed              bool          // the process is not started again
	ready                bool
	unreadyInRow, starts int
}

// newCluster returns a deployment with its store and no machines.
func newCluster(ctx context.Context, root string, rec *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{ctx: ctx, rec: rec, root: root, dir: dir, store: newStore(rec)}
	for range 100 {
		c.prefix = fmt.Sprintf("127.%d", 70+rand.IntN(100))
		if err = c.store.serve(c.storeAddress()); err == nil {
			return c, nil
		}
	}
	return nil, err
}

func (c *cluster) storeAddress() string { return fmt.Sprintf("%s.200.7:%d", c.prefix, storePort) }

func hostPort(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// addMachine adds a machine in a zone, 0 to 2, and starts its node.
func (c *cluster) addMachine(zone int, service string) (*machine, error) {
	n := len(c.machines) + 1
	name := string(rune('a' + zone))
	m := &machine{
		cluster: c, name: fmt.Sprintf("sidecar-neng-%s-%d", name, n), zone: "neng-" + name,
		ip: fmt.Sprintf("%s.%d.%d", c.prefix, zone+1, n), service: service,
	}
	m.settings = filepath.Join(c.dir, m.name+".yaml")
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	return m, m.start()
}

// values returns the platform's fields that the template uses.
func (m *machine) values() map[string]any {
	address := func(port int) string { return hostPort(m.ip, port) }
	return map[string]any{
		"nodeName": m.name, "zone": m.zone, "region": "neng", "ip": m.ip, "service": m.service,
		"listen": map[string]any{
			"inbound": address(inboundPort), "outbound": address(outboundPort),
			"ready": address(readyPort), "control": address(controlPort),
		},
		"portRange": []any{firstPort, lastPort},
		"appAddr":   address(appPort),
		"limits":    map[string]any{"linkMbps": 1000.0, "memoryMb": 284, "maxFds": 4100},
		"platform":  map[string]any{"address": m.cluster.storeAddress()},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"},
		"bounds":    map[string]any{"retryBudgetSlack": 64},
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() error {
	text, err := os.ReadFile(filepath.Join(m.cluster.root, "deploy", "node.json.template"))
	if err != nil {
		return err
	}
	values := m.values()
	filled := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		match := placeholder.FindStringSubmatch(s)
		var value any = values
		for part := range strings.SplitSeq(match[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				i, _ := strconv.Atoi(part)
				value = v[i]
			}
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	return os.WriteFile(m.settings, []byte(filled), 0o600)
}

// start starts the node, and starts it again whenever it ends.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.cluster.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.cluster.root, "target", "baobabtided"), "run", m.settings)
	cmd.Dir = m.cluster.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABTIDE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = cmd, ended
	m.starts++
	m.mu.Unlock()
	m.cluster.rec.event("node", m.name, "starts, process", cmd.Process.Pid)
	go func() {
		state := cmd.Wait()
		_ = log.Close()
		m.cluster.rec.event("node", m.name, "ends:", state)
		close(ended)
		time.Sleep(restartDelay)
		m.mu.Lock()
		removed := m.removed
		m.mu.Unlock()
		if !removed {
			_ = m.start()
		}
	}()
	return nil
}

// kill sends SIGKILL.
func (m *machine) kill() { m.signal(syscall.SIGKILL) }

// term sends SIGTERM, and SIGKILL after grace. It returns when the process has ended.
func (m *machine) term() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cluster.rec.event("signal", m.name, s)
	_ = m.process.Process.Signal(s)
}

// remove ends the process for good.
func (m *machine) remove() {
	m.mu.Lock()
	m.removed = true
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
}

// close ends all processes.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.remove()
	}
	for _, m := range c.machines {
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// addTarget starts a target beside a machine.
func (c *cluster) addTarget(m *machine, id, version string, configure func(*target)) error {
	t := &target{
		id: id, service: m.service, version: version, zone: m.zone, slots: 13, work: 100 * time.Millisecond,
		address: hostPort(m.ip, appPort), control: hostPort(m.ip, controlPort), rec: c.rec,
	}
	if configure != nil {
		configure(t)
	}
	c.targets, m.target = append(c.targets, t), t
	return t.start(c.ctx)
}

// watchReady asks each node every second whether it is ready, as the platform does.
func (c *cluster) watchReady(m *machine) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for c.ctx.Err() == nil {
		resp, err := client.Get("http://" + hostPort(m.ip, readyPort) + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		m.mu.Lock()
		if ok {
			m.unreadyInRow, m.ready = 0, true
		} else if m.unreadyInRow++; m.unreadyInRow >= 2 {
			m.ready = false
		}
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (m *machine) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// answer is what a client got for one request.
type answer struct {
	id, machine, class string
	sent, done         time.Time
	status             int // 0 for none
	signature, body    string
	err                string
}

// class is a kind of request of clients.
type class struct {
	name, method, host, path string
	perSecond                float64 // on each machine
	deadline                 time.Duration
}

// runClients sends the requests of a class on a machine until ctx ends.
func (c *cluster) runClients(ctx context.Context, m *machine, k class) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	c.clients.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second)))
			if m.isReady() && !m.isRemoved() && ctx.Err() == nil {
				c.clients.Go(func() { c.request(transport, m, k) })
			}
		}
	})
}

// request sends one request and records the answer.
func (c *cluster) request(transport *http.Transport, m *machine, k class) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	var body io.Reader
	if k.method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 1200))
	}
	req, _ := http.NewRequestWithContext(ctx, k.method, "http://"+hostPort(m.ip, outboundPort)+k.path+id, body)
	req.Host = k.host
	req.GetBody = nil // never sent again by the library
	req.Header.Set("X-Baobabtide-Request-Id", id)
	req.Header.Set("X-Baobabtide-Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	a := answer{id: id, machine: m.name, class: k.name, sent: time.Now()}
	c.rec.eventAt(a.sent, "sent", id, k.name, "to", m.name)
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get("X-Baobabtide-Response-Signature"), string(data)
	}
	if err != nil {
		a.err = err.Error()
	}
	a.done = time.Now()
	text := ""
	if a.signature == "" {
		text = a.body
	}
	c.rec.eventAt(a.done, "answered", id, a.status, a.signature, a.err, text)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

// allRuns returns the runs at all targets.
func (c *cluster) allRuns() []run {
	var runs []run
	for _, t := range c.targets {
		runs = append(runs, t.all()...)
	}
	return runs
}

func (m *machine) isRemoved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removed
}

// ofService returns the machines of a service that are there.
func (c *cluster) ofService(service string) []*machine {
	var found []*machine
	for _, m := range c.present() {
		if m.service == service {
			found = append(found, m)
		}
	}
	return found
}

// leave makes targets drain and stop, and then removes their machines.
func (c *cluster) leave(machines []*machine) {
	for _, m := range machines {
		m.target.drain()
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	for _, m := range machines {
		m.target.deregister()
		m.target.stop()
	}
	for _, m := range machines {
		m.mu.Lock()
		m.removed, m.ready = true, false
		m.mu.Unlock()
		go m.term()
	}
}

// awaitStatus waits until the status of the rollout of berthboard is as given.
func (c *cluster) awaitStatus(state, version string) error {
	got, err := c.awaitEnd(version)
	if err == nil && got != state {
		err = fmt.Errorf("the rollout of %s has ended as %s, not %s", version, got, state)
	}
	return err
}

// awaitEnd waits until the latest rollout of berthboard to a version has ended, and returns its state.
func (c *cluster) awaitEnd(version string) (string, error) {
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.store.mu.Lock()
		records := c.store.topics["keyed.status"]
		c.store.mu.Unlock()
		if len(records) <= c.statuses {
			continue
		}
		var status struct{ State, NewVersion string }
		last := records[len(records)-1].value
		if json.Unmarshal(last, &status) == nil && status.NewVersion == version && status.State != "in_progress" {
			return status.State, nil
		}
	}
	return "", fmt.Errorf("the rollout of %s has not ended", version)
}

// answersBetween returns the answers to the requests that were sent in a time.
func (c *cluster) answersBetween(from, to time.Time) []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []answer
	for _, a := range c.answers {
		if a.sent.After(from) && a.sent.Before(to) {
			found = append(found, a)
		}
	}
	return found
}

// present returns the machines that are there.
func (c *cluster) present() []*machine {
	var found []*machine
	for _, m := range c.machines {
		if !m.isRemoved() {
			found = append(found, m)
		}
	}
	return found
}
