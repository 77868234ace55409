// Package btlocal lets requests in to the backend servers beside a node. Only
// the node beside a backend server admits work into it.
package btlocal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btclock"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btledger"
	"github.com/baobabtide/baobabtide/btlog"
)

const (
	goneRetry = time.Second
	downTime  = 300 * time.Millisecond // without requests after a server could not be reached; restarts take longer
)

// server is one backend server beside the node.
type server struct {
	announcement btbackend.Announcement
	queue        *btadmit.Queue
	pool         *btbackend.Pool
	closePool    func()
	unreachedAt  btclock.Instant // no connection could be had
}

// unreached notes that no connection to the server could be had.
func (s *server) unreached(now time.Time) { s.unreachedAt.Set(now) }

// down returns how long nothing is sent to the server.
func (s *server) down(now time.Time) time.Duration {
	since, ok := s.unreachedAt.Since(now)
	if !ok {
		return 0
	}
	return downTime - since
}

// Admitter implements baobabtide.Admitter for the backend servers that the
// registry holds.
type Admitter struct {
	Limiter *btadmit.RateLimiter
	Partner baobabtide.KeyPartner
	Names   btbackend.HeaderNames
	Log     *btlog.Decisions

	ledger     btledger.Ledger
	calls      btadmit.CallDetector
	callFailed btclock.Instant // last call that began beside the node and failed

	mu       sync.Mutex
	servers  map[string]*server // by name
	draining bool
	active   int // requests under way
}

// ReserveKey notes a key for its home and returns what is known of it.
func (a *Admitter) ReserveKey(key baobabtide.KeyRecord) baobabtide.KeyRecord {
	return a.ledger.Reserve(key, time.Now())
}

// ResolveKey notes how the attempt of a reserved key ended.
func (a *Admitter) ResolveKey(key baobabtide.KeyRecord) { a.ledger.Resolve(key) }

// New returns an Admitter and a function that closes its connections.
func New(partner baobabtide.KeyPartner) (*Admitter, func()) {
	a := &Admitter{
		Limiter: &btadmit.RateLimiter{},
		Partner: partner,
		Names:   btbackend.DefaultNames(),
		servers: make(map[string]*server),
	}
	return a, a.close
}

func (a *Admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.servers {
		s.closePool()
	}
}

// Update replaces the set of backend servers. Requests to a server that is
// gone go on; new ones are refused.
func (a *Admitter) Update(servers []btbackend.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[string]*server, len(servers))
	for i := range servers {
		announcement := servers[i].Announcement
		old := a.servers[announcement.Name]
		if old != nil && sameServer(&old.announcement, &announcement) {
			old.announcement = announcement
			next[announcement.Name] = old
			continue
		}
		next[announcement.Name] = a.newServer(announcement)
	}
	for name, old := range a.servers {
		if next[name] != old {
			old.queue.Close()
			old.closePool()
		}
	}
	for _, s := range next {
		if a.draining || s.announcement.State == baobabtide.TargetDraining {
			s.queue.Close()
		}
	}
	a.servers = next
}

// Loads returns the load of each backend server beside the node.
func (a *Admitter) Loads() []baobabtide.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make([]baobabtide.Load, 0, len(a.servers))
	for _, s := range a.servers {
		loads = append(loads, s.queue.Load("", time.Now()))
	}
	return loads
}

// sameServer tells whether two announcements are of one server whose queue may
// go on. The queue of a draining server is closed and does not open again.
func sameServer(a, b *btbackend.Announcement) bool {
	if a.State == baobabtide.TargetDraining && b.State != baobabtide.TargetDraining {
		return false
	}
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Slots == b.Slots && a.Connections == b.Connections
}

func (a *Admitter) newServer(announcement btbackend.Announcement) *server {
	pool, closePool := btbackend.NewPool(announcement.Address, announcement.Connections)
	pool.Names, pool.Name = a.Names, announcement.Name
	return &server{
		announcement: announcement,
		queue:        btadmit.NewQueue(announcement.Slots),
		pool:         pool,
		closePool:    closePool,
	}
}

// NoteFailedCall notes that a call which began beside the node has failed. Runs
// of the time may have failed for no fault of their own.
func (a *Admitter) NoteFailedCall(now time.Time) { a.callFailed.Set(now) }

// Drain refuses all new work and returns the number of requests under way.
func (a *Admitter) Drain() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for _, s := range a.servers {
		s.queue.Close()
	}
	return a.active
}

