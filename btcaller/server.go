// Package btcaller serves the requests of callers over HTTP/1.1.
//
// Each connection has a goroutine that reads its requests and one that writes
// the responses in the order of the requests. fasthttp parses requests and formats
// responses; the package manages the connections itself, because fasthttp's server
// neither runs pipelined requests concurrently nor detects that a caller has
// disconnected.
package btcaller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btpanic"
)

const (
	maxBufferedBody     = 64 << 10       // bytes of a request body that is kept in memory for retries
	maxBufferedResponse = 4 << 20        // bytes of a response that is read completely before it is sent
	maxKeyLength        = 256            // bytes
	maxTimeout          = 24 * time.Hour // of a request, and its default

	drainTimeout         = 30 * time.Second       // wait for running requests when the server stops
	writeTimeout         = 30 * time.Second       // for the caller to accept writePart bytes
	writePart            = 16 << 10               // bytes, the least that a caller accepts within writeTimeout
	lingerTimeout        = 500 * time.Millisecond // for the caller to read the last response before the connection is closed
	refusedConnections   = 64                     // beyond the limit, that are closed with a refusal of the first request
	overloadRetryAfter   = time.Second            // for connections beyond the limit
	closeTimeout         = 200 * time.Millisecond // for callers to close their connections after the stop
	minRestartTime       = 500 * time.Millisecond // the least Retry-After of a server that stops
	workerIdleTime       = 10 * time.Second       // after which an unused worker ends
	acceptRetryDelay     = 10 * time.Millisecond  // after a temporary accept error, such as exhausted file descriptors
	pipelineDepth        = 16                     // requests of one connection that await their responses
	readBuffer           = 4 << 10                // bytes, the least per connection
	writeBuffer          = 4 << 10                // bytes per connection
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second // for reading one request, of a streamed body for each read
)

// RefusalTimeout is the time for canceled requests to be answered at the end of a stop.
const RefusalTimeout = 100 * time.Millisecond

// Limits holds the limits on connections and requests of callers.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	Connections     int    // open connections, further ones are refused
	DefaultCustomer string // for requests without a customer header, empty for none

	// Budget bounds the memory that callers hold, nil for no bound. While it is short, callers
	// that hold much without progress are refused.
	Budget *btbudget.Budget
	// Strict refuses requests with more than maxFields header fields and bodies that arrive at
	// less than minBodyRate, also while the budget is not short.
	Strict bool

	// Overrides returns the limits of the configuration in force, or nil. Its
	// non-zero limits override the others. The function may be nil.
	Overrides func() *baobabtide.CallerLimits
}

// Server serves the requests of callers. Its fields must be set before Serve. Its
// methods are safe for concurrent use.
type Server struct {
	Names  HeaderNames
	Origin func() string // returns the service beside the node; may be nil
	// HasRoute reports whether a request has a route. The body of one without a route is not
	// kept. It may be nil.
	HasRoute func(*baobabtide.Request) bool
	// OnRefusal is called for each caller that is refused, or whose connection is closed, because
	// of its behavior or for lack of memory. Calls may be concurrent. It may be nil.
	OnRefusal func(ClientRefusal)
	// OnUnanswered is called for each request that was read and whose caller got no
	// complete response. Calls may be concurrent. It may be nil.
	OnUnanswered func(Unanswered)
	// OnPanic is called for each panic while a request is read or served.
	OnPanic btpanic.Report
	// Closed counts the connections that were closed on arrival.
	Closed atomic.Int64
	// Refused counts the requests that arrived after the stop had begun.
	Refused atomic.Int64

	handler baobabtide.Handler
	limits  Limits
	workers *ants.Pool // without a limit; a worker keeps its stack between requests, nil if it could not be created

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listener  net.Listener
	running   int           // requests that were admitted and have no response yet
	finishBy  time.Time     // latest end of the stop, zero before it has begun
	admitEnd  time.Time     // latest deadline of requests that are admitted, zero for any
	idle      chan struct{} // closed when the stop has begun and no request is running
	closed    bool
	streams   chan struct{} // holds a value for each streamed body that is read under Limits.Strict
	pipelined chan struct{} // holds a value for each pipelined request that runs under Limits.Strict
	waiting   atomic.Int64  // requests that wait for room in streams
	shortage  chan struct{} // receives a value when the budget is short
	ended     chan struct{} // closed by Close
	end       func()        // closes ended
	draining  atomic.Bool   // connections are closed after their last pending response
	closing   atomic.Bool   // connections are closed as soon as they are idle
	connGroup sync.WaitGroup
}

