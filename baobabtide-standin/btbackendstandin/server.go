// Package btbackendstandin is a small stand-in for a backend server: slots,
// cold starts, load reports that can lie, faults on demand, and a record of
// each run.
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
	maxRuns        = 1 << 20
	stopTimeout    = 500 * time.Millisecond
)

// Spec describes one backend server.
type Spec struct {
	Name         string
	Service      string
	Version      string
	Listen       string        // host:port
	Announce     string        // host:port of the node beside it
	Slots        int           // requests at once
	Connections  int           // open connections
	Work         time.Duration // mean time of one request
	OpenCost     time.Duration // time that a new connection takes
	ColdStart    time.Duration // time in which requests take ColdFactor as long
	ColdFactor   float64
	Seed         uint64
	Behavior     Behavior
	StartingTime time.Duration // time after the start at which it is ready
}

// Behavior is what a test makes a backend server do wrong.
type Behavior struct {
	Routes        []string      `json:",omitempty"` // path prefixes that are concerned, empty for all
	FailRate      float64       // share of requests answered with 500
	TruncateRate  float64       // share of answers that break off
	Slow          time.Duration // added to the work
	AfterRequests int           // the faults begin after so many requests
	AboveInFlight int           // the faults concern requests beyond so many at once
	WhileCold     bool          // the faults end with the cold start
	LieLoad       float64       // factor on what the load endpoint reports, 0 for the truth
	LieHealthy    bool          // the health endpoint always says ok
	Unhealthy     bool          // the health endpoint says that the server is ill
	Frozen        bool          // requests are taken in and not answered
}

// Run is one execution of a non-idempotent request.
type Run struct {
	Key     string
	Caller  string
	Attempt string
	Path    string
}

// Server is one backend server.
type Server struct {
	spec        Spec
	incarnation uint64
	started     time.Time
	http        *fasthttp.Server
	watcher     *btconn.Watcher
	stop        chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	behavior Behavior
	inFlight int
	requests int
	canceled int
	shed     int
	runs     []Run
	draining bool
}

// Start serves on the spec's address and announces the server until the
// function that it returns is called.
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
	go func() { _ = s.http.Serve(&costlyListener{Listener: listener, cost: spec.OpenCost}) }()
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

// costlyListener takes a while to accept each connection.
type costlyListener struct {
	net.Listener
	cost time.Duration
}

// Accept implements net.Listener.
func (l *costlyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.cost > 0 {
		time.Sleep(l.cost)
	}
	return c, err
}

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

func (s *Server) announce(gone bool) {
	a := &btbackend.Announcement{
		Name:        s.spec.Name,
		Service:     s.spec.Service,
		Version:     s.spec.Version,
		Address:     s.spec.Listen,
		State:       s.state(),
		Slots:       s.spec.Slots,
		Connections: s.spec.Connections,
		Incarnation: s.incarnation,
		Lease:       announceLease,
		Gone:        gone,
	}
	_ = btbackend.Announce(s.spec.Announce, a) // repeated with the next tick
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

// Drain announces that the server leaves. Requests that still come are served.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce(false)
}

// SetBehavior replaces the faults.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Report is what a backend server has seen.
type Report struct {
	Name     string
	Service  string
	Version  string
	Requests int
	Canceled int
	Shed     int
	InFlight int
	Runs     []Run
}

// Report returns what the server has seen.
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
	}
}
