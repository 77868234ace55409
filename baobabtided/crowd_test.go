package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btoperator"
)

// largeCrowd runs the tests of misbehaving clients with 4,000 connections, by hand.
var largeCrowd = flag.Bool("large-crowd", false, "run crowds of 4,000 connections against a node with 184 MB")

const (
	crowdRetry     = 5 * time.Second        // before a misbehaving client connects again
	crowdRamp      = time.Millisecond       // between two connections of the crowd
	crowdReady     = 2 * time.Second        // longest time to an answer of GET /ready
	crowdObjective = 300 * time.Millisecond // of ordinary requests
	crowdSlow      = time.Second            // the same under the race detector and on processors that other tests use at the same time
	crowdWithin    = 0.99                   // fraction of ordinary requests within the objective
	crowdRun       = 40 * time.Millisecond  // of a request at the backend server
	crowdSlots     = 80
	crowdRate      = 500     // ordinary requests per second; with the first request of each misbehaving client about half of what the slots can run
	crowdLarge     = 300_000 // bytes of a response that misbehaving clients don't read
	crowdRecovery  = 10 * time.Second
	crowdOrdinary  = 50 // ordinary clients
)

// pattern is the behavior of a misbehaving client on one connection. It returns when the
// connection has failed or the context ends.
type pattern func(ctx context.Context, c net.Conn, path string) error

// head returns the start of a request with a number of short fields.
func crowdHead(method, path string, fields int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s", method, path, strings.Repeat("a:b\r\n", fields))
}

// sendOnce returns a pattern that sends a text and then nothing.
func sendOnce(text func(path string) string) pattern {
	return func(ctx context.Context, c net.Conn, path string) error {
		if _, err := io.WriteString(c, text(path)); err != nil {
			return err
		}
		return awaitClose(ctx, c)
	}
}

// sendParts returns a pattern that sends a start and then parts with a pause after each.
func sendParts(start func(path string) string, part string, count int, pause time.Duration) pattern {
	return func(ctx context.Context, c net.Conn, path string) error {
		if _, err := io.WriteString(c, start(path)); err != nil {
			return err
		}
		for range count {
			if _, err := io.WriteString(c, part); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
		}
		return awaitClose(ctx, c)
	}
}

// awaitClose waits, without reading, until the other end has closed the connection.
func awaitClose(ctx context.Context, c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
		closed := false
		if err := raw.Control(func(fd uintptr) {
			state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
			const established = 1
			closed = err != nil || state&0xff != established
		}); err != nil || closed {
			return io.EOF
		}
	}
}

// crowdPatterns are the behaviors that docs/HARD-LOAD.md lists.
var crowdPatterns = map[string]pattern{
	"endless-head": sendOnce(func(path string) string { return crowdHead("GET", path, 2500) }),
	"many-fields":  sendOnce(func(path string) string { return crowdHead("GET", path, 2500) + "\r\n" }),
	"body": sendOnce(func(path string) string {
		return crowdHead("POST", path, 0) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 59_990)
	}),
	"body-in-parts": sendParts(func(path string) string {
		return crowdHead("POST", path, 0) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 50_000)
	}, strings.Repeat("b", 100), 99, 20*time.Millisecond),
	"large-body": sendOnce(func(path string) string {
		return crowdHead("POST", path, 0) + "Content-Length: 8000000\r\n\r\n" + strings.Repeat("b", 200_000)
	}),
	"over-limit": sendOnce(func(path string) string {
		return crowdHead("POST", path, 0) + "Content-Length: 100000000\r\n\r\n" + strings.Repeat("b", 60_000)
	}),
	"chunks": sendOnce(func(path string) string {
		return crowdHead("POST", path, 0) + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + strings.Repeat("b", 16) + "\r\n" + strings.Repeat("1\r\nb\r\n", 9000)
	}),
	"extensions": sendOnce(func(path string) string {
		return crowdHead("POST", path, 0) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nb\r\n", 14)
	}),
	"pipelined": sendOnce(func(path string) string { return strings.Repeat(crowdHead("GET", path, 0)+"\r\n", 400) }),
	"unread":    sendOnce(func(path string) string { return strings.Repeat(crowdHead("GET", path+"/large", 0)+"\r\n", 20) }),
	"slow-head": sendParts(func(path string) string { return "GET " + path }, "x", 100, 50*time.Millisecond),
	"slow-body": sendParts(func(path string) string {
		return crowdHead("POST", path, 0) + "Content-Length: 60000\r\n\r\n"
	}, "b", 100, 50*time.Millisecond),
	"silent": func(ctx context.Context, c net.Conn, _ string) error { return awaitClose(ctx, c) },
}

