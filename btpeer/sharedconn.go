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
	probeIdleTime = 200 * time.Millisecond // without data before the node is pinged
	probeTimeout  = 300 * time.Millisecond // to respond to a ping before the connection is suspect; a node may get no processor time for 100 ms
	silentGrace   = 300 * time.Millisecond // for data to arrive on a suspect connection after the node has responded on a new one
	lateWatch     = 2 * time.Second        // for data to arrive on a connection after it was given up
)

// errUnresponsive is the cause with which a request is canceled if its connection is
// given up or if its stream can't be opened within openTimeout.
var errUnresponsive = errors.New("the node does not answer on this connection")

// UnresponsiveConn describes a shared connection that was given up and the evidence for
// that.
type UnresponsiveConn struct {
	Address    string
	Silence    time.Duration // since data last arrived
	Requests   int           // in flight when the connection was given up
	Reachable  bool          // the node responded on a new connection in the meantime
	HeardLater bool          // data arrived within lateWatch: the node was alive
}

// sharedConn is the shared connection to one node with its requests in flight. While
// there are any, a connection without data is probed, because a connection can stop
// carrying data for good without an error.
//
// A missing response to a ping makes the connection suspect: new requests open another
// one, until data arrives on this one. It does not end the requests in flight, because on
// a full link a ping waits behind other data for longer than any useful timeout. They are
// given up once the node has responded on a new connection while this one stayed silent,
// or when nothing has shown for silenceLimit that the node is alive. Neither is a proof:
// lost packets can delay one connection for longer than silentGrace, and a link can delay
// all of them for longer than silenceLimit.
type sharedConn struct {
	client   *Client
	address  string
	conn     *grpc.ClientConn
	lastRead btclock.Instant // last arrival of data

	mu           sync.Mutex
	inflight     map[*inflightRequest]struct{}
	waitingSince time.Time // first request since data last arrived
	newestSince  time.Time // newest request
	probing      bool      // the goroutine of probe is running
	suspect      bool      // no longer shared; closed when its last request ends
}

// inflightRequest is one request in flight on a shared connection.
type inflightRequest struct {
	cancel context.CancelCauseFunc
}

// newSharedConn returns the state of a connection whose conn the caller sets.
func newSharedConn(c *Client, address string) *sharedConn {
	return &sharedConn{client: c, address: address, inflight: make(map[*inflightRequest]struct{})}
}

// track adds a request in flight and returns a function that removes it. The request is
// canceled with errUnresponsive when the connection is given up.
func (s *sharedConn) track(cancel context.CancelCauseFunc) func() {
	r := &inflightRequest{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight[r] = struct{}{}
	s.newestSince = time.Now()
	if s.waitingSince.IsZero() || s.lastRead.After(s.waitingSince) {
		s.waitingSince = s.newestSince
	}
	if !s.probing {
		s.probing = true
		go s.probe()
	}
	return func() {
		s.mu.Lock()
		delete(s.inflight, r)
		s.mu.Unlock()
	}
}

// probe pings the node whenever no data has arrived for probeIdleTime. It returns when no
// request is in flight, and closes the connection then if it is suspect.
func (s *sharedConn) probe() {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for range ticker.C {
		if s.stopIfIdle() {
			return
		}
		if s.silence() < probeIdleTime || s.ping() {
			continue
		}
		s.stopSharing()
		if reachable, alive := s.awaitData(ticker); !alive {
			s.giveUp(reachable)
			return
		}
	}
}

// stopIfIdle reports whether no request is in flight, and then ends the probe.
func (s *sharedConn) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inflight) > 0 {
		return false
	}
	s.probing = false
	if s.suspect {
		_ = s.conn.Close()
	}
	return true
}

// silence returns the time since data last arrived, or since the first request after
// that if there was one.
func (s *sharedConn) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenceSince(s.waitingSince)
}

// newestSilence returns the time for which the newest request has waited without any
// data. A request must not be given up for the silence that earlier ones met.
func (s *sharedConn) newestSilence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenceSince(s.newestSince)
}

// silenceSince returns the time since data last arrived, but not more than that since t.
func (s *sharedConn) silenceSince(t time.Time) time.Duration {
	now := time.Now()
	silence := now.Sub(t)
	if sinceRead, ok := s.lastRead.Since(now); ok {
		silence = min(silence, sinceRead)
	}
	return silence
}

// ping returns false only if neither a response nor any other data arrives within
// probeTimeout. Any earlier error is one of the connection, which the requests on it
// receive themselves.
func (s *sharedConn) ping() bool {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := call[PingRequest, PingResponse](ctx, s.conn, pingMethod, &PingRequest{})
	return err == nil || ctx.Err() == nil || s.lastRead.After(sent)
}

// stopSharing makes the connection suspect, so that new requests open another one.
func (s *sharedConn) stopSharing() {
	s.client.removeSharedConn(s)
	s.client.Suspects.Add(1)
	s.mu.Lock()
	s.suspect = true
	s.mu.Unlock()
}

// retire makes a connection that is no longer shared close when its last request ends.
func (s *sharedConn) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspect = true
	if !s.probing {
		_ = s.conn.Close()
	}
}

// awaitData waits until data arrives on a suspect connection or its last request ends,
// but not beyond silenceLimit, and not for longer than silentGrace after the node has
// responded on a new connection. It returns whether the node responded there, and whether
// the requests in flight may go on.
func (s *sharedConn) awaitData(ticker *time.Ticker) (bool, bool) {
	suspectAt := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responded := make(chan struct{})
	go func() {
		if s.client.ping(ctx, s.address) == nil {
			close(responded)
		}
	}()
	reachable := false
	var grace <-chan time.Time
	for {
		select {
		case <-ticker.C:
		case <-responded:
			reachable, responded = true, nil
			grace = time.After(silentGrace)
			continue
		case <-grace:
			return reachable, s.lastRead.After(suspectAt)
		}
		switch {
		case s.lastRead.After(suspectAt):
			s.client.shareAgain(s)
			return reachable, true
		case s.unused():
			return reachable, true
		case s.newestSilence() >= s.client.silenceLimit:
			return reachable, false
		}
	}
}

// unused reports whether no request is in flight.
func (s *sharedConn) unused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inflight) == 0
}

// giveUp cancels all requests in flight with errUnresponsive. It closes the connection
// after lateWatch, so that data that arrives late is noticed and reported.
func (s *sharedConn) giveUp(reachable bool) {
	report := UnresponsiveConn{Address: s.address, Silence: s.silence(), Reachable: reachable}
	s.mu.Lock()
	report.Requests = len(s.inflight)
	for r := range s.inflight {
		r.cancel(errUnresponsive)
	}
	clear(s.inflight)
	s.mu.Unlock()
	givenUpAt := time.Now()
	time.Sleep(lateWatch)
	report.HeardLater = s.lastRead.After(givenUpAt)
	_ = s.conn.Close()
	if s.client.Unresponsive != nil {
		s.client.Unresponsive(report)
	}
}
