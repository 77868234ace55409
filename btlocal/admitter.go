// Package btlocal admits requests to the backend servers beside a node and runs them. All
// requests to a backend server, from whichever node, are admitted by the node beside it.
package btlocal

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btclock"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btledger"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btquarantine"
)

const (
	unregisteredRetryAfter = time.Second            // if the backend server is not registered in the requested incarnation
	unreachedPause         = 300 * time.Millisecond // without requests to a server after a connection failed to open; restarts take longer
)

// server is a backend server beside the node.
type server struct {
	name         string
	incarnation  uint64
	announcement btbackend.Announcement // latest one of the incarnation, protected by Admitter.mu
	coldUntil    time.Time              // protected by Admitter.mu
	queue        *btadmit.Queue
	pool         *btbackend.Pool
	closePool    func()
	unreachedAt  btclock.Instant // last time a connection failed to open
	turns        *time.Timer     // wakes the queue for the next turn under the rate limit
	arrivals     atomic.Int64    // requests sent to the server
	stated       stated
	ending       ending
	suspects     atomic.Int32 // running requests with standing btquarantine.Suspect, 0 or 1
	leaving      atomic.Bool  // the server has said in a response that it is about to stop
	badReport    atomic.Bool  // a load report that is not valid has been logged
}

// recordUnreached records that no connection to the server could be opened.
func (s *server) recordUnreached(now time.Time) { s.unreachedAt.Set(now) }

// remainingPause returns how long no requests are sent to the server after a connection
// failed to open, 0 or less for no pause.
func (s *server) remainingPause(now time.Time) time.Duration {
	since, ok := s.unreachedAt.Since(now)
	if !ok {
		return 0
	}
	return unreachedPause - since
}

// Admitter implements baobabtide.Admitter for the registered backend servers. Its fields
// must be set before the first call of a method. All methods are safe for concurrent use.
type Admitter struct {
	Limiter *btadmit.RateLimiter
	Partner baobabtide.KeyPartner
	Names   btbackend.HeaderNames
	Log     *btlog.DecisionLog
	// Quarantine holds the requests that are not run, or not together, because of crashes.
	Quarantine *btquarantine.Table
	// OnEntry is called with each change of Quarantine that the admitter makes, nil for none.
	OnEntry func(entry btquarantine.Entry)
	// Servers returns the number of backend servers of a service that are up, on all nodes; nil
	// if that is not known.
	Servers func(service string) int
	// OnLeaving is called once for each incarnation of a backend server that says in a
	// response that it is about to stop, nil for none.
	OnLeaving func(name string, incarnation uint64)

	ledger     btledger.Ledger
	calls      btadmit.CallDetector
	callFailed btclock.Instant // time of the last failed call of a backend server beside the node

	Crashes        atomic.Int64 // backend servers that ended while they had requests
	InvalidNotices atomic.Int64 // responses whose rate limit is not a decimal number
	Resets         atomic.Int64 // connections that a backend server, which goes on, reset before its response
	Reports        atomic.Int64 // load reports of backend servers
	InvalidReports atomic.Int64 // load reports that are not valid, all ignored

	mu       sync.Mutex
	servers  map[string]*server // by name
	cold     map[string]float64 // requests per second that a cold server gets, by service
	draining bool
	active   int // requests in progress
}

// ReserveKey reserves a key for an attempt at the home node of the key. It returns the
// record of another attempt with the key, if there is one, as btledger.Ledger.Reserve does.
func (a *Admitter) ReserveKey(key baobabtide.KeyRecord) baobabtide.KeyRecord {
	return a.ledger.Reserve(key, time.Now())
}

// ResolveKey records how the attempt with a reserved key ended.
func (a *Admitter) ResolveKey(key baobabtide.KeyRecord) { a.ledger.Resolve(key) }

// New returns an Admitter without backend servers and a function that closes its
// connections.
func New(partner baobabtide.KeyPartner) (*Admitter, func()) {
	a := &Admitter{
		Limiter: &btadmit.RateLimiter{},

		Quarantine: &btquarantine.Table{},
		Partner:    partner,
		Names:      btbackend.DefaultNames(),
		servers:    make(map[string]*server),
	}
	return a, a.close
}

func (a *Admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.servers {
		s.close()
	}
}

// close refuses the requests that wait and closes the connections.
func (s *server) close() {
	s.queue.Close()
	s.turns.Stop()
	s.closePool()
}

