package btpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide/btclock"
)

const (
	stopCheckPeriod = 20 * time.Millisecond // between checks whether the connections that are left still matter
	aliveTime       = 2 * time.Second       // after data arrived on a connection; a full link delays a request by a second
)

// Undelivered returns the number of forwarded requests that are running or whose
// response the forwarding node has not received completely.
func (s *Server) Undelivered() int { return int(s.undelivered.Load()) }

// deliverForward serves one forwarded request and returns when the forwarding node has
// received the response. That node ends the call then; gRPC itself counts a call as
// finished while its response still waits for a slow link.
func (s *Server) deliverForward(stream *Stream[RequestFrame, ResponseFrame]) error {
	s.undelivered.Add(1)
	defer s.undelivered.Add(-1)
	if err := s.forward(stream); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Stop stops the server. It announces the stop to the clients and waits until they have
// received the responses to all calls that they sent before they learned of it. After
// stopTimeout it waits only until ctx ends, and not at all for connections without a
// forwarded request on which no data has arrived for aliveTime.
func (s *Server) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	began := time.Now()
	ticker := time.NewTicker(stopCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			needless := s.Undelivered() == 0 && !s.conns.alive(now)
			if now.Sub(began) >= stopTimeout && (needless || ctx.Err() != nil) {
				s.grpc.Stop()
				return
			}
		}
	}
}

// serverConns is the set of open connections of a server.
type serverConns struct {
	mu  sync.Mutex
	set map[*serverConn]struct{}
}

// alive reports whether data has arrived on an open connection within aliveTime.
func (s *serverConns) alive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.set {
		if silence, ok := c.lastRead.Since(now); ok && silence < aliveTime {
			return true
		}
	}
	return false
}

// serverConn is a connection that another node has opened.
type serverConn struct {
	monitoredConn
	conns *serverConns
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.set, c)
	c.conns.mu.Unlock()
	return c.monitoredConn.Close()
}

// serverListener adds the connections that it accepts to conns.
type serverListener struct {
	net.Listener
	conns *serverConns
}

// Accept implements net.Listener.
func (l serverListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{monitoredConn: monitoredConn{Conn: conn, lastRead: new(btclock.Instant)}, conns: l.conns}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.set == nil {
		l.conns.set = make(map[*serverConn]struct{})
	}
	l.conns.set[c] = struct{}{}
	return c, nil
}
