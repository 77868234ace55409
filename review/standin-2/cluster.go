package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bounds are the figures of a deployment that a case uses.
type bounds struct {
	StableWindow, Drain, Grace, ConfigApply time.Duration
}

// smallBounds are those of ketelnet and linehand-ne.
var smallBounds = bounds{3 * time.Second, 2 * time.Second, 6 * time.Second, 2 * time.Second}

// machine is a machine with a node and a target.
type machine struct {
	name, ip, zone, service string
	target                  *target
	cluster                 *cluster
	settings                string // path

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	started  time.Time
	platform string // address of the store for this machine
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	repo, dir string
	bounds    bounds
	book      *record
	store     *store
	storeAddr string
	machines  []*machine
	ports     map[string]int
	template  string
	contracts []string
	program   []string
	reason    string // of the newest status that has one
}

// current is the cluster of the case, for main to stop when the case is interrupted.
var current atomic.Pointer[cluster]

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// newCluster starts the store and lays out the machines, without starting them.
func newCluster(repo string, book *record, b bounds, services []string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{repo: repo, dir: dir, bounds: b, book: book, store: newStore()}
	c.contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"}
	current.Store(c)
	deploy, err := os.ReadFile(filepath.Join(repo, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(repo, "deploy/node.json.template"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	c.template, c.program = string(template), strings.Fields(string(found[1]))
	if _, err := os.Stat(filepath.Join(repo, c.program[0])); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.storeAddr = l.Addr().String()
	go c.store.serve(l)
	base := 127<<24 | (64+os.Getpid()>>12&63)<<16 | (os.Getpid()&4095)<<4
	c.ports = map[string]int{"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304, "control": 8306, "operator": 7620, "metrics": 7635}
	for i, service := range services {
		n := base + i + 1
		ip := fmt.Sprintf("%d.%d.%d.%d", n>>24, n>>16&255, n>>8&255, n&255)
		for _, port := range c.ports {
			probe, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return nil, err
			}
			probe.Close()
		}
		m := &machine{name: fmt.Sprintf("machine-%d", i+1), ip: ip, zone: "zone-" + string(rune('a'+i%3)), service: service, cluster: c, platform: c.storeAddr}
		m.settings = filepath.Join(dir, m.name+".json")
		c.machines = append(c.machines, m)
	}
	return c, nil
}

func (m *machine) address(port string) string {
	return fmt.Sprintf("%s:%d", m.ip, m.cluster.ports[port])
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)

// writeSettings renders the project's own template with the fields of a settings file of DEPLOY.md.
func (m *machine) writeSettings() error {
	b := m.cluster.bounds
	fields := map[string]any{
		"nodeName": m.name, "zone": m.zone, "region": "region", "ip": m.ip, "service": m.service, "appAddr": m.address("app"),
		"listen.inbound": m.address("inbound"), "listen.outbound": m.address("outbound"), "listen.ready": m.address("ready"), "listen.control": m.address("control"),
		"portRange.0": m.cluster.ports["operator"], "portRange.1": m.cluster.ports["metrics"],
		"limits.linkMbps": 1000.0, "limits.memoryMb": 284, "limits.maxFds": 4100,
		"platform.address":        m.platform,
		"contracts":               m.cluster.contracts,
		"bounds.retryBudgetSlack": 64, "bounds.graceS": b.Grace.Seconds(), "bounds.drainMs": b.Drain.Milliseconds(),
		"bounds.stableWindowMs": b.StableWindow.Milliseconds(), "bounds.configApplyMs": b.ConfigApply.Milliseconds(),
	}
	var missing string
	text := placeholder.ReplaceAllStringFunc(m.cluster.template, func(p string) string {
		parts := placeholder.FindStringSubmatch(p)
		value, ok := fields[parts[1]]
		if !ok {
			missing = parts[1]
		}
		if text, isText := value.(string); isText && parts[2] == "" {
			return text
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	if missing != "" {
		return fmt.Errorf("the template names %q, which the stand-in does not know", missing)
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the node with the command of the deploy file, on its own settings file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	args := append([]string(nil), m.cluster.program[1:]...)
	args[len(args)-1] = m.settings
	out, err := os.OpenFile(filepath.Join(m.cluster.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.cluster.repo, m.cluster.program[0]), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.cluster.repo, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABTIDE_NODE_FILE=" + m.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.started = cmd, done, time.Now()
	m.mu.Unlock()
	m.cluster.book.printf("%s: node started, process %d", m.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		out.Close()
		m.cluster.book.printf("%s: node process %d has ended", m.name, cmd.Process.Pid)
		close(done)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cluster.book.printf("%s: %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// wait waits until the node's process has ended.
func (m *machine) wait(timeout time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// begin starts the node of the machine and a target beside it.
func (m *machine) begin(id, version string, fails func() bool) error {
	if err := m.start(); err != nil {
		return err
	}
	m.target = &target{
		id: id, service: m.service, version: version, address: m.address("app"), control: m.address("control"),
		zone: m.zone, slots: 13, work: workOf, fails: fails, book: m.cluster.book,
	}
	if err := m.target.start(); err != nil {
		return err
	}
	go m.target.beats()
	return nil
}

// ready reports whether the node answers GET /ready with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address("ready") + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes and removes the folder.
func (c *cluster) stop(keep bool) {
	for _, m := range c.machines {
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-done:
		default:
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if !keep {
		_ = os.RemoveAll(c.dir)
	}
}

// reply is what a client got.
type reply struct {
	Status     int
	Signature  string
	Reason     string
	RetryAfter string
	Body       string
	Err        error
	Took       time.Duration
	Sent       time.Time
	Whole      bool // a 2xx with the target's signature and whole body
}

func (r *reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", r.Took.Milliseconds(), r.Err)
	}
	return fmt.Sprintf("%d after %d ms, signature %q, reason %q, retry-after %q", r.Status, r.Took.Milliseconds(), r.Signature, r.Reason, r.RetryAfter)
}

// send sends one request to the node of a machine on a new connection, as a client there does.
func (m *machine) send(id, method, host, path string, deadline time.Duration, body []byte) *reply {
	return m.sendWithKey(id, method, host, path, deadline, body, "")
}

// sendWithKey is send with an API key.
func (m *machine) sendWithKey(id, method, host, path string, deadline time.Duration, body []byte, key string) *reply {
	r := &reply{Sent: time.Now()}
	defer func() {
		r.Took = time.Since(r.Sent)
		m.cluster.book.printf("client at %s: %s %s%s %s: %s", m.name, method, host, path, id, r)
	}()
	m.cluster.book.printf("client at %s sends %s %s%s %s", m.name, method, host, path, id)
	conn, err := net.DialTimeout("tcp", m.address("outbound"), time.Second)
	if err != nil {
		r.Err = err
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Baobabtide-Request-Id: %s\r\nX-Baobabtide-Deadline-Ms: %s\r\n", method, path, host, id, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		fmt.Fprintf(&out, "Api-Key: %s\r\n", key)
	}
	if body != nil {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := conn.Write(out.Bytes()); err != nil {
		r.Err = err
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.Err = err
	r.Status, r.Body = resp.StatusCode, string(data)
	r.Signature, r.RetryAfter, r.Reason = resp.Header.Get("X-Baobabtide-Response-Signature"), resp.Header.Get("Retry-After"), resp.Header.Get("Baobabtide-Reason")
	r.Whole = err == nil && resp.StatusCode/100 == 2 && r.Signature != "" && r.Body == "done "+id
	return r
}

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	AimMs       int    `json:"aimMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// configure writes a configuration.
func (c *cluster) configure(version int, services []string, routes []route, tenants ...tenant) {
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"healthPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}
	var list []service
	for _, name := range services {
		list = append(list, service{name, "/health", 130, "h1", false})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	c.store.put("keyed.op", "config", config)
	c.book.printf("operator: configuration %d is acknowledged", version)
}

// rolloutState returns what the system has written of a rollout, empty for nothing.
func (c *cluster) rolloutState(service string) string {
	var status struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(c.store.newest("keyed.status", "rollout/"+service), &status)
	if status.Reason != "" {
		c.reason = status.Reason
	}
	return status.State
}

// awaitServing waits until each machine is ready and serves a request of a route.
func (c *cluster) awaitServing(host, path string) error {
	deadline := time.Now().Add(20 * time.Second)
	for i, m := range c.machines {
		if m.target == nil {
			continue
		}
		for n := 0; ; n++ {
			if m.ready() && m.send(fmt.Sprintf("warm-%d-%d", i, n), "POST", host, path, 2*time.Second, []byte("x")).Whole {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
