package btconn

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// replaceAge is the time that a connection has to be answered before it is replaced.
	replaceAge = 250 * time.Millisecond

	// burstFactor is how many times as many connections as allowed are accepted in replaceAge.
	// Beyond that new ones wait: in a burst the newest are not served yet when as many again have
	// arrived, and would replace each other.
	burstFactor = 8
)

// BoundedListener accepts connections of which a bounded number is open. Beyond that, each new
// one replaces the connection on which the server has sent nothing for longest, so that a
// large number of silent clients neither exhausts memory nor keeps others out. Its fields must be set
// before Accept.
type BoundedListener struct {
	net.Listener
	Most int // open connections, burstFactor times as many for replaceAge

	Replaced atomic.Int64 // connections that were closed for new ones

	mu    sync.Mutex
	conns list.List // of *boundedConn, the one that was written to least recently first
}

// Accept implements net.Listener.
func (l *BoundedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: socket, listener: l, active: time.Now()}
	for {
		replaced, wait := l.add(c, time.Now())
		for _, old := range replaced {
			l.Replaced.Add(1)
			_ = old.Conn.Close()
		}
		if wait <= 0 {
			return c, nil
		}
		time.Sleep(wait)
	}
}

// add adds a connection and returns those that it replaces: all beyond Most that are older than
// replaceAge, so that the number shrinks to Most after a burst. If it has to wait before, it
// returns for how long.
func (l *BoundedListener) add(c *boundedConn, now time.Time) ([]*boundedConn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var replaced []*boundedConn
	for l.conns.Len() >= l.Most {
		oldest := l.conns.Front()
		young := replaceAge - now.Sub(oldest.Value.(*boundedConn).active) //nolint:forcetypeassert // the list holds nothing else
		if young <= 0 {
			replaced = append(replaced, l.remove(oldest))
			continue
		}
		if l.conns.Len() >= l.Most*burstFactor {
			return replaced, young
		}
		break
	}
	c.element = l.conns.PushBack(c)
	return replaced, 0
}

// remove removes a connection. The caller holds l.mu.
func (l *BoundedListener) remove(e *list.Element) *boundedConn {
	c := l.conns.Remove(e).(*boundedConn) //nolint:forcetypeassert // the list holds nothing else
	c.element = nil
	return c
}

// boundedConn is a connection of a BoundedListener.
type boundedConn struct {
	net.Conn
	listener *BoundedListener
	active   time.Time     // when it was accepted or last written to; protected by listener.mu
	element  *list.Element // in the listener's list, nil once it is not in it; protected by listener.mu
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.listener.mu.Lock()
		if c.element != nil {
			c.active = time.Now()
			c.listener.conns.MoveToBack(c.element)
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.remove(c.element)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the wrapped connection.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }
