package btcaller

import (
	"cmp"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
)

const (
	connectionCost = 8 << 10  // bytes of an open connection: stacks of its goroutines, firstRead and structures
	tlsCost        = 24 << 10 // bytes of a TLS connection in addition: its record buffers and keys
	runningCost    = 16 << 10 // bytes of a request that runs: the stack of its goroutine, its attempts
	streamCost     = 32 << 10 // bytes of a streamed body: its prefix and the buffers that copy it

	smallBody         = 4 << 10   // bytes of a body that may use the reserved part of the budget before it has arrived
	smallResponse     = 16 << 10  // bytes of a response that may use the reserved part of the budget
	maxPipelinedBytes = 256 << 10 // bytes that a connection holds before no further request is read from it

	// minPlaces and placesDivisor bound the streamed bodies that are read at the same time under a
	// memory limit: a 128th of the budget at streamCost each. minPlaces requests may run of those
	// that were sent before the response to an earlier one of the connection. Each takes a slot of
	// a backend server: with an eighth, TestLargeCrowds left ordinary requests unserved.
	minPlaces     = 8
	placesDivisor = 128

	minBodyRate = 1 << 10 // bytes a second of a streamed body under a memory limit, after the first timeout

	// streamGrace is how late a streamed body must be before it is shed. Each that is given up costs
	// a failed run at a backend server. With 1 s the stalled runs raised the estimate of the run time
	// so far that other requests of the route were refused as too slow.
	streamGrace = 50 * time.Millisecond
	writeGrace  = 250 * time.Millisecond // in addition to paceCredit, before a client is taken for a slow reader
	streamWait  = time.Second            // of a request for its body to be read

	shedPeriod    = 100 * time.Millisecond // between two searches for connections to shed
	unusedGrace   = time.Second            // for the first request on a connection, while the budget is short
	idleGrace     = 5 * time.Second        // for a further request on a connection, while the budget is short
	crowdedNum    = 7                      // late connections are closed when more than 7/8 of the
	crowdedDen    = 8                      // allowed ones are open
	idleDivisor   = 2                      // idle connections are closed only while connections hold more than half the budget
	maxShedAtOnce = 512                    // connections in one search, so that it does not delay others
)

// RefusalReason is why a caller was refused or its connection closed because of its behavior
// or for lack of memory.
type RefusalReason string

// Reasons of refusals.
const (
	NoMemory    RefusalReason = "no-memory"    // the budget had no room for the request
	SlowRequest RefusalReason = "slow-request" // the request arrived too slowly
	SlowReader  RefusalReason = "slow-reader"  // the caller did not read its responses
	IdleCaller  RefusalReason = "idle"         // the connection was idle while the budget was short
	ManyFields  RefusalReason = "many-fields"  // the request had too many header fields
	Pipelining  RefusalReason = "pipelining"   // too many pipelined requests waited
	ManyStreams RefusalReason = "streams"      // too many large bodies arrived at the same time
	ManyConns   RefusalReason = "connections"  // too many connections were open
)

// ClientRefusal describes a caller that was refused, or whose connection was closed, because
// of its behavior or for lack of memory.
type ClientRefusal struct {
	Reason RefusalReason
	Remote net.Addr
	Held   int64         // bytes of the budget that the connection held
	Late   time.Duration // time without sufficient progress, 0 if that was not the reason
}

// reportRefusal reports a refusal to OnRefusal.
func (c *conn) reportRefusal(reason RefusalReason, late time.Duration) {
	if report := c.server.OnRefusal; report != nil {
		report(ClientRefusal{Reason: reason, Remote: c.socket.RemoteAddr(), Held: c.held.Load(), Late: late})
	}
}

// reserve reserves bytes of the budget for the connection. It returns false if they are not
// available.
func (c *conn) reserve(kind btbudget.Kind, class btbudget.Class, n int64) bool {
	budget := c.server.limits.Budget
	ok := budget.Reserve(kind, class, n)
	if ok {
		c.held.Add(n)
	}
	if !ok || budget.Short() {
		c.server.signalShortage()
	}
	return ok
}

// open reserves the bytes of the connection itself. It returns false if the budget is exhausted.
func (c *conn) open() bool {
	cost := int64(connectionCost)
	if _, ok := c.socket.(*tls.Conn); ok {
		cost += tlsCost
	}
	if !c.reserve(btbudget.Connection, btbudget.Ordinary, cost) {
		c.reportRefusal(ManyConns, 0)
		return false
	}
	c.cost = cost
	c.readPace.expect(time.Now(), unusedGrace)
	return true
}

// release releases bytes that reserve has reserved.
func (c *conn) release(kind btbudget.Kind, n int64) {
	c.held.Add(-n)
	c.server.limits.Budget.Release(kind, n)
}

// reserve reserves bytes until the exchange is finished.
func (ex *exchange) reserve(kind btbudget.Kind, class btbudget.Class, n int64) bool {
	if !ex.conn.reserve(kind, class, n) {
		return false
	}
	ex.reserved[kind] += n
	return true
}

// free releases what the exchange has reserved. It may be called more than once.
func (ex *exchange) free() {
	for kind, n := range ex.reserved {
		if n > 0 {
			ex.conn.release(btbudget.Kind(kind), n)
			ex.reserved[kind] = 0
		}
	}
}

// places returns the number of streamed bodies that are read at the same time under a memory
// limit.
func places(budget *btbudget.Budget) int64 {
	return max(minPlaces, budget.Limit()/(placesDivisor*streamCost))
}

// signalShortage makes shedLoop search for connections to shed.
func (s *Server) signalShortage() {
	select {
	case s.shortage <- struct{}{}:
	default:
	}
}

// shedLoop sheds connections while the budget is short or connections are too many.
func (s *Server) shedLoop() {
	for {
		select {
		case <-s.ended:
			return
		case <-s.shortage:
		}
		again := s.shed(time.Now())
		select {
		case <-s.ended:
			return
		case <-time.After(shedPeriod):
		}
		if again {
			s.signalShortage()
		}
	}
}

// crowded returns the number of connections that have to be closed so that new ones don't meet
// the limit, 0 if none. Without Limits.Strict idle connections stay until their timeout.
func (s *Server) crowded() int {
	if !s.limits.Strict {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, len(s.conns)-s.limits.Connections*crowdedNum/crowdedDen)
}

// Classes of connections to shed, in the order in which they are shed.
const (
	shedLate   = iota // a request arrives or a response is read too slowly
	shedUnused        // no request has arrived yet
	shedIdle          // no request is pending
)

// victim is a connection that may be shed.
type victim struct {
	conn    *conn
	class   int
	late    time.Duration
	held    int64
	writing bool

	relaying  bool // its response is read from the backend server while it is written, which holds a slot
	streaming bool // its body takes the place of others in Server.streams
}

// weight orders victims of a class: what they hold, and for how long without progress.
func (v *victim) weight() float64 { return float64(v.held) * v.late.Seconds() }

// shortage is what shed has to free.
type shortage struct {
	excess   int64 // bytes
	crowded  int   // connections
	streams  int64 // places in Server.streams
	manyIdle bool  // idle connections hold so much that they are shed as well
}

// take reports whether a victim is shed, and deducts what that frees.
func (f *shortage) take(v *victim) bool {
	switch {
	case v.class != shedLate && !f.manyIdle:
		return false // it would free little, and the client may just send its next request
	case v.streaming && v.late < streamGrace:
		return false
	case v.relaying && v.writing:
	case v.streaming && f.streams > 0:
		f.streams--
	case f.excess <= 0 && f.crowded <= 0:
		return false
	}
	f.excess -= v.held
	f.crowded--
	return true
}

// shed sheds the connections that hold the most for the longest without progress until the
// budget is no longer short and connections are no longer too many. It reports whether it
// has to be called again.
func (s *Server) shed(now time.Time) bool {
	budget := s.limits.Budget
	if !budget.Limited() {
		return false
	}
	f := shortage{excess: budget.Excess(), crowded: s.crowded(), streams: s.waiting.Load()}
	if f.excess == 0 && f.crowded == 0 && f.streams == 0 {
		return false
	}
	f.manyIdle = f.crowded > 0 || budget.UsedFor(btbudget.Connection) > budget.Limit()/idleDivisor
	conns := s.openConns()
	victims := make([]victim, 0, len(conns))
	for _, c := range conns {
		if v, ok := c.victim(now); ok {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		return cmp.Compare(b.weight(), a.weight())
	})
	for i := range victims[:min(len(victims), maxShedAtOnce)] {
		if f.take(&victims[i]) {
			victims[i].conn.shedAs(&victims[i], now)
		}
	}
	return true
}

