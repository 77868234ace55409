package btdeploy

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
)

// Ports on the address of each node.
const (
	callerPort   = 7001
	backendPort  = 7002
	operatorPort = 7003
	peerPort     = 7004
	metricsPort  = 7005
	serverPort   = 7100 // of the first backend server, the next ones follow
	logPort      = 7100
	controlPort  = 7099
	lockPort     = 7000
)

const (
	firstNetwork  = 16 // second byte of the addresses of the first run on a machine
	lastNetwork   = 250
	relayZone     = 100 // added to the zone's byte in addresses of the relay
	seedsPerZone  = 1
	readyTimeout  = 30 * time.Second
	maxZoneNodes  = 250
	logNetwork    = 254
	settingsPerms = 0o600
)

// Service describes the backend servers of one service.
type Service struct {
	Service     string
	Targets     int // nodes that have a backend server of the service
	Slots       int
	Connections int
	Work        time.Duration // mean time of one request
	OpenCost    time.Duration
	ColdStart   time.Duration `json:",omitempty"`
	ColdFactor  float64       `json:",omitempty"`
}

// Spec describes a deployment.
type Spec struct {
	Customer           string
	Zones              []string
	Region             string `json:",omitempty"`
	Services           []Service
	Version            string        // of all backend servers at the start
	Nodes              int           `json:",omitempty"` // nodes beyond one per target are left out; 0 for one per target
	Relay              bool          `json:",omitempty"` // connections between nodes and to the log go through the relay
	BackendsPerProcess int           `json:",omitempty"` // backend-server stand-ins in one process, 0 for 1
	LogRetention       int           `json:",omitempty"` // records kept of each stream, 0 for many
	SnapshotEvery      int           `json:",omitempty"` // records between snapshots, 0 for the default
	Heartbeat          time.Duration `json:",omitempty"` // 0 for the default
}

// Node is one node of a deployment with the backend servers beside it.
type Node struct {
	Name    string
	Zone    string
	Service string // of the backend servers beside it
	IP      string
	zone    int // index of the zone
	settings,
	relayIP string
	process  *process
	backends []*Backend
}

// Caller returns the address for callers.
func (n *Node) Caller() string { return fmt.Sprintf("%s:%d", n.IP, callerPort) }

// Operator returns the address for operators.
func (n *Node) Operator() string { return fmt.Sprintf("%s:%d", n.IP, operatorPort) }

// Ready returns the URL of the readiness endpoint.
func (n *Node) Ready() string { return fmt.Sprintf("http://%s:%d/ready", n.IP, metricsPort) }

// Running tells whether the node's process has not ended.
func (n *Node) Running() bool { return n.process != nil && n.process.running() }

// Backend is one backend-server stand-in.
type Backend struct {
	Spec    btbackendstandin.Spec
	Node    *Node
	process *process // shared where several stand in one process
}

// Deployment is a set of running processes.
type Deployment struct {
	Spec     Spec
	Dir      string // outputs and settings of the processes
	Nodes    []*Node
	seed     uint64
	bin      string
	network  int
	lock     net.Listener
	starter  *starter
	stopper  func()
	mu       sync.Mutex
	backends []*Backend
	log      *process
	relay    *process
}

// Start runs a deployment and returns a function that ends all its processes
// and removes its folder. The programs are taken from the folder bin.
func Start(spec Spec, bin string, seed uint64) (*Deployment, func(), error) {
	dir, err := os.MkdirTemp("", "baobabtide-")
	if err != nil {
		return nil, nil, fmt.Errorf("make folder: %w", err)
	}
	d := &Deployment{Spec: spec, Dir: dir, seed: seed, bin: bin}
	d.starter, d.stopper = newStarter()
	stop := sync.OnceFunc(d.stop)
	if err := d.start(); err != nil {
		stop()
		return nil, nil, err
	}
	return d, stop, nil
}

