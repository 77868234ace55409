package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btsettings"
)

const (
	runMain    = "BAOBABTIDED_TEST_MAIN" // variable of the environment that makes the test binary run main
	testNotice = 300 * time.Millisecond
	testFinish = 10 * time.Second

	processPollInterval = 2 * time.Millisecond
)

// TestMain runs main in place of the tests in a process that startProcess started.
func TestMain(m *testing.M) {
	if order := os.Getenv(runCrowdMain); order != "" {
		if err := crowdMain(order); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node in a process of its own, with stand-ins for the log and the backend
// server in the process of the test.
type process struct {
	cmd      *exec.Cmd
	settings *btsettings.Settings
	path     string   // of the settings file
	pipe     string   // path of the named pipe that is the standard output
	stdout   *os.File // end of the pipe that the test reads
	out      logBuffer
	errors   logBuffer
	ended    chan struct{} // closed once the process has ended
	backend  *gatedBackend

	paused  chan struct{} // receives a value once pauseReader has taken effect
	resumed chan struct{} // receives a value to read the output again
	read    chan struct{} // closed once the output has ended
}

// gatedBackend is a backend server that responds once the test lets it.
type gatedBackend struct {
	arrived chan struct{} // receives a value for each request
	release chan struct{} // closed to respond to all requests
	body    []byte
}

// ServeHTTP implements http.Handler.
func (g *gatedBackend) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.arrived <- struct{}{}
	<-g.release
	_, _ = w.Write(g.body)
}

// writeSettings writes the settings of a node to a file in a new directory and returns
// them with the path. log is the address of the stand-in for the log.
func writeSettings(t *testing.T, log string) (*btsettings.Settings, string) {
	t.Helper()
	ip := reserveLoopback(t)
	s := btsettings.Default()
	s.Node = btsettings.Node{Name: "n", Zone: "z"}
	s.Caller.Listen, s.Caller.DefaultCustomer = hostPort(ip, callerPort), customer
	s.Backend.Listen, s.Operator.Listen = hostPort(ip, backendPort), hostPort(ip, operatorPort)
	s.Peer.Listen = hostPort(ip, peerPort)
	s.Platform.Addresses = []string{log}
	s.TLS.Plaintext = true
	data, err := btcodec.EncodeJSON(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return s, path
}

// startLog starts a stand-in for the log and returns it with its address.
func startLog(t *testing.T) (*btlogstandin.Log, string) {
	t.Helper()
	log := btlogstandin.New(10_000, 400)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, stop := btlogstandin.NewServer(log)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(stop)
	return log, listener.Addr().String()
}

// startProcess runs a node in a process of its own until the end of the test.
func startProcess(t *testing.T, log string) *process {
	t.Helper()
	settings, path := writeSettings(t, log)
	return startWithSettings(t, settings, path)
}

// startWithSettings runs a node with a settings file in a process of its own until the end
// of the test.
func startWithSettings(t *testing.T, settings *btsettings.Settings, path string) *process {
	t.Helper()
	p := &process{
		cmd: exec.Command(os.Args[0], "run", path), settings: settings, path: path, pipe: filepath.Join(t.TempDir(), "stdout"),
		ended: make(chan struct{}), paused: make(chan struct{}), resumed: make(chan struct{}), read: make(chan struct{}),
	}
	writer := p.openOutput(t)
	p.cmd.Env = append(os.Environ(), runMain+"=1", "GORACE=atexit_sleep_ms=0")
	p.cmd.Stdout, p.cmd.Stderr = writer, &p.errors
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	go p.readOutput()
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = p.stdout.Close()
		if t.Failed() {
			t.Logf("%v, output:\n%s%s", p.cmd.ProcessState, p.out.String(), p.errors.String())
		}
	})
	return p
}