// Update replaces the set of backend servers. Running requests to a server that is no
// longer in the set continue; waiting and new ones are refused.
func (a *Admitter) Update(servers []btbackend.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	next := make(map[string]*server, len(servers))
	for i := range servers {
		announcement := servers[i].Announcement
		old := a.servers[announcement.Name]
		s := old
		if old == nil || !sameServer(&old.announcement, &announcement) {
			s = a.newServer(announcement)
			if old != nil && old.announcement.Incarnation == announcement.Incarnation {
				s.adoptStated(old, now)
			}
		}
		wasCold := old != nil && old.incarnation == s.incarnation && now.Before(old.coldUntil)
		s.announcement, s.coldUntil = announcement, servers[i].ColdUntil
		limit := a.cold[announcement.Service]
		s.queue.SetCold(limit, s.coldUntil, now)
		if cold := s.coldUntil.Sub(now); cold > 0 && !wasCold {
			a.Log.Server(btlog.TargetCold, s.name).Dur("cold-ms", cold).Float64("limit", limit).Send()
		}
		next[announcement.Name] = s
	}
	for name, old := range a.servers {
		if next[name] != old {
			old.close()
		}
	}
	for _, s := range next {
		if a.draining || s.announcement.State == baobabtide.TargetDraining || s.leaving.Load() {
			s.queue.Close()
		}
	}
	a.servers = next
}

// SetColdLimits replaces the requests per second that are sent to a cold backend server, by
// service. A service without a limit is left out.
func (a *Admitter) SetColdLimits(limits map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold = limits
	now := time.Now()
	for _, s := range a.servers {
		s.queue.SetCold(limits[s.announcement.Service], s.coldUntil, now)
	}
}

// Loads returns the load of each backend server beside the node, in no particular order.
func (a *Admitter) Loads() []baobabtide.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make([]baobabtide.Load, 0, len(a.servers))
	for _, s := range a.servers {
		loads = append(loads, s.queue.Load("", time.Now()))
	}
	return loads
}

// sameServer reports whether two announcements are of one server that keeps its queue. The
// queue of a draining server is closed and can't be opened again, so a server that is no
// longer draining needs a new one.
func sameServer(a, b *btbackend.Announcement) bool {
	if a.State == baobabtide.TargetDraining && b.State != baobabtide.TargetDraining {
		return false
	}
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Slots == b.Slots && a.Connections == b.Connections
}

// newServer returns a server with an empty queue and an empty connection pool.
func (a *Admitter) newServer(announcement btbackend.Announcement) *server {
	pool, closePool := btbackend.NewPool(announcement.Address, announcement.Connections)
	pool.Names, pool.Name = a.Names, announcement.Name
	s := &server{
		name:         announcement.Name,
		incarnation:  announcement.Incarnation,
		announcement: announcement,
		queue:        btadmit.NewQueue(announcement.Slots),
		pool:         pool,
		closePool:    closePool,
	}
	s.turns = time.AfterFunc(time.Hour, func() { s.queue.Wake(time.Now()) })
	s.queue.Alarm = func(wait time.Duration) { s.turns.Reset(wait) }
	pool.OnNotice = func(notice btbackend.Notice, sentAt time.Time) { a.recordNotice(s, &notice, sentAt) }
	return s
}

// RecordFailedCall records that a call of a backend server beside the node has failed. A
// request that is running at that time may fail because of the call, so its failure is
// excused.
func (a *Admitter) RecordFailedCall(now time.Time) { a.callFailed.Set(now) }

// Drain refuses all waiting and new requests and returns the number of requests in
// progress.
func (a *Admitter) Drain() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for _, s := range a.servers {
		s.queue.Close()
	}
	return a.active
}

// Active returns the number of requests in progress.
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

// begin counts a request as in progress and returns its server. It refuses a request to a
// server that is not registered with the given incarnation.
func (a *Admitter) begin(target string, incarnation uint64) (*server, *baobabtide.RequestError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.servers[target]
	if s == nil || s.announcement.Incarnation != incarnation {
		return nil, baobabtide.Refuse(baobabtide.ReasonDraining, unregisteredRetryAfter, errors.New("this incarnation of the backend server is not registered"))
	}
	a.active++
	return s, nil
}

