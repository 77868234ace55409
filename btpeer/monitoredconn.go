package btpeer

import (
	"net"
	"time"

	"github.com/baobabtide/baobabtide/btclock"
)

// monitoredConn is a connection that records when data last arrived on it. A message
// that arrives in part shows that the other node is alive, long before it is complete
// on a slow link.
type monitoredConn struct {
	net.Conn
	lastRead *btclock.Instant
}

// Read implements net.Conn.
func (c monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Set(time.Now())
	}
	return n, err
}
