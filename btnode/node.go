// Package btnode assembles a node: it connects the packages that make decisions
// with those that do I/O.
//
// A fixed pool of workers handles incoming gossip messages. Background calls have
// goroutines of their own, because a slow one must not delay gossip. The shared tables
// each have their own lock. Lock order: members before edges before rollouts. The
// configuration store and the registry lock internally and call no other component while
// they hold their lock.
package btnode

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btclock"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btdispatch"
	"github.com/baobabtide/baobabtide/btfollow"
	"github.com/baobabtide/baobabtide/btlocal"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btquarantine"
	"github.com/baobabtide/baobabtide/btroute"
	"github.com/baobabtide/baobabtide/btsettings"
	"github.com/baobabtide/baobabtide/bttls"
)

const (
	workerCount   = 64
	rebuildPeriod = 25 * time.Millisecond // minimum time between builds of the route table
)

// Node is the process beside a backend server. It routes requests, admits them to
// the backend server and exchanges membership and configuration with other nodes.
type Node struct {
	settings    *btsettings.Settings                // as read at the start
	reloaded    atomic.Pointer[btsettings.Settings] // as read last; of these only Backend and the grace time are in force before the next start
	log         zerolog.Logger
	locality    btroute.Locality
	incarnation uint64
	started     time.Time

	decisions *btlog.DecisionLog

	workers  *ants.Pool
	adapters Adapters
	peers    *btpeer.Client
	server   *btpeer.Server // of the other nodes' calls, set by Run
	bytes    btpeer.ByteCounter
	metrics  *metrics.Set
	registry btbackend.Registry
	local    *btlocal.Admitter
	dispatch *btdispatch.Dispatcher
	tls      *bttls.Loader    // nil for plaintext
	callers  *btcaller.Server // set by Run

	clientBudget *btbudget.Budget // for the memory that callers hold
	refusals     clientRefusals
	unanswered   atomic.Int64 // requests whose caller got no complete response, but for callerClosed
	panics       atomic.Int64 // caught panics
	callerClosed atomic.Int64 // requests whose caller closed its connection before the response was complete

	finishCallers func() // refuses new requests of callers and waits for those in flight, set by Run
	stopAnnounce  func() // stops the server of the backend servers' announcements, set by Run

	config     btconfig.Store
	routes     atomic.Pointer[btroute.Table]
	inForceAt  atomic.Int64 // when the configuration in force last changed, Unix time in microseconds
	pulls      pulls
	lastRepair btclock.Instant // last exchange of digests that this node started
	dirty      chan struct{}   // signals rebuildLoop that the route table is out of date
	catchUp    catchUp
	changed    broadcast // signaled when a configuration comes into force
	restored   broadcast // signaled when the log has been restored from an older copy

	members            members
	seeds              *btmember.Seeds // used by tick and tickLoop only
	directoryAddresses chan []string   // addresses from the directory, for tickLoop
	edges              edges
	rollouts           rollouts
	accounts           *accounts
	quarantine         btquarantine.Table
	unstored           unstored

	resolving       atomic.Int64  // calls to key partners in progress that report the end of an attempt
	recordsRejected atomic.Int64  // of the configuration, since the start of the process
	epoch           atomic.Uint32 // of the log, the latest that this node has known
	restores        atomic.Int64  // of the log from an older copy, as far as this node has seen

	linesDropped atomic.Int64 // lines that the decision log dropped, updated by summaryLoop
	outcomesRead atomic.Bool  // the outcome log has been read at least once, or the platform has none

	logUp          atomic.Bool // the log responded to the last read
	reader         atomic.Bool // this node reads the log for its zone
	cutOff         atomic.Bool // from most other nodes, as of the last tick
	draining       atomic.Bool // a planned stop has begun
	refusing       atomic.Bool // new requests are refused, later in a planned stop
	logBehind      atomic.Bool // the log ends before the configuration in force
	follower       btfollow.Follower
	progress       logProgress
	duty           readDuty
	snapshotOffset atomicOffset  // offset of the newest snapshot that this node knows of
	stopBy         time.Time     // end of the drain terms of the planned stop, set before drained is closed
	drained        chan struct{} // closed once no request is left or the drain terms have ended
	stopOnce       sync.Once

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// members is the membership table with its lock.
type members struct {
	mu    sync.Mutex
	table *btmember.Table
}

// New returns a node that uses the product's own platform log, and a function
// that releases its resources. The node is idle until Run. New fails if the TLS
// files can't be loaded or the workers can't be started.
func New(settings *btsettings.Settings, log zerolog.Logger) (*Node, func(), error) {
	adapters, closeAdapters := defaultAdapters(settings)
	n, free, err := NewWithAdapters(settings, log, adapters)
	if err != nil {
		closeAdapters()
		return nil, nil, err
	}
	return n, func() {
		free()
		closeAdapters()
	}, nil
}

// NewWithAdapters is New for a platform that is accessed through adapters. The caller
// closes the adapters after the returned function has run.
func NewWithAdapters(settings *btsettings.Settings, log zerolog.Logger, adapters Adapters) (*Node, func(), error) {
	loader, err := bttls.NewLoader(settings.TLS)
	if err != nil {
		return nil, nil, err
	}
	workers, err := ants.NewPool(workerCount)
	if err != nil {
		return nil, nil, fmt.Errorf("start workers: %w", err)
	}
	now := time.Now()
	n := &Node{
		settings:           settings,
		adapters:           adapters,
		log:                log.With().Str("node", settings.Node.Name).Logger(),
		locality:           btroute.Locality{Node: settings.Node.Name, Zone: settings.Node.Zone, Region: settings.Node.Region},
		incarnation:        uint64(now.UnixMilli()),
		started:            now,
		workers:            workers,
		tls:                loader,
		dirty:              make(chan struct{}, 1),
		drained:            make(chan struct{}),
		unstored:           unstored{changed: make(chan struct{}, 1)},
		directoryAddresses: make(chan []string),
		metrics:            metrics.NewSet(),
	}
	n.registry.Began = now
	n.follower.Store = &n.config
	n.reloaded.Store(settings)
	n.clientBudget = n.newClientBudget()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	closePeers := n.createPeerClient()
	local, closeLocal := btlocal.New(keyPartner{n})
	local.Names = adapters.BackendNames
	n.decisions = btlog.NewDecisionLog(n.log)
	local.Log = n.decisions
	local.OnLeaving = n.registry.MarkLeaving
	local.Quarantine, local.Servers = &n.quarantine, n.servers
	local.OnEntry = func(entry btquarantine.Entry) {
		n.unstored.add(&entry)
		n.entryChanged(entry, nil)
	}
	n.local = local
	n.accounts = newAccounts(n.locality, n.incarnation)
	n.rollouts.node = n
	n.rollouts.failing = make(chan struct{}, 1)
	n.seeds = btmember.NewSeeds(settings.Peer.Seeds, now, n.jitterFraction())
	n.members.table = n.newTable(now)
	n.dispatch = &btdispatch.Dispatcher{
		Node:        n.locality.Node,
		Incarnation: n.incarnation,
		Table:       n.routes.Load,
		Peers:       n.peers,
		Local:       local,
		Quarantine:  &n.quarantine,
		OnEntry:     local.OnEntry,
		Accounts:    n.accounts,
		Observer:    &n.rollouts,
		Recorder:    &requestMetrics{set: n.metrics},
		Log:         n.decisions,
		CallFailed:  local.RecordFailedCall,
		Placement:   placement(settings, &adapters),
	}
	n.addGauges()
	n.addClientGauges()
	free := func() {
		n.cancel()
		closePeers()
		closeLocal()
		workers.Release()
	}
	return n, free, nil
}

// createPeerClient sets the client for calls to other nodes and returns a
// function that closes its connections.
func (n *Node) createPeerClient() func() {
	var config *tls.Config
	if n.tls != nil {
		config = n.tls.Client()
	}
	peers, closePeers := btpeer.NewClient(config, &n.bytes, n.settings.Peer.SourceIP(), n.settings.Peer.SilenceLimit)
	peers.Unresponsive = n.recordUnresponsive
	peers.Pacer = btpeer.NewPacer(n.settings.Peer.LinkMegabits)
	n.peers = peers
	return closePeers
}

// Process implements btpeer.Node. It returns the incarnation, which is the start
// time of the process in Unix milliseconds.
func (n *Node) Process() uint64 { return n.incarnation }

// newTable returns the membership table with only this node in it.
func (n *Node) newTable(now time.Time) *btmember.Table {
	table := btmember.New(n.self(), n.timing(), rand.New(rand.NewPCG(n.incarnation, uint64(now.Nanosecond()))))
	if n.settings.Peer.HasNarrowLink() {
		table.PreferZone()
	}
	return table
}

// self returns the first membership record of this process.
func (n *Node) self() baobabtide.Member {
	return baobabtide.Member{
		Name:        n.settings.Node.Name,
		Zone:        n.settings.Node.Zone,
		Region:      n.settings.Node.Region,
		PeerAddress: n.settings.Peer.Address(),
		Incarnation: n.incarnation,
		Process:     n.incarnation,
		Sequence:    1,
	}
}

// timing returns the default timing of failure detection with the values of the
// settings.
func (n *Node) timing() btmember.Timing {
	t := btmember.DefaultTiming()
	t.Tick = tickPeriod
	t.Heartbeat = n.settings.Peer.Heartbeat
	t.SilenceLimit = n.settings.Peer.SilenceLimit
	return t
}
