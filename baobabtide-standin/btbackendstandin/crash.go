package btbackendstandin

import (
	"net"
	"strings"
	"sync"
	"time"
)

const listenRetryPeriod = 20 * time.Millisecond // between attempts to listen again after a crash

// CrashRun is a run of a request that crashed the server.
type CrashRun struct {
	Path   string
	Body   uint64 // hash of the body
	Origin string // node that sent the request, with its process
	At     time.Time
}

// crashes reports whether a request for a path crashes the server.
func (b *Behavior) crashes(path string) bool {
	for _, prefix := range b.CrashRoutes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// crash closes the listener and all connections without a response, as the kernel does for a
// process that ends. The server is back after Behavior.RestartAfter, with a new incarnation.
func (s *Server) crash(generation int) {
	s.mu.Lock()
	if s.down || generation != s.generation {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.generation++
	s.inFlight = 0
	restartAfter := s.behavior.RestartAfter
	listener := s.listener
	s.mu.Unlock()
	listener.crash()
	time.AfterFunc(restartAfter, s.restart)
}

// restart listens again under a new incarnation, unless the server has been stopped.
func (s *Server) restart() {
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		listener, err := net.Listen("tcp", s.spec.Listen)
		if err != nil {
			time.Sleep(listenRetryPeriod) // the address is released in the background
			continue
		}
		now := time.Now()
		s.mu.Lock()
		s.down = false
		s.incarnation = uint64(now.UnixMicro())
		s.started = now
		s.draining = false
		s.notices.restart(now)
		s.listener = s.newListener(listener)
		serve := s.listener
		s.mu.Unlock()
		go func() { _ = s.http.Serve(serve) }()
		s.announce(false)
		return
	}
}

// recordCrash records a run that crashes the server.
func (s *Server) recordCrash(path, attempt string, body uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashRuns) < maxRuns {
		s.crashRuns = append(s.crashRuns, CrashRun{Path: path, Body: body, Origin: origin(attempt), At: time.Now()})
	}
}

// crashListener tracks its connections, so that a crash can close them. It delays the
// acceptance of each.
type crashListener struct {
	net.Listener
	delay time.Duration

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	crashed bool
}

// trackedConn is a connection of a crashListener.
type trackedConn struct {
	*net.TCPConn
	listener *crashListener
}

func (s *Server) newListener(l net.Listener) *crashListener {
	return &crashListener{Listener: l, delay: s.spec.OpenCost, conns: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (l *crashListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.delay > 0 {
		time.Sleep(l.delay)
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	tracked := &trackedConn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed {
		_ = tcp.Close()
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// crash closes the listener and all connections. Unread input is not waited for.
func (l *crashListener) crash() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	clear(l.conns)
	l.crashed = true
}
