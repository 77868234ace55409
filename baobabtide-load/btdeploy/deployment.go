package btdeploy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
)

// Ports. The first six are on the address of each node.
const (
	callerPort   = 7001
	backendPort  = 7002
	operatorPort = 7003
	peerPort     = 7004
	metricsPort  = 7005
	serverPort   = 7100 // of the node's first backend server, increased by 1 for each further one
	logPort      = 7100
	controlPort  = 7099 // of the relay's control interface
	lockPort     = 7000 // held by a run to reserve its loopback network
)

const (
	firstNetwork    = 16  // lowest second byte of the loopback addresses of a run
	lastNetwork     = 250 // exclusive
	relayZoneOffset = 100 // added to the zone's byte in the addresses that the relay listens on
	logZoneOffset   = 200 // added to the zone's byte in the log's addresses for the nodes
	seedsPerZone    = 1
	readyTimeout    = 30 * time.Second
	maxZoneNodes    = 250
	logAddressByte  = 254 // last byte of the address from which a zone's connections to the log seem to come
	metricsTimeout  = time.Second
	relayPollPeriod = 20 * time.Millisecond
	fileMode        = 0o600
)

// Service describes the backend servers of one service.
type Service struct {
	Service     string
	Targets     int           // number of nodes with a backend server of the service
	Slots       int           // concurrent requests of a backend server
	Connections int           // open connections of a backend server
	Work        time.Duration // mean run time of a request
	OpenCost    time.Duration // delay of accepting a connection
	ColdStart   time.Duration `json:",omitempty"` // time after the start in which run times are multiplied by ColdFactor
	ColdFactor  float64       `json:",omitempty"`
	LinkRate    int           `json:",omitempty"` // bytes per second that each node beside the service can send to other nodes, 0 for no limit
}

// Spec specifies the nodes, backend servers and options of a deployment.
type Spec struct {
	Customer           string
	Zones              []string
	Region             string `json:",omitempty"`
	Services           []Service
	Version            string        // of the backend servers that are started first
	Nodes              int           `json:",omitempty"` // limit on the number of nodes, 0 for one per target
	Relay              bool          `json:",omitempty"` // route connections between nodes and to the log through the relay
	BackendsPerProcess int           `json:",omitempty"` // backend-server stand-ins per process, 0 for 1
	LogRetention       int           `json:",omitempty"` // records kept per stream of the log, 0 for 10000
	SnapshotEvery      int           `json:",omitempty"` // records between snapshots, 0 for the default of the settings
	Heartbeat          time.Duration `json:",omitempty"` // heartbeat period, 0 for the default of the settings
}

// Node is a node of a deployment, with the backend servers beside it.
type Node struct {
	Name    string
	Zone    string
	Service string // of the backend servers beside it
	IP      string
	zone    int // index in Spec.Zones
	settingsPath,
	relayIP, // address on which the relay listens for the node
	logIP string // address of the log to which only this node connects, behind any relay
	process  *process
	backends []*Backend
}

// Caller returns the node's address for callers, host:port.
func (n *Node) Caller() string { return fmt.Sprintf("%s:%d", n.IP, callerPort) }

// Operator returns the node's address for operators, host:port.
func (n *Node) Operator() string { return fmt.Sprintf("%s:%d", n.IP, operatorPort) }

// Ready returns the URL of the node's readiness endpoint.
func (n *Node) Ready() string { return fmt.Sprintf("http://%s:%d/ready", n.IP, metricsPort) }

// Running reports whether the node's process is running.
func (n *Node) Running() bool { return n.process != nil && n.process.running() }

// Backend is a backend-server stand-in beside a node of a deployment.
type Backend struct {
	Spec    btbackendstandin.Spec
	Node    *Node
	process *process // shared by up to Spec.BackendsPerProcess backend servers
}

// Deployment holds the processes of a running deployment.
type Deployment struct {
	Spec        Spec
	Dir         string // temporary directory with the settings and outputs of the processes
	Nodes       []*Node
	seed        uint64
	bin         string       // directory of the programs
	network     int          // second byte of the deployment's loopback addresses
	lock        net.Listener // reserves the network
	starter     *starter
	stopStarter func()
	mu          sync.Mutex
	backends    []*Backend
	log         *process
	relay       *process
}

// Start starts a deployment and returns a function that kills all its processes
// and removes its directory, unless BAOBABTIDE_KEEP is set. The programs are
// taken from the directory bin. The backend servers derive the seeds of their
// random numbers from seed.
func Start(spec Spec, bin string, seed uint64) (*Deployment, func(), error) {
	dir, err := os.MkdirTemp("", "baobabtide-")
	if err != nil {
		return nil, nil, fmt.Errorf("create directory: %w", err)
	}
	d := &Deployment{Spec: spec, Dir: dir, seed: seed, bin: bin}
	d.starter, d.stopStarter = newStarter()
	stop := sync.OnceFunc(d.stop)
	if err := d.start(); err != nil {
		stop()
		return nil, nil, err
	}
	return d, stop, nil
}

