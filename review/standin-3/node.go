package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Deployment holds the figures that the settings of all nodes share.
type Deployment struct {
	Bounds       map[string]any
	LinkMegabits float64
	MemoryMB     int
	Folder       string // temporary
	Store        string // address
	Template     string // text of the template of the settings
	Program      []string
	PortRange    [2]int
}

// NewDeployment reads the deploy file's template. The program is started as in the deploy file.
func NewDeployment(store string) (*Deployment, error) {
	template, err := os.ReadFile("deploy/node.json.template")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Bounds: map[string]any{"retryBudgetSlack": 64, "graceS": 6}, LinkMegabits: 1000, MemoryMB: 134,
		Folder: folder, Store: store, Template: string(template), Program: []string{"target/baobabtided", "run"},
	}, nil
}

// Node is a process of the project on a loopback address of its own, as on a machine of its own.
type Node struct {
	Name, Zone, Service, IP string

	Inbound, Outbound, Ready, Control, App string // addresses
	settings                               string

	deployment *Deployment
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	Started    time.Time // of the present process
}

var nextPort = 21000

// freePort returns a port that is free on a loopback address.
func freePort(ip string) int {
	for {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, nextPort))
		if err == nil {
			_ = l.Close()
			return nextPort
		}
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)

// NewNode writes the settings of a node. app is the address of the backend server beside it.
func (d *Deployment) NewNode(name, zone, service, ip, app string) (*Node, error) {
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
	n := &Node{
		Name: name, Zone: zone, Service: service, IP: ip, App: app, deployment: d,
		Inbound: address(), Outbound: address(), Ready: address(), Control: address(),
		settings: filepath.Join(d.Folder, name+".json"),
	}
	ports := []int{freePort(ip), freePort(ip)}
	fields := map[string]any{
		"nodeName": name, "zone": zone, "region": "r", "ip": ip, "service": service, "appAddr": app,
		"listen.outbound": n.Outbound, "listen.inbound": n.Inbound, "listen.ready": n.Ready, "listen.control": n.Control,
		"limits.linkMbps": d.LinkMegabits, "limits.memoryMb": d.MemoryMB, "limits.maxFds": 4100,
		"portRange.0": ports[0], "portRange.1": ports[1], "platform.address": d.Store,
		"contracts":               []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"},
		"bounds.retryBudgetSlack": d.Bounds["retryBudgetSlack"], "bounds.graceS": d.Bounds["graceS"],
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(d.Template, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := fields[parts[1]]
		if !ok {
			missing = parts[1]
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	if missing != "" {
		return nil, fmt.Errorf("the template asks for %q", missing)
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// Start starts the node's process.
func (n *Node) Start() error {
	program := n.deployment.Program
	command := exec.Command(program[0], append(append([]string{}, program[1:]...), n.settings)...)
	log, err := os.OpenFile(filepath.Join(n.deployment.Folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Started = time.Now()
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.Exited()
}

// Exited returns a channel that is closed once the present process has ended.
func (n *Node) Exited() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// IsReady asks the node whether it is ready, as the platform does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func AwaitReady(nodes []*Node, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, n := range nodes {
		for !n.IsReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// LogLines returns the lines of a node's log that hold a text.
func (n *Node) LogLines(text string) []string {
	data, _ := os.ReadFile(filepath.Join(n.deployment.Folder, n.Name+".log"))
	var found []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// call makes a call to the control address of a node and returns the status, 0 for no response within a second.
func call(address, path string, body any) int {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address+path, "application/json", strings.NewReader(string(data)))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
