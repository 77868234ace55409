package btlocal

import (
	"math"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btquarantine"
)

const probePause = 50 * time.Millisecond // between two checks whether a server has ended

// isolate refuses a request that has a slot if crashes forbid that it runs now. A suspect
// request is counted in server.suspects until the run ends.
func (r *run) isolate() *baobabtide.RequestError {
	a := r.admitter
	situation := btquarantine.Situation{Servers: math.MaxInt}
	if a.Quarantine.Standing(r.req.Digest, r.started) == btquarantine.Suspect {
		r.suspect = r.server.suspects.CompareAndSwap(0, 1)
		situation.SuspectRuns = !r.suspect
		if a.Servers != nil {
			situation.Servers = a.Servers(r.req.Service)
		}
	}
	_, refusal := a.Quarantine.Admit(r.req.Digest, r.req.Service, situation, r.started)
	return refusal
}

// recordCrash records that the server has crashed while it ran the request.
func (r *run) recordCrash(now time.Time) {
	a := r.admitter
	entry, changed := a.Quarantine.RecordCrash(r.req, btquarantine.Crash{Server: r.server.name, Incarnation: r.server.incarnation}, now)
	if changed && a.OnEntry != nil {
		a.OnEntry(entry)
	}
}

// clear clears the request of the crashes that happened while it ran: the server has run it
// and responds.
func (r *run) clear(now time.Time) {
	a := r.admitter
	if entry, changed := a.Quarantine.Clear(r.req.Digest, now); changed && a.OnEntry != nil {
		a.OnEntry(entry)
	}
}

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
		a.Log.Server(btlog.TargetCrashed, s.name).Uint64("incarnation", s.incarnation).
			Int("requests", s.queue.Load("", time.Now()).InFlight).Send()
	}
	return s.ending.crashed
}

// expectsRequests reports whether a server is registered and has not announced its end.
func (a *Admitter) expectsRequests(s *server) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servers[s.name] == s && s.announcement.State != baobabtide.TargetDraining
}