func (d *Deployment) start() error {
	if err := d.reserveNetwork(); err != nil {
		return err
	}
	d.placeNodes()
	if err := d.startLog(); err != nil {
		return err
	}
	if d.Spec.Relay {
		if err := d.startRelay(); err != nil {
			return err
		}
	}
	if d.HasLimits() {
		if err := d.setLimits(); err != nil {
			return err
		}
	}
	for _, n := range d.Nodes {
		if err := d.writeSettings(n); err != nil {
			return err
		}
		if err := d.StartNode(n); err != nil {
			return err
		}
	}
	for i := range d.Spec.Services {
		if err := d.StartVersion(d.Spec.Services[i].Service, d.Spec.Version, btbackendstandin.Behavior{}); err != nil {
			return err
		}
	}
	return nil
}

// reserveNetwork reserves a loopback network that no other run on this machine
// uses, by listening on one of its addresses.
func (d *Deployment) reserveNetwork() error {
	count := lastNetwork - firstNetwork
	for i := range count {
		network := firstNetwork + (os.Getpid()+i)%count
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, lockPort))
		if err == nil {
			d.network, d.lock = network, lock
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free")
}

// placeNodes creates one node per target, at most Spec.Nodes if that is set, and assigns
// the nodes to the zones round-robin.
func (d *Deployment) placeNodes() {
	inZone := make([]int, len(d.Spec.Zones))
	next := 0
	for _, s := range d.Spec.Services {
		for range s.Targets {
			if d.Spec.Nodes > 0 && len(d.Nodes) == d.Spec.Nodes {
				return
			}
			zone := next % len(d.Spec.Zones)
			next++
			inZone[zone]++
			n := &Node{
				Name:    fmt.Sprintf("%s-%s-%d", d.Spec.Zones[zone], s.Service, inZone[zone]),
				Zone:    d.Spec.Zones[zone],
				Service: s.Service,
				IP:      fmt.Sprintf("127.%d.%d.%d", d.network, zone+1, inZone[zone]),
				zone:    zone,
			}
			n.relayIP = fmt.Sprintf("127.%d.%d.%d", d.network, relayZoneOffset+zone+1, inZone[zone])
			n.logIP = fmt.Sprintf("127.%d.%d.%d", d.network, logZoneOffset+zone+1, inZone[zone])
			n.settingsPath = filepath.Join(d.Dir, n.Name+".json")
			d.Nodes = append(d.Nodes, n)
		}
	}
}

// LogAddress returns the address of the log, host:port, that no node uses.
func (d *Deployment) LogAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", d.network, logPort)
}

// logAddress returns the address, host:port, at which the node connects to the log.
func (n *Node) logAddress(relay bool) string {
	if relay {
		return fmt.Sprintf("%s:%d", n.relayIP, logPort)
	}
	return fmt.Sprintf("%s:%d", n.logIP, logPort)
}

// LogCaller returns the name of the node in the refusals of the log.
func (n *Node) LogCaller() string { return n.logIP }

func (n *Node) peerAddress() string { return fmt.Sprintf("%s:%d", n.IP, peerPort) }

// advertisedAddress returns the address, host:port, that the node advertises to
// its peers, with a relay the relay's address for the node.
func (n *Node) advertisedAddress(relay bool) string {
	if relay {
		return fmt.Sprintf("%s:%d", n.relayIP, peerPort)
	}
	return n.peerAddress()
}

func (d *Deployment) startLog() error {
	retention := d.Spec.LogRetention
	if retention == 0 {
		retention = 10_000
	}
	args := []string{"log", "--listen", d.LogAddress(), "--retention", fmt.Sprint(retention)}
	for _, n := range d.Nodes {
		args = append(args, "--caller", n.logAddress(false))
	}
	var err error
	d.log, err = d.starter.start(d.Dir, "log", filepath.Join(d.bin, "baobabtide-standin"), args...)
	return err
}

// relayFile is the input file of the baobabtide-standin relay command.
type relayFile struct {
	Control string
	Links   []btrelay.Link
}

