package btlocal

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
)

const probePause = 50 * time.Millisecond // between two checks whether a server has ended

// ending is what a node knows of the end of a backend server. The zero value is a server that
// has not ended.
type ending struct {
	mu       sync.Mutex // held during a check, so that requests that fail together share it
	probedAt time.Time
	crashed  bool
}

// crashed reports whether a server, which has just ended the connection of a request, has
// crashed: it refuses connections and was not about to stop. The end of a connection alone
// proves nothing: responses are lost and connections reset while the server goes on.
func (a *Admitter) crashed(s *server) bool {
	if s.leaving.Load() || !a.expectsRequests(s) {
		return false
	}
	s.ending.mu.Lock()
	defer s.ending.mu.Unlock()
	if s.ending.crashed || time.Since(s.ending.probedAt) < probePause {
		return s.ending.crashed
	}
	s.ending.crashed = s.pool.Ended()
	s.ending.probedAt = time.Now()
	if s.ending.crashed {
		a.Crashes.Add(1)
		a.Log.Server(btlog.TargetCrashed, s.announcement.Name).Uint64("incarnation", s.announcement.Incarnation).
			Int("requests", s.queue.Load("", time.Now()).InFlight).Send()
	}
	return s.ending.crashed
}

// expectsRequests reports whether a server is registered and has not announced its end.
func (a *Admitter) expectsRequests(s *server) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servers[s.announcement.Name] == s && s.announcement.State != baobabtide.TargetDraining
}
