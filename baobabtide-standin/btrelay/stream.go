package btrelay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const copyBufferSize = 16 << 10 // bytes

// clock is the source of time of a relay's queues.
type clock interface {
	Now() time.Time
	// WaitUntil returns at a time, or earlier if canceled is closed.
	WaitUntil(t time.Time, canceled <-chan struct{})
}

type systemClock struct{}

// Now implements clock.
func (systemClock) Now() time.Time { return time.Now() }

// WaitUntil implements clock.
func (systemClock) WaitUntil(t time.Time, canceled <-chan struct{}) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-canceled:
	}
}

// queue computes when data leaves an unbounded first-in first-out queue that is emptied
// at a constant rate. The relay's lock protects it.
type queue struct {
	rate    int       // bytes per second
	free    time.Time // when everything accepted so far has left
	bytes   int64     // accepted
	maxWait time.Duration
}

// accept returns the time at which the last of n bytes that arrive now leaves the queue.
func (q *queue) accept(now time.Time, n int) time.Time {
	if q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(time.Duration(n) * time.Second / time.Duration(q.rate))
	q.bytes += int64(n)
	q.maxWait = max(q.maxWait, q.free.Sub(now))
	return q.free
}

// chunk is data on its way through a stream.
type chunk struct {
	data []byte
	due  time.Time // earliest time of delivery, zero for at once
	end  error     // the sender's end of the stream or error, after which nothing follows
}

// stream is one direction of a relayed connection. One goroutine reads the data into a
// backlog, another one delivers it.
type stream struct {
	pipe     *pipe
	from, to netip.Addr // sender and receiver of the data
	src, dst net.Conn

	mu      sync.Mutex
	changed *sync.Cond // the backlog changed or the delivery ended
	backlog []chunk    // the first one is being delivered
	ended   bool       // nothing more is delivered
}

func newStream(p *pipe, from, to netip.Addr, src, dst net.Conn) *stream {
	s := &stream{pipe: p, from: from, to: to, src: src, dst: dst}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// copy forwards data in one direction, and then the end of the stream, until the
// connection ends.
func (r *Relay) copy(s *stream) {
	var wg sync.WaitGroup
	wg.Go(func() { s.deliver(r.clock) })
	defer wg.Wait()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := s.src.Read(buf)
		if n > 0 {
			if due, ok := r.applyRules(s, n); ok {
				s.push(chunk{data: bytes.Clone(buf[:n]), due: due})
			}
		}
		if err != nil {
			due, _ := r.applyRules(s, 0)
			s.push(chunk{due: due, end: err})
			return
		}
	}
}

// applyRules blocks as long as the rules hold back or delay n bytes of the stream. It
// returns the time at which a queue releases them, zero without one, and false if they
// must be dropped.
func (r *Relay) applyRules(s *stream, n int) (time.Time, bool) {
	for {
		r.mu.Lock()
		rule := r.rule(s.pipe, s.from, s.to)
		frozen, changed := s.pipe.frozen, r.changed
		due := time.Time{}
		if q := r.queues[rule]; q != nil && !frozen {
			due = q.accept(r.clock.Now(), n)
		}
		r.mu.Unlock()
		switch {
		case frozen:
			return time.Time{}, false
		case rule.Mode == Stall || rule.Mode == Hold:
			select {
			case <-changed:
			case <-s.pipe.closed:
				return time.Time{}, false
			}
		case rule.Mode == Delay:
			time.Sleep(rule.Delay)
			return time.Time{}, true
		default:
			return due, true
		}
	}
}

// push adds a chunk to the backlog. Without a due time it waits until the backlog is
// empty, so that a slow receiver slows the sender down as on one connection.
func (s *stream) push(c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog = append(s.backlog, c)
	s.changed.Broadcast()
	for c.due.IsZero() && len(s.backlog) > 0 && !s.ended {
		s.changed.Wait()
	}
}

// first waits for the first chunk of the backlog.
func (s *stream) first() chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.backlog) == 0 {
		s.changed.Wait()
	}
	return s.backlog[0]
}

// deliver writes the chunks in order, each at its due time. It closes the connection
// after an error, but only its direction at the end of the stream.
func (s *stream) deliver(c clock) {
	defer func() {
		s.mu.Lock()
		s.ended = true
		s.changed.Broadcast()
		s.mu.Unlock()
	}()
	for {
		next := s.first()
		if !next.due.IsZero() {
			c.WaitUntil(next.due, s.pipe.closed)
		}
		if errors.Is(next.end, io.EOF) {
			if dst, ok := s.dst.(*net.TCPConn); ok {
				_ = dst.CloseWrite()
			}
			return
		}
		if next.end != nil {
			s.pipe.close()
			return
		}
		if _, err := s.dst.Write(next.data); err != nil {
			s.pipe.close()
			return
		}
		s.mu.Lock()
		s.backlog = s.backlog[1:]
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}