func (d *Deployment) start() error {
	if err := d.reserve(); err != nil {
		return err
	}
	d.place()
	if err := d.startLog(); err != nil {
		return err
	}
	if d.Spec.Relay {
		if err := d.startRelay(); err != nil {
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

// reserve takes a loopback network that no other run uses.
func (d *Deployment) reserve() error {
	span := lastNetwork - firstNetwork
	for i := range span {
		network := firstNetwork + (os.Getpid()+i)%span
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, lockPort))
		if err == nil {
			d.network, d.lock = network, lock
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free")
}

// place spreads the targets of each service over the zones.
func (d *Deployment) place() {
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
			n.relayIP = fmt.Sprintf("127.%d.%d.%d", d.network, relayZone+zone+1, inZone[zone])
			n.settings = filepath.Join(d.Dir, n.Name+".json")
			d.Nodes = append(d.Nodes, n)
		}
	}
}

// LogAddress returns the address of the log itself.
func (d *Deployment) LogAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", d.network, logPort)
}

// logFrom returns the address at which a zone reaches the log.
func (d *Deployment) logFrom(zone int) string {
	if !d.Spec.Relay {
		return d.LogAddress()
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", d.network, relayZone+zone+1, logNetwork, logPort)
}

func (n *Node) peer() string { return fmt.Sprintf("%s:%d", n.IP, peerPort) }

func (n *Node) advertised(relay bool) string {
	if relay {
		return fmt.Sprintf("%s:%d", n.relayIP, peerPort)
	}
	return n.peer()
}

func (d *Deployment) startLog() error {
	retention := d.Spec.LogRetention
	if retention == 0 {
		retention = 10_000
	}
	var err error
	d.log, err = d.starter.start(d.Dir, "log", filepath.Join(d.bin, "baobabtide-standin"),
		"log", "--listen", d.LogAddress(), "--retention", fmt.Sprint(retention))
	return err
}

// relayFile is what the relay command of the stand-ins reads.
type relayFile struct {
	Control string
	Links   []btrelay.Link
}

func (d *Deployment) startRelay() error {
	file := relayFile{Control: d.relayControl()}
	for zone := range d.Spec.Zones {
		file.Links = append(file.Links, btrelay.Link{
			Listen: d.logFrom(zone),
			Target: d.LogAddress(),
			From:   fmt.Sprintf("127.%d.%d.%d", d.network, zone+1, logNetwork),
		})
	}
	for _, n := range d.Nodes {
		file.Links = append(file.Links, btrelay.Link{Listen: n.advertised(true), Target: n.peer()})
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

// StartNode starts a node's process, also after it was killed.
func (d *Deployment) StartNode(n *Node) error {
	p, err := d.starter.start(d.Dir, n.Name, filepath.Join(d.bin, "baobabtided"), "run", n.settings)
	if err != nil {
		return err
	}
	n.process = p
	return nil
}

// KillNode ends a node's process at once.
func (d *Deployment) KillNode(n *Node) { n.process.kill() }

// StopNode ends a node's process in a planned way.
func (d *Deployment) StopNode(n *Node) { n.process.stop() }

// AwaitEnd waits until a node's process has ended by itself.
func (n *Node) AwaitEnd(timeout time.Duration) error {
	select {
	case <-n.process.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("node %s has not ended after %s", n.Name, timeout)
	}
}

// PauseNode stops a node's process until ResumeNode.
func (d *Deployment) PauseNode(n *Node) { n.process.signal(syscall.SIGSTOP) }

// ResumeNode lets a paused node's process go on.
func (d *Deployment) ResumeNode(n *Node) { n.process.signal(syscall.SIGCONT) }

// stop ends all processes and removes the folder.
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
	d.stopper()
	if d.lock != nil {
		_ = d.lock.Close()
	}
	if os.Getenv("BAOBABTIDE_KEEP") == "" {
		_ = os.RemoveAll(d.Dir)
	}
}

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

// ZonePrefix returns the addresses of a zone's nodes.
func (d *Deployment) ZonePrefix(zone string) (netip.Prefix, error) {
	for i, name := range d.Spec.Zones {
		if name == zone {
			return netip.ParsePrefix(fmt.Sprintf("127.%d.%d.0/24", d.network, i+1))
		}
	}
	return netip.Prefix{}, fmt.Errorf("zone %q is not in the deployment", zone)
}

// LogIP returns the address of the log.
func (d *Deployment) LogIP() netip.Addr { return netip.AddrFrom4([4]byte{127, byte(d.network), 0, 1}) }
