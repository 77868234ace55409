package btpeer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/baobabtide/baobabtide/btclock"
)

const (
	openTimeout   = 150 * time.Millisecond // to open a stream including the connection; zones are 3 ms apart and regions 24 ms
	probePeriod   = 100 * time.Millisecond // between checks of a connection with requests in flight
	probeIdleTime = 200 * time.Millisecond // without a message before the node is pinged
	probeTimeout  = 300 * time.Millisecond // to respond to a ping; a node may get no processor time for 100 ms
	lateWatch     = 2 * time.Second        // for data to arrive on a connection after it was given up
)

// UnresponsiveConn describes a shared connection that was given up and the evidence for
// that.
type UnresponsiveConn struct {
	Address    string
	Silence    time.Duration // since data last arrived
	Requests   int           // in flight when the connection was given up
	HeardLater bool          // data arrived within lateWatch: the node was alive
}

// errUnresponsive is the cause with which a request is canceled if its node does not
// respond to a ping or if its stream can't be opened within openTimeout.
var errUnresponsive = errors.New("the node does not answer on this connection")

// sharedConn is the shared connection to one node with its requests in flight. While
// there are any, an idle connection is probed, because a connection can stop carrying
// data for good without an error.
type sharedConn struct {
	address   string
	conn      *grpc.ClientConn
	lastRead  btclock.Instant // last arrival of data
	lastHeard btclock.Instant // last message or response to a ping

	mu       sync.Mutex
	inflight map[*inflightRequest]struct{}
	probing  bool // the goroutine of probe is running
	failed   bool // the node did not respond to a ping
}

// inflightRequest is one request in flight on a shared connection.
type inflightRequest struct {
	cancel context.CancelCauseFunc
}

// newSharedConn returns the state of a connection whose conn the caller sets.
func newSharedConn(address string) *sharedConn {
	return &sharedConn{address: address, inflight: make(map[*inflightRequest]struct{})}
}

// recordMessage records that the node sent a message now.
func (s *sharedConn) recordMessage() { s.lastHeard.Set(time.Now()) }

// track adds a request in flight and returns a function that removes it. The request
// is canceled with errUnresponsive when the connection fails, at once if it has failed
// already. onUnresponsive is called with a report when the connection fails, but only if
// this call of track starts the probe.
func (s *sharedConn) track(cancel context.CancelCauseFunc, onUnresponsive func(UnresponsiveConn)) func() {
	r := &inflightRequest{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		cancel(errUnresponsive)
		return func() {}
	}
	s.inflight[r] = struct{}{}
	if !s.probing {
		s.probing = true
		s.recordMessage()
		go s.probe(onUnresponsive)
	}
	return func() {
		s.mu.Lock()
		delete(s.inflight, r)
		s.mu.Unlock()
	}
}

// probe pings the node whenever the connection has been idle for probeIdleTime. It
// returns when no request is in flight. If the node does not respond to a ping, it
// cancels all requests and calls onUnresponsive.
func (s *sharedConn) probe(onUnresponsive func(UnresponsiveConn)) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		if len(s.inflight) == 0 || s.failed {
			s.probing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if idle, _ := s.lastHeard.Since(time.Now()); idle < probeIdleTime {
			continue
		}
		if s.ping() {
			s.recordMessage()
			continue
		}
		onUnresponsive(s.fail())
		return
	}
}

// ping returns false only if the node does not respond within probeTimeout. Any earlier
// error is one of the connection, which the requests on it receive themselves.
func (s *sharedConn) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := call[PingRequest, PingResponse](ctx, s.conn, pingMethod, &PingRequest{})
	return err == nil || ctx.Err() == nil
}

// fail marks the connection as failed, cancels all its requests with errUnresponsive and
// returns a report.
func (s *sharedConn) fail() UnresponsiveConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	silence, _ := s.lastRead.Since(time.Now())
	report := UnresponsiveConn{Address: s.address, Silence: silence, Requests: len(s.inflight)}
	for r := range s.inflight {
		r.cancel(errUnresponsive)
	}
	clear(s.inflight)
	return report
}