func (d *Deployment) startRelay() error {
	file := relayFile{Control: d.relayControl()}
	for _, n := range d.Nodes {
		file.Links = append(file.Links, btrelay.Link{Listen: n.advertisedAddress(true), Target: n.peerAddress()}, btrelay.Link{
			Listen: n.logAddress(true),
			Target: n.logAddress(false),
			From:   fmt.Sprintf("127.%d.%d.%d", d.network, n.zone+1, logAddressByte),
		})
	}
	path := filepath.Join(d.Dir, "relay.json")
	if err := writeJSON(path, file); err != nil {
		return err
	}
	var err error
	d.relay, err = d.starter.start(d.Dir, "relay", filepath.Join(d.bin, "baobabtide-standin"), "relay", path)
	return err
}

func (d *Deployment) relayControl() string {
	return fmt.Sprintf("127.%d.0.2:%d", d.network, controlPort)
}

// StartNode starts a node's process without waiting until it is ready. A node whose
// process has exited may be started again.
func (d *Deployment) StartNode(n *Node) error {
	p, err := d.starter.start(d.Dir, n.Name, filepath.Join(d.bin, "baobabtided"), "run", n.settingsPath)
	if err != nil {
		return err
	}
	n.process = p
	return nil
}

// KillNode kills a node's process and waits until it has exited.
func (d *Deployment) KillNode(n *Node) { n.process.kill() }

// StopNode begins the planned stop of a node and waits until its process has exited. It
// kills the process after stopTimeout.
func (d *Deployment) StopNode(n *Node) { n.process.stop() }

// AwaitExit waits until a node's process has exited by itself. It fails after the
// timeout.
func (n *Node) AwaitExit(timeout time.Duration) error {
	select {
	case <-n.process.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("node %s has not exited after %s", n.Name, timeout)
	}
}

// PauseNode suspends a node's process until ResumeNode.
func (d *Deployment) PauseNode(n *Node) { n.process.signal(syscall.SIGSTOP) }

// ResumeNode resumes a suspended node's process.
func (d *Deployment) ResumeNode(n *Node) { n.process.signal(syscall.SIGCONT) }

// stop kills all processes and removes the directory, unless BAOBABTIDE_KEEP is
// set.
func (d *Deployment) stop() {
	var wg sync.WaitGroup
	for _, p := range d.processes() {
		wg.Go(func() {
			if p.running() {
				p.kill()
			}
		})
	}
	wg.Wait()
	d.stopStarter()
	if d.lock != nil {
		_ = d.lock.Close()
	}
	if os.Getenv("BAOBABTIDE_KEEP") == "" {
		_ = os.RemoveAll(d.Dir)
	}
}

// processes returns the latest process of each node, backend server, relay and
// log, each process once.
func (d *Deployment) processes() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[*process]bool)
	var all []*process
	add := func(p *process) {
		if p != nil && !seen[p] {
			seen[p] = true
			all = append(all, p)
		}
	}
	for _, n := range d.Nodes {
		add(n.process)
	}
	for _, b := range d.backends {
		add(b.process)
	}
	add(d.relay)
	add(d.log)
	return all
}

// RunDelay is how long the threads of a process have waited for a processor in total.
type RunDelay struct {
	Node   *Node // nil for the log and the relay
	PID    int
	Waited time.Duration
}

// RunDelays returns the RunDelay of each running node, the relay and the log. It fails if the
// system does not tell.
func (d *Deployment) RunDelays() ([]RunDelay, error) {
	var delays []RunDelay
	add := func(n *Node, p *process) error {
		if p == nil || !p.running() {
			return nil
		}
		waited, err := p.runDelay()
		delays = append(delays, RunDelay{Node: n, PID: p.cmd.Process.Pid, Waited: waited})
		return err
	}
	err := errors.Join(add(nil, d.log), add(nil, d.relay))
	for _, n := range d.Nodes {
		err = errors.Join(err, add(n, n.process))
	}
	return delays, err
}

// ZonePrefix returns the address range of a zone's nodes. It fails if the zone
// isn't in the deployment.
func (d *Deployment) ZonePrefix(zone string) (netip.Prefix, error) { return d.prefix(zone, 0) }

// LogPrefix returns the address range of the log for a zone's nodes. It fails if the
// zone isn't in the deployment.
func (d *Deployment) LogPrefix(zone string) (netip.Prefix, error) {
	return d.prefix(zone, logZoneOffset)
}

func (d *Deployment) prefix(zone string, offset int) (netip.Prefix, error) {
	i := slices.Index(d.Spec.Zones, zone)
	if i < 0 {
		return netip.Prefix{}, fmt.Errorf("zone %q is not in the deployment", zone)
	}
	return netip.ParsePrefix(fmt.Sprintf("127.%d.%d.0/24", d.network, offset+i+1))
}

// Output returns the path of the file with the output of all the node's processes.
func (d *Deployment) Output(n *Node) string { return outputPath(d.Dir, n.Name) }
