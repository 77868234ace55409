package btcaller

import (
	"errors"
	"time"

	"github.com/baobabtide/baobabtide"
)

// AdmitUntil refuses requests whose deadlines are after the end of a stop from now on. They might be
// broken off.
func (s *Server) AdmitUntil(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitEnd = end
}

// Stop finishes the running requests and closes the server.
func (s *Server) Stop(finish time.Duration) {
	s.Finish(finish)
	s.Close()
}

// Finish waits for the requests that are running, and cancels them after the given time.
// It returns RefusalTimeout after that at the latest. It still accepts connections, but refuses requests that are read from now on and closes
// their connections after the response, so that callers learn when to come back.
func (s *Server) Finish(timeout time.Duration) {
	s.StartDraining()
	s.mu.Lock()
	if s.finishBy.IsZero() {
		s.finishBy = time.Now().Add(timeout)
		if s.running == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return
	case <-time.After(timeout):
	}
	for _, c := range s.openConns() {
		c.cancel(errStopped)
	}
	select {
	case <-s.idle:
	case <-time.After(RefusalTimeout):
	}
}

// admit counts a request with a deadline as running. It returns a refusal instead if the connection
// is beyond the limit, or if the stop has begun: then the caller is asked to come back when the
// drain must have ended.
func (s *Server) admit(c *conn, deadline time.Time) *baobabtide.RequestError {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.finishBy.IsZero():
		s.Refused.Add(1)
		return baobabtide.Refuse(baobabtide.ReasonDraining, max(time.Until(s.finishBy), minRestartTime), errors.New("the node stops"))
	case !s.admitEnd.IsZero() && deadline.After(s.admitEnd):
		s.Refused.Add(1)
		return baobabtide.Refuse(baobabtide.ReasonDraining, max(time.Until(s.admitEnd), minRestartTime), errors.New("the node stops before the deadline"))
	case c.refused:
		return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("too many connections"))
	}
	s.running++
	return nil
}

// finished counts an admitted request as no longer running.
func (s *Server) finished(ex *exchange) {
	if !ex.admitted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && !s.finishBy.IsZero() {
		close(s.idle)
	}
}