// crowdOrder tells a process that holds the misbehaving clients what they do.
type crowdOrder struct {
	Connections int
	Address     string
	Path        string
	Patterns    []string
	Duration    time.Duration
}

// runCrowdMain is the variable of the environment that makes the test binary run a crowd.
const runCrowdMain = "BAOBABTIDED_TEST_CROWD"

// startCrowd runs a crowd in a process of its own, so that it doesn't slow the ordinary clients
// down other than by the load on the node. It returns at the end of the crowd.
func startCrowd(ctx context.Context, t *testing.T, order crowdOrder) {
	data, err := json.Marshal(order)
	if err != nil {
		t.Error(err)
		return
	}
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), runCrowdMain+"="+string(data))
	if out, err := cmd.CombinedOutput(); err != nil && ctx.Err() == nil {
		t.Errorf("crowd: %v\n%s", err, out)
	}
}

// crowdMain runs the crowd of an order.
func crowdMain(text string) error {
	var order crowdOrder
	if err := json.Unmarshal([]byte(text), &order); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), order.Duration)
	defer cancel()
	patterns := make([]pattern, 0, len(order.Patterns))
	for _, name := range order.Patterns {
		patterns = append(patterns, crowdPatterns[name])
	}
	runCrowd(ctx, order.Connections, order.Address, order.Path, patterns...)
	return nil
}

// runCrowd keeps a number of connections open to an address, on which clients behave by the
// patterns in turn, until the context ends.
func runCrowd(ctx context.Context, connections int, address, path string, patterns ...pattern) {
	var wg sync.WaitGroup
	for i := range connections {
		wg.Go(func() {
			time.Sleep(crowdRamp * time.Duration(i))
			for ctx.Err() == nil {
				dialer := net.Dialer{Timeout: crowdRetry}
				if c, err := dialer.DialContext(ctx, "tcp", address); err == nil {
					_ = c.(*net.TCPConn).SetLinger(0) // leaves no port in TIME_WAIT
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					_ = patterns[i%len(patterns)](ctx, c, path)
					stop()
					_ = c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(crowdRetry):
				}
			}
		})
	}
	wg.Wait()
}

// crowdBackend is a backend server that takes crowdRun for a request.
type crowdBackend struct{}

// ServeHTTP implements http.Handler.
func (crowdBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(crowdRun)
	size := 100
	if strings.HasSuffix(r.URL.Path, "/large") {
		size = crowdLarge
	}
	_, _ = w.Write(make([]byte, size))
}

// startCrowded runs a node with a memory limit and a backend server for crowds, see startLimited.
func startCrowded(t *testing.T, megabytes float64) *process {
	t.Helper()
	server := &http.Server{Handler: crowdBackend{}}
	t.Cleanup(func() { _ = server.Close() })
	return startLimited(t, megabytes, func(l net.Listener) { _ = server.Serve(l) })
}