// NewServer returns a server and a function that stops it. The function waits for
// running requests, for drainTimeout at most.
func NewServer(handler baobabtide.Handler, limits Limits) (*Server, func()) {
	s := &Server{
		Names: DefaultNames(), handler: handler, limits: limits,
		conns: make(map[*conn]struct{}), idle: make(chan struct{}),
		streams: make(chan struct{}, places(limits.Budget)), pipelined: make(chan struct{}, minPlaces), shortage: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	s.end = sync.OnceFunc(func() { close(s.ended) })
	s.workers, _ = ants.NewPool(-1, ants.WithExpiryDuration(workerIdleTime)) // fails only for invalid options
	return s, sync.OnceFunc(func() { s.Stop(drainTimeout) })
}

// start runs f in the background.
func (s *Server) start(f func()) {
	if s.workers == nil || s.workers.Submit(f) != nil {
		go f()
	}
}

// StartDraining starts draining: from now on a connection is closed after its last
// pending response, so that few are open when the server stops.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Serve accepts connections until the server is stopped, and then returns nil. It
// returns an error if accepting fails for good. A nil config means plaintext.
func (s *Server) Serve(l net.Listener, config *tls.Config) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.limits.Budget.Limited() {
		go s.shedLoop()
	}
	for {
		socket, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return fmt.Errorf("serve callers on %s: %w", l.Addr(), err)
		}
		if config != nil {
			socket = tls.Server(socket, config)
		}
		s.startConn(socket)
	}
}

// startConn serves a connection in the background. On a connection beyond the limit it
// refuses the first request. It closes the connection if the server is closed, or has too
// many of those.
func (s *Server) startConn(socket net.Conn) {
	c := newConn(s, socket)
	if !c.open() {
		s.Closed.Add(1)
		_ = socket.Close()
		return
	}
	s.mu.Lock()
	c.refused = len(s.conns) >= s.limits.Connections
	if s.closed || len(s.conns) >= s.limits.Connections+refusedConnections {
		s.mu.Unlock()
		s.Closed.Add(1)
		_ = socket.Close()
		c.release(btbudget.Connection, c.cost)
		return
	}
	if len(s.conns) >= s.limits.Connections*crowdedNum/crowdedDen && s.limits.Strict {
		s.signalShortage()
	}
	s.conns[c] = struct{}{}
	s.connGroup.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.connGroup.Done()
		c.serve()
		c.release(btbudget.Connection, c.cost)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Close closes the listener and the connections. Those on which a response is on its way
// are closed after closeTimeout at the latest.
func (s *Server) Close() {
	s.end()
	s.closing.Store(true) // before the loop over the connections: one that becomes idle after its turn closes itself
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		s.connGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
		for _, c := range s.openConns() {
			c.cancel(errStopped)
			_ = c.socket.Close()
		}
	}
	if s.workers != nil {
		s.workers.Release()
	}
}

// CloseIdle closes the idle connections: those without a pending or partly read
// request.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIfIdle()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Causes with which the context of a connection is canceled, besides
// btconn.ErrCallerClosed.
var (
	errStopped    = errors.New("the node has stopped")
	errConnClosed = errors.New("the node has closed the connection")
)

// bounds holds the limits in force for one request.
type bounds struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// bounds returns the limits of the server, overridden by the non-zero ones of the
// configuration in force.
func (s *Server) bounds() bounds {
	b := bounds{headerBytes: s.limits.HeaderBytes, bodyBytes: s.limits.BodyBytes, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	if s.limits.Overrides == nil {
		return b
	}
	limits := s.limits.Overrides()
	if limits == nil {
		return b
	}
	if limits.HeaderBytes > 0 {
		b.headerBytes = limits.HeaderBytes
	}
	if limits.BodyBytes > 0 {
		b.bodyBytes = limits.BodyBytes
	}
	if limits.HeaderTimeout > 0 {
		b.headerTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		b.idleTimeout = limits.IdleTimeout
	}
	return b
}

// malformed returns the refusal of a request that can't be parsed or is too
// large.
func malformed(err error) *baobabtide.RequestError {
	refusal := baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, err)
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		refusal.Reason = baobabtide.ReasonTooLarge
	}
	return refusal
}

// run runs the request of an exchange and sets its response.
func (s *Server) run(ctx context.Context, ex *exchange) {
	defer close(ex.done)
	err := btpanic.Catch("serve request", s.OnPanic, func() { s.serve(ctx, ex) })
	if err != nil {
		if ex.stream != nil && !ex.stream.detach() { // another goroutine may still read the body
			ex.closeAfter.Store(true)
		}
		ex.conn.closeSoon()
		ex.refuse(&baobabtide.RequestError{Verdict: baobabtide.MayHaveRun, Reason: baobabtide.ReasonInternal})
	}
}

// serve passes a request to the handler and sets the response.
func (s *Server) serve(ctx context.Context, ex *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := s.handler.Serve(ctx, ex.req)
	if ex.stream != nil && !ex.stream.detach() {
		ex.closeAfter.Store(true)
	}
	if err != nil {
		refusal := baobabtide.AsRequestError(err)
		if ex.pipelined && refusal.Verdict == baobabtide.NotRun && refusal.RetryAfter > 0 {
			ex.conn.closeSoon() // further requests would be refused as well
		}
		ex.refuse(refusal)
		cancel()
		return
	}
	ex.respond(resp, cancel)
}