// Active returns the number of requests under way.
func (a *Admitter) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// Load returns the load of each backend server by name.
func (a *Admitter) Load() map[string]baobabtide.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[string]baobabtide.Load, len(a.servers))
	for name, s := range a.servers {
		loads[name] = s.queue.Load("", time.Now())
	}
	return loads
}

// begin counts a request and returns its server.
func (a *Admitter) begin(target string, incarnation uint64) (*server, *baobabtide.RequestError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.servers[target]
	if s == nil || s.announcement.Incarnation != incarnation {
		return nil, baobabtide.Refuse(baobabtide.ReasonDraining, goneRetry, errors.New("the backend server is gone"))
	}
	a.active++
	return s, nil
}

func (a *Admitter) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
}

// SettleLocal implements baobabtide.Admitter.
func (a *Admitter) SettleLocal(attempt string) baobabtide.Verdict {
	return a.ledger.Settle(attempt, time.Now())
}

// Admit implements baobabtide.Admitter.
func (a *Admitter) Admit(ctx context.Context, target string, incarnation uint64, req *baobabtide.Request) (*baobabtide.Response, error) {
	s, refusal := a.begin(target, incarnation)
	if refusal != nil {
		return nil, refusal
	}
	resp, refusal := a.admit(ctx, s, req)
	if refusal != nil {
		a.end()
		a.logRefusal(s, req, refusal)
		return nil, refusal
	}
	return resp, nil
}

func (a *Admitter) admit(ctx context.Context, s *server, req *baobabtide.Request) (*baobabtide.Response, *baobabtide.RequestError) {
	if wait := a.Limiter.Take(req.Customer, req.Service, time.Now()); wait > 0 {
		return nil, baobabtide.Refuse(baobabtide.ReasonRateLimit, wait, nil)
	}
	if left := s.down(time.Now()); left > 0 {
		return nil, baobabtide.Refuse(baobabtide.ReasonUnreached, left, nil)
	}
	call := a.calls.Observe(req.Route, req.Origin)
	if refusal := a.acquire(ctx, s, req, call); refusal != nil {
		refusal.Load.Call = call
		return nil, refusal
	}
	run := &run{admitter: a, server: s, req: req, call: call, started: time.Now()}
	if answer, refusal := run.enter(ctx); answer != nil || refusal != nil {
		run.release()
		return replay(answer, a), refusal
	}
	resp, err := s.pool.Do(ctx, req)
	if err != nil {
		return nil, run.fail(baobabtide.AsRequestError(err))
	}
	return run.succeed(resp), nil
}

// logRefusal writes why a request has no answer of the backend server.
func (a *Admitter) logRefusal(s *server, req *baobabtide.Request, err *baobabtide.RequestError) {
	event := btlog.AdmitRefused
	if err.Verdict != baobabtide.NotRun {
		event = btlog.AdmitLost
	}
	line := a.Log.Request(event, req).Str("target", s.announcement.Name).Stringer("verdict", err.Verdict).Str("reason", string(err.Reason)).
		Int("running", err.Load.InFlight).Int("waiting", err.Load.Queued).Int("limit", err.Load.Slots).Int("failing", err.Load.Failing).
		Dur("work-ms", err.Load.Work).Bool("late", req.Late).Dur("retry-after-ms", err.RetryAfter)
	if err.Err != nil {
		line = line.Str("cause", err.Err.Error())
	}
	line.Send()
}

// acquire waits for a slot.
func (a *Admitter) acquire(ctx context.Context, s *server, req *baobabtide.Request, call bool) *baobabtide.RequestError {
	ticket := btadmit.Ticket{
		Customer:  req.Customer,
		Route:     req.Route,
		Priority:  req.Priority,
		Deadline:  req.Deadline,
		Objective: req.Objective,
		Late:      req.Late,
		Call:      call,
	}
	w, refusal := s.queue.Offer(ticket, time.Now())
	if refusal != nil {
		return refusal
	}
	select {
	case <-w.Ready():
		return w.Refusal()
	case <-ctx.Done():
	}
	if !s.queue.Cancel(w) {
		s.queue.Release(req.Customer, 0, time.Now())
	}
	reason := baobabtide.ReasonCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), btconn.ErrCallerClosed) {
		reason = baobabtide.ReasonDeadline
	}
	return baobabtide.Refuse(reason, 0, context.Cause(ctx))
}