// startLimited runs a node with a memory limit in a process of its own and returns once it has a
// route to its backend server, which serve runs until the listener is closed.
func startLimited(t *testing.T, megabytes float64, serve func(net.Listener)) *process {
	t.Helper()
	log, address := startLog(t)
	settings, path := writeSettings(t, address)
	ip, _, _ := net.SplitHostPort(settings.Caller.Listen)
	settings.Limits.MemoryMegabytes = megabytes
	settings.Metrics.Listen, settings.Metrics.Ready = hostPort(ip, metricsPort), hostPort(ip, readyPort)
	data, err := btcodec.EncodeJSON(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startWithSettings(t, settings, path)
	listener, err := net.Listen("tcp", hostPort(ip, serverPort))
	if err != nil {
		t.Fatal(err)
	}
	go serve(listener)
	t.Cleanup(func() { _ = listener.Close() })
	announcement := &btbackend.Announcement{
		Name: "n-v1", Service: service, Version: "v1", Address: listener.Addr().String(), State: baobabtide.TargetReady,
		Slots: crowdSlots, Connections: 2 * crowdSlots, Incarnation: 1, Lease: time.Minute,
	}
	p.waitFor(t, "announcement of the backend server", func() bool { return btbackend.Announce(p.settings.Backend.Listen, announcement) == nil })
	contract := btfixture.Contract(customer, service)
	contract.Callers = &baobabtide.CallerLimits{HeaderTimeout: 3 * time.Second}
	c := &cluster{log: log, members: []*member{{settings: settings, operator: btoperator.NewClient(settings.Operator.Listen, nil)}}}
	c.publish(t, 0, baobabtide.Record{Contract: contract})
	c.publish(t, 0, baobabtide.Record{Release: &baobabtide.Release{Service: service, Version: "v1"}})
	c.waitFor(t, "route to the backend server", func(s *btoperator.Status) bool {
		return len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == 1
	})
	return p
}

// ordinary counts the requests of ordinary clients.
type ordinary struct {
	objective time.Duration

	sent, within atomic.Int64
	mu           sync.Mutex
	other        map[string]int // results other than a response within the objective
}

func (o *ordinary) record(status int, err error, took time.Duration) {
	o.sent.Add(1)
	if err == nil && status == http.StatusOK && took <= o.objective {
		o.within.Add(1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.other == nil {
		o.other = make(map[string]int)
	}
	kind := fmt.Sprintf("status %d", status)
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		kind = "timeout"
	case err != nil:
		kind = err.Error()[strings.LastIndexByte(err.Error(), ':')+1:]
	}
	o.other[kind]++
}

// runOrdinary sends requests at crowdRate, a third of them with a body, until the context ends. A
// request that was not run is sent once more.
func (o *ordinary) run(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: crowdOrdinary}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range crowdOrdinary {
		wg.Go(func() {
			ticker := time.NewTicker(time.Second * crowdOrdinary / crowdRate)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				began := time.Now()
				status, err := o.send(client, address, n%3 == 0)
				if status == http.StatusServiceUnavailable || err != nil {
					status, err = o.send(client, address, n%3 == 0)
				}
				o.record(status, err, time.Since(began))
			}
		})
	}
	wg.Wait()
}

func (o *ordinary) send(client *http.Client, address string, withBody bool) (int, error) {
	var body io.Reader
	if withBody {
		body = bytes.NewReader(make([]byte, 3000))
	}
	resp, err := client.Post("http://"+address+"/"+service, "text/plain", body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// observer records the memory of a process and the times of GET /ready.
type observer struct {
	peak, last int64         // bytes
	ready      time.Duration // longest time to an answer
	unready    []string      // failures of checks without an answer in crowdReady
}

// resident returns the resident memory of a process in bytes. The race detector multiplies it,
// so the tests in CI use memoryInUse.
func (p *process) resident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// memoryInUse returns the bytes of the heap and of stacks that are in use, 0 if the process does
// not answer.
func (p *process) memoryInUse() int64 {
	return int64(p.metric("go_memstats_heap_inuse_bytes") + p.metric("go_memstats_stack_inuse_bytes"))
}

// metric returns a metric of the process, 0 if it does not answer.
func (p *process) metric(name string) float64 {
	client := &http.Client{Timeout: crowdReady, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.settings.Metrics.Listen + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		if rest, ok := strings.CutPrefix(scanner.Text(), name); ok && (rest[0] == ' ' || rest[0] == '{') {
			value, _ := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
			sum += value
		}
	}
	return sum
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const user, system, tick = 11, 12, 10 * time.Millisecond
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * tick
}

// logRefusals logs the refusals of clients that the process has counted.
func (p *process) logRefusals(t *testing.T) {
	resp, err := http.Get("http://" + p.settings.Metrics.Listen + "/metrics")
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "baobabtide_client_refusals_total") || strings.HasPrefix(scanner.Text(), "baobabtide_request_failures_total") {
			t.Log(scanner.Text())
		}
	}
}