// victim returns the connection as one that may be shed, false if it may not.
func (c *conn) victim(now time.Time) (victim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, writing := c.readPace.late(now), c.writePace.late(now)
	if writing < writeGrace {
		writing = 0
	}
	if c.shed || (reading == 0 && writing == 0) {
		return victim{}, false
	}
	v := victim{conn: c, late: max(reading, writing), held: c.held.Load(), writing: writing > 0, streaming: c.place, relaying: c.relaying}
	switch {
	case v.writing || c.reading || c.pending > 0:
	case c.used:
		v.class = shedIdle
	default:
		v.class = shedUnused
	}
	return v, true
}

// shedAs refuses the request that is read from the connection, or closes the connection, unless
// it is no longer late.
func (c *conn) shedAs(v *victim, now time.Time) {
	reason := SlowRequest
	c.mu.Lock()
	if c.readPace.late(now) == 0 && c.writePace.late(now) == 0 {
		c.mu.Unlock()
		return
	}
	c.shed = true
	switch {
	case v.writing:
		reason = SlowReader
		_ = c.socket.Close()
	case c.reading && !c.streaming:
		_ = c.socket.SetReadDeadline(time.Unix(1, 0)) // readLoop refuses the request
	case v.class != shedLate:
		reason = IdleCaller
		_ = c.socket.SetReadDeadline(time.Unix(1, 0)) // readLoop closes the connection unless a request has arrived
	default:
		_ = c.socket.Close()
	}
	c.mu.Unlock()
	c.reportRefusal(reason, v.late)
}

func (c *conn) isShed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// acquireStream waits for a place in streams. It returns false if none becomes free in
// streamWait.
func (s *Server) acquireStream() bool {
	select {
	case s.streams <- struct{}{}:
		return true
	default:
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	s.signalShortage()
	timer := time.NewTimer(streamWait)
	defer timer.Stop()
	select {
	case s.streams <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-s.ended:
		return false
	}
}

// setRelaying records whether a response is read from the backend server while it is written.
func (c *conn) setRelaying(relaying bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relaying = relaying
}

// setPlace records whether the request that is read holds a place in Server.streams.
func (c *conn) setPlace(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.place = held
}

// releaseStream releases the place of an exchange in streams, if it has one.
func (s *Server) releaseStream(ex *exchange) {
	if ex.streaming {
		ex.streaming = false
		ex.conn.setPlace(false)
		<-s.streams
	}
}

// awaitTurn waits until a request that has been read may run. A pipelined one may have to wait
// for the time that a request may take to arrive: the connection's end is not noticed meanwhile.
// It waits after it has been read, so that one which never arrives keeps no place from others.
func (c *conn) awaitTurn(ex *exchange) error {
	if !c.server.limits.Strict {
		return nil
	}
	var timeout <-chan time.Time
	for {
		c.mu.Lock()
		wait := c.pending > 1 || ex.buffered
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("the connection is being closed"))
		}
		if !wait {
			return nil
		}
		select {
		case c.server.pipelined <- struct{}{}:
			ex.pipelined = true
			return nil
		default:
		}
		if timeout == nil {
			timeout = time.After(c.server.bounds().headerTimeout)
		}
		select {
		case c.server.pipelined <- struct{}{}:
			ex.pipelined = true
			return nil
		case <-c.written: // the request may no longer be pipelined, or the connection ends
		case <-timeout:
			c.reportRefusal(Pipelining, 0)
			return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("too many pipelined requests wait"))
		case <-c.server.ended:
			return nil
		}
	}
}

// releasePipelined releases the place of an exchange in Server.pipelined, if it has one.
func (s *Server) releasePipelined(ex *exchange) {
	if ex.pipelined {
		ex.pipelined = false
		<-s.pipelined
	}
}

// awaitRoom waits before a further request is read until earlier ones are answered, if the
// connection holds much or the budget is short.
func (c *conn) awaitRoom() {
	budget := c.server.limits.Budget
	if !budget.Limited() {
		return
	}
	for {
		c.mu.Lock()
		wait := c.pending > 0 && !c.closing && (c.held.Load() > maxPipelinedBytes || budget.Short())
		c.mu.Unlock()
		if !wait {
			return
		}
		<-c.written
	}
}

// signalWritten ends a wait of awaitRoom.
func (c *conn) signalWritten() {
	select {
	case c.written <- struct{}{}:
	default:
	}
}