// openOutput creates the pipe for the standard output and returns the end that the process
// writes to.
func (p *process) openOutput(t *testing.T) *os.File {
	t.Helper()
	if err := syscall.Mkfifo(p.pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.stdout, err = os.OpenFile(p.pipe, os.O_RDONLY|syscall.O_NONBLOCK, 0); err != nil {
		t.Fatal(err)
	}
	writer, err := os.OpenFile(p.pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return writer
}

// readOutput reads the standard output of the process until it ends, with a pause after
// each read deadline.
func (p *process) readOutput() {
	defer close(p.read)
	for {
		if _, err := io.Copy(&p.out, p.stdout); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		p.paused <- struct{}{}
		<-p.resumed
	}
}

// stallOutput stops to read the standard output and fills the pipe, so that the process
// can't write.
func (p *process) stallOutput(t *testing.T) {
	t.Helper()
	if err := p.stdout.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	<-p.paused
	fd, err := syscall.Open(p.pipe, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	for err == nil {
		_, err = syscall.Write(fd, []byte("\n"))
	}
	if !errors.Is(err, syscall.EAGAIN) {
		t.Fatalf("fill the pipe: %v", err)
	}
}

// resumeOutput reads the standard output again.
func (p *process) resumeOutput(t *testing.T) {
	t.Helper()
	if err := p.stdout.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	p.resumed <- struct{}{}
}

// startServing runs a node in a process of its own and returns once it has a route to its
// backend server.
func startServing(t *testing.T) *process {
	t.Helper()
	log, address := startLog(t)
	p := startProcess(t, address)
	p.startBackend(t)
	contract := btfixture.Contract(customer, service)
	contract.Services[0].Drain = baobabtide.DrainTerms{Notice: testNotice, Finish: testFinish}
	for i := range contract.Services[0].Routes {
		contract.Services[0].Routes[i].Timeout = testTimeout
	}
	c := &cluster{log: log, members: []*member{{settings: p.settings, operator: btoperator.NewClient(p.settings.Operator.Listen, nil)}}}
	c.publish(t, 0, baobabtide.Record{Contract: contract})
	c.publish(t, 0, baobabtide.Record{Release: &baobabtide.Release{Service: service, Version: "v1"}})
	c.waitFor(t, "route to the backend server", func(s *btoperator.Status) bool {
		return len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == 1
	})
	return p
}

// startBackend starts a backend server and announces it until the end of the test.
func (p *process) startBackend(t *testing.T) {
	t.Helper()
	ip, _, err := net.SplitHostPort(p.settings.Caller.Listen)
	if err != nil {
		t.Fatal(err)
	}
	p.backend = &gatedBackend{arrived: make(chan struct{}, 1), release: make(chan struct{}), body: bytes.Repeat([]byte("whole\n"), 50_000)}
	listener, err := net.Listen("tcp", hostPort(ip, serverPort))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p.backend}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	announcement := &btbackend.Announcement{
		Name: "n-v1", Service: service, Version: "v1", Address: listener.Addr().String(), State: baobabtide.TargetReady,
		Slots: 5, Connections: 20, Incarnation: 1, Lease: time.Minute,
	}
	p.waitFor(t, "announcement of the backend server", func() bool { return btbackend.Announce(p.settings.Backend.Listen, announcement) == nil })
}

// waitFor waits until a condition holds. It fails if the process ends before.
func (p *process) waitFor(t *testing.T, description string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(processPollInterval) {
		select {
		case <-p.ended:
			t.Fatalf("%s: the process ended before: %v", description, p.cmd.ProcessState)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached", description)
		}
	}
}

// waitForLine waits until the process has logged count lines that contain text.
func (p *process) waitForLine(t *testing.T, text string, count int) {
	t.Helper()
	p.waitFor(t, fmt.Sprintf("%d lines with %s", count, text), func() bool { return p.out.count(text) >= count })
}

// signal sends a signal to the process and waits until the kernel has delivered it.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("send %v: %v", s, err)
	}
	p.waitFor(t, fmt.Sprintf("delivery of %v", s), func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		return err == nil && bytes.Contains(status, []byte("\nShdPnd:\t0000000000000000\n"))
	})
}

// countSockets returns the number of sockets that the process holds.
func (p *process) countSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return math.MaxInt
	}
	count := 0
	for _, entry := range entries {
		if target, _ := os.Readlink(filepath.Join(dir, entry.Name())); strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// exchange is a request in flight and its result.
type exchange struct {
	status int
	body   []byte
	err    error
}

// startRequest sends a request to the node. It returns once the request runs; the result
// follows in the channel.
func (p *process) startRequest(t *testing.T) <-chan exchange {
	t.Helper()
	result := make(chan exchange, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
		resp, err := client.Post("http://"+p.settings.Caller.Listen+"/"+service, "text/plain", strings.NewReader("x"))
		if err != nil {
			result <- exchange{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		result <- exchange{status: resp.StatusCode, body: body, err: err}
	}()
	select {
	case <-p.backend.arrived:
	case <-time.After(testTimeout):
		t.Fatal("the request did not reach the backend server")
	}
	return result
}

// finishRequest lets the backend server respond and requires that the caller gets the
// whole response.
func (p *process) finishRequest(t *testing.T, result <-chan exchange) {
	t.Helper()
	close(p.backend.release)
	got := <-result
	if got.err != nil || got.status != http.StatusOK || !bytes.Equal(got.body, p.backend.body) {
		t.Errorf("request in flight: status %d, %d of %d bytes, error %v", got.status, len(got.body), len(p.backend.body), got.err)
	}
}

// requireOrderlyExit requires that the process ends with exit code 0.
func (p *process) requireOrderlyExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(testTimeout):
		t.Fatal("the process did not end")
	}
	if state := p.cmd.ProcessState; !state.Exited() || state.ExitCode() != 0 {
		t.Errorf("the process ended with %v", state)
	}
}