// observe measures until the context ends.
func (o *observer) observe(ctx context.Context, p *process, memory func() int64) {
	client := &http.Client{Timeout: crowdReady, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		began := time.Now()
		resp, err := client.Get("http://" + p.settings.Metrics.Ready + "/ready")
		if err != nil {
			o.unready = append(o.unready, fmt.Sprintf("%s after %s", err, time.Since(began).Round(time.Millisecond)))
		} else {
			_ = resp.Body.Close()
			o.ready = max(o.ready, time.Since(began))
		}
		o.last = memory()
		o.peak = max(o.peak, o.last)
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// crowdCase is a crowd of clients and where they connect to.
type crowdCase struct {
	patterns  []string
	objective time.Duration // of the ordinary requests
	ready     bool          // at the readiness listener, otherwise at that of callers
	path      string
}

// attack runs a crowd against a node together with ordinary clients. It requires that the
// memory stays within the limit, that GET /ready is answered, and that the memory is free again
// after the crowd has left.
func attack(t *testing.T, p *process, connections int, limit int64, duration time.Duration, memory func() int64, tt crowdCase) {
	t.Helper()
	before := memory()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	var seen observer
	calm := ordinary{objective: tt.objective}
	address := p.settings.Caller.Listen
	if tt.ready {
		address = p.settings.Metrics.Ready
	}
	wg.Go(func() {
		if connections > 0 {
			startCrowd(ctx, t, crowdOrder{connections, address, tt.path, tt.patterns, duration})
		}
	})
	wg.Go(func() { seen.observe(ctx, p, memory) })
	wg.Go(func() { calm.run(ctx, p.settings.Caller.Listen) })
	wg.Wait()
	select {
	case <-p.ended:
		t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
	share := float64(calm.within.Load()) / float64(max(1, calm.sent.Load()))
	left := time.Now()
	// Requests that are still being served hold memory now and then, so the budget must stay free.
	const settled = 5
	for free := 0; free < settled && time.Since(left) < crowdRecovery; time.Sleep(100 * time.Millisecond) {
		free++
		if p.metric("baobabtide_client_memory_bytes") > 1<<20 {
			free = 0
		}
	}
	p.logRefusals(t)
	t.Logf("CPU time: node %s, test %s", cpuTime(p.cmd.Process.Pid), cpuTime(os.Getpid()))
	t.Logf("%d connections: memory %.1f MB before, %.1f MB at the peak, budget free after %s; ready within %s, %d without an answer; %d ordinary requests, %.2f%% within %s, others %v",
		connections, float64(before)/1e6, float64(seen.peak)/1e6, time.Since(left).Round(time.Millisecond), seen.ready.Round(time.Millisecond),
		len(seen.unready), calm.sent.Load(), 100*share, tt.objective, calm.other)
	if seen.peak > limit {
		t.Errorf("memory of %d bytes exceeds %d", seen.peak, limit)
	}
	if len(seen.unready) > 0 {
		t.Errorf("readiness checks without an answer within %s: %q", crowdReady, seen.unready)
	}
	if held := p.metric("baobabtide_client_memory_bytes"); held > 1<<20 {
		t.Errorf("%.0f bytes are reserved %s after the crowd has left", held, crowdRecovery)
	}
	if share < crowdWithin {
		t.Errorf("%.2f%% of the ordinary requests were answered within %s", 100*share, tt.objective)
	}
}

// Guards against misbehaving clients that exhaust the memory of a node or keep ordinary clients
// out. The number of connections is an
// eighth, the memory about a sixth of those of TestLargeCrowds.
func TestCrowds(t *testing.T) {
	const connections, megabytes = 500, 32
	for name, tt := range map[string]crowdCase{
		"heads without an end":   {patterns: []string{"endless-head"}, path: "/" + service},
		"bodies without a route": {patterns: []string{"body"}, path: "/none"},
		"readiness":              {patterns: []string{"endless-head", "body"}, path: "/ready", ready: true},
		"all":                    {patterns: slices.Sorted(maps.Keys(crowdPatterns)), path: "/" + service},
	} {
		t.Run(name, func(t *testing.T) {
			tt.objective = crowdSlow
			p := startCrowded(t, megabytes)
			attack(t, p, connections, megabytes*1e6, 1500*time.Millisecond, p.memoryInUse, tt)
		})
	}
}

// Guards against the same at the size of the smallest VM.
func TestLargeCrowds(t *testing.T) {
	if !*largeCrowd {
		t.Skip("by hand: go test ./baobabtided -run TestLargeCrowds -large-crowd -v")
	}
	const connections, megabytes = 4000, 184
	all := slices.Sorted(maps.Keys(crowdPatterns))
	t.Run("calm", func(t *testing.T) { // for comparison
		attack(t, startCrowded(t, megabytes), 0, megabytes*1e6, 10*time.Second, func() int64 { return 0 }, crowdCase{patterns: all, objective: crowdObjective})
	})
	for where, at := range map[string]crowdCase{
		"route": {path: "/" + service},
		"none":  {path: "/none"},
		"ready": {path: "/ready", ready: true},
	} {
		for _, name := range append([]string{"all"}, all...) {
			t.Run(where+"/"+name, func(t *testing.T) {
				at.patterns = []string{name}
				if name == "all" {
					at.patterns = all
				}
				at.objective = crowdObjective
				p := startCrowded(t, megabytes)
				attack(t, p, connections, megabytes*1e6, 10*time.Second, p.resident, at)
			})
		}
	}
}
