// Package btbackendstandin implements a stand-in for a backend server, with slots,
// cold starts, load reports that may be false, configurable faults and a record
// of the requests that it ran.
package btbackendstandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	announcePeriod = time.Second
	announceLease  = 4 * time.Second
	maxRuns        = 1 << 20 // runs recorded in each list
	stopTimeout    = 500 * time.Millisecond
)

// Spec describes one backend server.
type Spec struct {
	Name         string
	Service      string
	Version      string
	Listen       string        // host:port
	Announce     string        // host:port of the node's announcement interface
	Slots        int           // concurrent requests
	Connections  int           // open connections
	Work         time.Duration // mean run time of a request
	OpenCost     time.Duration // delay of accepting a connection
	ColdStart    time.Duration // time after the start in which run times are multiplied by ColdFactor
	ColdFactor   float64       // factor on run times, 0 for none
	Seed         uint64
	Behavior     Behavior
	StartingTime time.Duration // time after the start until the server is ready
}

// Behavior configures the faults of a backend server.
type Behavior struct {
	Routes        []string      `json:",omitempty"` // path prefixes that the faults apply to, empty for all
	FailRate      float64       // share of requests that get a response with status 500
	TruncateRate  float64       // share of responses that are truncated
	Slow          time.Duration // added to the run time
	AfterRequests int           // number of requests before the faults begin
	AboveInFlight int           // the faults apply only to requests beyond this number in flight
	WhileCold     bool          // the faults apply only during the cold start
	LieLoad       float64       // factor on the reported number of requests in flight, 0 for the true number
	LieHealthy    bool          // the health endpoint always reports a healthy server
	Unhealthy     bool          // the health endpoint reports an unhealthy server
	Frozen        bool          // requests are accepted and run until they are canceled or reach their deadline
	Endless       string        `json:",omitempty"` // kind in btfixture.EndlessResponses, sent in place of the response until the node closes the connection
	EndlessPause  time.Duration `json:",omitzero"`  // between the units of endless input, 0 to send as fast as possible
	RateLimit     float64       `json:",omitempty"` // requests per second that each response names as the limit, 0 for none
	Leaving       bool          `json:",omitempty"` // each response says that the server is about to stop
	CrashRoutes   []string      `json:",omitempty"` // path prefixes of requests that crash the server once they run
	CrashAfter    time.Duration `json:",omitzero"`  // from the start of such a run to the crash
	RestartAfter  time.Duration `json:",omitzero"`  // from a crash until the server is back
}

// Run is the record of one run of a request.
type Run struct {
	Key      string // idempotency key
	Caller   string // value of HeaderCaller
	Attempt  string // ID of the node's attempt
	Path     string
	Canceled bool // the node closed the connection or the deadline passed before the end
}

// Server is a backend-server stand-in. All methods are safe for concurrent use.
type Server struct {
	spec    Spec
	http    *fasthttp.Server
	watcher *btconn.Watcher
	stop    chan struct{}

	mu          sync.Mutex
	incarnation uint64
	started     time.Time // of the incarnation
	generation  int       // number of crashes so far
	down        bool      // between a crash and the restart
	listener    *crashListener
	notices     noticeMonitor
	crashRuns   []CrashRun

	rng      *rand.Rand
	behavior Behavior
	inFlight int // of the incarnation
	requests int
	canceled int   // requests that were canceled or reached their deadline
	shed     int   // requests refused because all slots were in use
	runs     []Run // of requests other than GET and HEAD
	reads    []Run // of the others
	draining bool
}

// Start starts a server, which serves requests and announces itself until the returned
// function is called. It fails if the server can't listen on spec.Listen.
func Start(spec Spec) (*Server, func(), error) {
	listener, err := net.Listen("tcp", spec.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for backend server %q: %w", spec.Name, err)
	}
	watcher, stopWatcher := btconn.NewWatcher()
	s := &Server{
		spec:        spec,
		incarnation: uint64(time.Now().UnixMicro()),
		started:     time.Now(),
		watcher:     watcher,
		stop:        make(chan struct{}),
		rng:         rand.New(rand.NewPCG(spec.Seed, spec.Seed+1)),
		behavior:    spec.Behavior,
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Logger:             btconn.QuietLogger{},
		MaxRequestBodySize: 256 << 20,
		StreamRequestBody:  true,
		Concurrency:        max(1, spec.Connections+16),
	}
	s.listener = s.newListener(listener)
	s.notices.setLimit(spec.Behavior.RateLimit, s.started)
	go func(l net.Listener) { _ = s.http.Serve(l) }(s.listener)
	go s.announceLoop()
	return s, sync.OnceFunc(func() {
		close(s.stop)
		s.announce(true)
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.http.ShutdownWithContext(ctx)
		stopWatcher()
	}), nil
}

// announceLoop announces the server every announcePeriod until it stops.
func (s *Server) announceLoop() {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		s.announce(false)
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// announce sends the server's state, or its departure if gone is true, to the node
// beside it.
func (s *Server) announce(gone bool) {
	s.mu.Lock()
	incarnation, down := s.incarnation, s.down
	s.mu.Unlock()
	if down && !gone {
		return
	}
	a := &btbackend.Announcement{
		Name:        s.spec.Name,
		Service:     s.spec.Service,
		Version:     s.spec.Version,
		Address:     s.spec.Listen,
		State:       s.state(),
		Slots:       s.spec.Slots,
		Connections: s.spec.Connections,
		Incarnation: incarnation,
		Lease:       announceLease,
		Gone:        gone,
	}
	_ = btbackend.Announce(s.spec.Announce, a) // repeated each period; after a failed departure the lease expires
}

func (s *Server) state() baobabtide.TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return baobabtide.TargetDraining
	case time.Since(s.started) < s.spec.StartingTime:
		return baobabtide.TargetStarting
	default:
		return baobabtide.TargetReady
	}
}

// Drain announces the server as draining. It goes on serving requests.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce(false)
}

// SetBehavior replaces the server's faults.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
	s.notices.setLimit(b.RateLimit, time.Now())
}

// Report holds the request counts of a backend server and the runs it recorded.
type Report struct {
	Name     string
	Service  string
	Version  string
	Requests int // requests that got a slot
	Canceled int // requests that were canceled or reached their deadline
	Shed     int // requests refused because all slots were in use
	InFlight int
	Runs     []Run // of requests other than GET and HEAD
	Reads    []Run // of the others

	OverLimit    int        `json:",omitempty"` // largest number of arrivals in 4 s beyond those that the rate limit tolerates
	AfterLeaving int        `json:",omitempty"` // arrivals from nodes that knew for 2 s that the server leaves
	CrashRuns    []CrashRun `json:",omitempty"`
}

// Report returns the server's current report.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{
		Name:     s.spec.Name,
		Service:  s.spec.Service,
		Version:  s.spec.Version,
		Requests: s.requests,
		Canceled: s.canceled,
		Shed:     s.shed,
		InFlight: s.inFlight,
		Runs:     append([]Run(nil), s.runs...),
		Reads:    append([]Run(nil), s.reads...),

		OverLimit:    s.notices.overLimit,
		AfterLeaving: s.notices.afterLeaving,
		CrashRuns:    append([]CrashRun(nil), s.crashRuns...),
	}
}
