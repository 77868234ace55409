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
	reachTimeout  = 150 * time.Millisecond // for the node to respond on a new connection before requests are given up
	pacedSilence  = 500 * time.Millisecond // in place of silenceLimit if bodies are paced: no queue delays data for as long
	silentGrace   = 300 * time.Millisecond // for data to arrive on a suspect connection after the node has responded on a new one
	lateWatch     = 2 * time.Second        // for data to arrive on a connection after it was given up
)

// errUnresponsive is the cause with which a request is canceled if its connection is
// given up or if its stream can't be opened within openTimeout.
var errUnresponsive = errors.New("the node does not answer on this connection")

// UnresponsiveConn describes a shared connection on which requests were given up, and the
// evidence for that.
type UnresponsiveConn struct {
	Address    string
	Silence    time.Duration // since data last arrived
	Requests   int           // that were given up
	Reachable  bool          // the node responded on a new connection in the meantime
	HeardLater bool          // data arrived afterwards, within lateWatch: the node was alive
}

// sharedConn is the shared connection to one node with its requests in flight. While
// there are any, a connection without data is probed, because a connection can stop
// carrying data for good without an error.
//
// A missing response to a ping makes the connection suspect: new requests open another
// one, until data arrives on this one. It does not end the requests in flight, because on
// a full link a ping waits behind other data for longer than any useful timeout. They are
// given up once the node has responded on a new connection while this one stayed silent,
// or when they have waited for the client's limit and nothing has shown that the node is
// alive. Neither is a proof: lost packets can delay one connection for longer than
// silentGrace, and a link can delay all of them for longer than the limit.
type sharedConn struct {
	client   *Client
	address  string
	conn     *grpc.ClientConn
	lastRead btclock.Instant // last arrival of data

	mu           sync.Mutex
	inflight     map[*inflightRequest]struct{}
	waitingSince time.Time        // first request since data last arrived
	probing      bool             // the goroutine of probe is running
	suspect      bool             // no longer shared; closed when its last request ends
	report       UnresponsiveConn // of the requests that were given up
}

// inflightRequest is one request in flight on a shared connection.
type inflightRequest struct {
	cancel context.CancelCauseFunc
	since  time.Time
}

// newSharedConn returns the state of a connection whose conn the caller sets.
func newSharedConn(c *Client, address string) *sharedConn {
	return &sharedConn{client: c, address: address, inflight: make(map[*inflightRequest]struct{})}
}

// track adds a request in flight and returns a function that removes it. The request is
// canceled with errUnresponsive when the connection is given up.
func (s *sharedConn) track(cancel context.CancelCauseFunc) func() {
	r := &inflightRequest{cancel: cancel, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight[r] = struct{}{}
	if s.waitingSince.IsZero() || s.lastRead.After(s.waitingSince) {
		s.waitingSince = r.since
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
		s.awaitData(ticker)
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
	switch {
	case !s.suspect:
	case s.report.Requests > 0:
		go s.closeLate()
	default:
		_ = s.conn.Close()
	}
	return true
}

// silence returns the time since data last arrived, or since the first request after
// that if there was one.
func (s *sharedConn) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	silence := now.Sub(s.waitingSince)
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

// awaitData returns when data arrives on a suspect connection or its last request ends.
// Meanwhile it gives up the requests that have waited for the client's limit, if the node
// has not responded on a new connection either, and all of them silentGrace after it has.
func (s *sharedConn) awaitData(ticker *time.Ticker) {
	suspectAt := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responded := make(chan struct{})
	go func() {
		if s.client.ping(ctx, s.address) == nil {
			close(responded)
		}
	}()
	var grace <-chan time.Time
	graceOver := false
	for {
		select {
		case <-ticker.C:
		case <-responded:
			responded = nil
			grace = time.After(silentGrace)
			continue
		case <-grace:
			graceOver = true
		}
		switch {
		case s.lastRead.After(suspectAt):
			s.client.shareAgain(s)
			s.sendReport(true)
			return
		case s.unused():
			return
		case graceOver:
			s.giveUp(0, true)
		case grace == nil && time.Since(suspectAt) >= reachTimeout:
			s.giveUp(s.client.limit(), false)
		}
	}
}

// unused reports whether no request is in flight.
func (s *sharedConn) unused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inflight) == 0
}

// giveUp cancels with errUnresponsive the requests that have waited for the limit.
func (s *sharedConn) giveUp(limit time.Duration, reachable bool) {
	silence := s.silence()
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.inflight {
		if time.Since(r.since) < limit {
			continue
		}
		r.cancel(errUnresponsive)
		delete(s.inflight, r)
		s.report.Address, s.report.Silence, s.report.Reachable = s.address, silence, reachable
		s.report.Requests++
	}
}

// closeLate closes the connection after lateWatch and reports the requests that were given
// up.
func (s *sharedConn) closeLate() {
	endedAt := time.Now()
	time.Sleep(lateWatch)
	_ = s.conn.Close()
	s.sendReport(s.lastRead.After(endedAt))
}

// sendReport reports the requests that were given up, if there are any, and whether data
// has arrived since.
func (s *sharedConn) sendReport(heardLater bool) {
	s.mu.Lock()
	report := s.report
	s.report = UnresponsiveConn{}
	s.mu.Unlock()
	report.HeardLater = heardLater
	if report.Requests > 0 && s.client.Unresponsive != nil {
		s.client.Unresponsive(report)
	}
}