// end counts a request as no longer in progress.
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
	panicked := true
	defer func() {
		if panicked {
			a.end()
		}
	}()
	resp, refusal := a.admit(ctx, s, req)
	panicked = false
	if refusal != nil {
		a.end()
		refusal.Load.Leaving = s.leaving.Load()
		if refusal.Reason != baobabtide.ReasonBusy { // the dispatching node logs the move
			a.logRefusal(s, req, refusal)
		}
		return nil, refusal
	}
	return resp, nil
}

// admit waits for a slot of the server and runs the request. For a repeated request with a
// key, it returns the stored answer, if there is one.
func (a *Admitter) admit(ctx context.Context, s *server, req *baobabtide.Request) (*baobabtide.Response, *baobabtide.RequestError) {
	if refusal := btquarantine.Refuse(a.Quarantine.Standing(req.Digest, time.Now())); refusal != nil {
		return nil, refusal
	}
	if refusal := a.refuseBusy(s, req); refusal != nil {
		return nil, refusal
	}
	if wait := a.Limiter.Take(req.Customer, req.Service, time.Now()); wait > 0 {
		return nil, baobabtide.Refuse(baobabtide.ReasonRateLimit, wait, nil)
	}
	if pause := s.remainingPause(time.Now()); pause > 0 {
		return nil, baobabtide.Refuse(baobabtide.ReasonUnreached, pause, nil)
	}
	s.suggestRateLimit(req.RateLimit, time.Now())
	call := a.calls.Observe(req.Route, req.Origin)
	run := &run{admitter: a, server: s, req: req, ticket: ticketOf(req, call)}
	if refusal := acquire(ctx, s, &run.ticket); refusal != nil {
		refusal.Load.Call = call
		return nil, refusal
	}
	run.started = time.Now()
	panicked := true
	defer func() {
		if panicked {
			run.release()
		}
	}()
	resp, refusal := run.do(ctx)
	panicked = false
	return resp, refusal
}

// refuseBusy refuses a request that is expected to be answered earlier elsewhere. It comes
// before all that counts requests.
func (a *Admitter) refuseBusy(s *server, req *baobabtide.Request) *baobabtide.RequestError {
	if req.MaxWait <= 0 {
		return nil
	}
	return s.queue.RefuseBusy(ticketOf(req, a.calls.IsCall(req.Route)), req.MaxWait, time.Now())
}

// ticketOf returns the ticket of a request.
func ticketOf(req *baobabtide.Request, call bool) btadmit.Ticket {
	return btadmit.Ticket{
		Customer:  req.Customer,
		Route:     req.Route,
		Priority:  req.Priority,
		Deadline:  req.Deadline,
		Objective: req.Objective,
		Late:      req.Late,
		Call:      call,

		Account:    req.Account,
		AccountUse: req.AccountUse,
	}
}

// logRefusal logs why a request got no response: it was refused, or it ran or may have run
// and its response is not available.
func (a *Admitter) logRefusal(s *server, req *baobabtide.Request, err *baobabtide.RequestError) {
	event := btlog.AdmitRefused
	if err.Verdict != baobabtide.NotRun {
		event = btlog.AdmitLost
	}
	line := a.Log.Request(event, req).Str("target", s.name).Stringer("verdict", err.Verdict).Str("reason", string(err.Reason)).
		Int("running", err.Load.InFlight).Int("waiting", err.Load.Queued).Int("limit", err.Load.Slots).Int("failing", err.Load.Failing).
		Dur("work-ms", err.Load.Work).Bool("late", req.Late).Dur("retry-after-ms", err.RetryAfter)
	if err.Crashed {
		line = line.Bool("crashed", true).Stringer("digest", req.Digest)
	}
	btlog.AddError(line, "cause", err.Err).Send()
}

// acquire waits for a slot of the server. It returns an error if the queue refuses the
// request, or if ctx is canceled or its deadline passes first.
func acquire(ctx context.Context, s *server, t *btadmit.Ticket) *baobabtide.RequestError {
	waiter, refusal := s.queue.Offer(*t, time.Now())
	if refusal != nil {
		return refusal
	}
	select {
	case <-waiter.Ready():
		return waiter.Refusal()
	case <-ctx.Done():
	}
	if !s.queue.Cancel(waiter) {
		s.queue.Release(t, 0, time.Now())
	}
	reason := baobabtide.ReasonCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), btconn.ErrCallerClosed) {
		reason = baobabtide.ReasonDeadline
	}
	return baobabtide.Refuse(reason, 0, context.Cause(ctx))
}
