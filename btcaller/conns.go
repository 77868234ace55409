package btcaller

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connections tracks which callers' connections are idle, because fasthttp
// leaves idle ones open when it shuts down. The zero value is ready.
type connections struct {
	mu      sync.Mutex
	idle    map[net.Conn]struct{}
	closing bool
}

// track is the server's ConnState.
func (c *connections) track(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != fasthttp.StateIdle {
		delete(c.idle, conn)
		return
	}
	if c.closing {
		_ = conn.Close()
		return
	}
	if c.idle == nil {
		c.idle = make(map[net.Conn]struct{})
	}
	c.idle[conn] = struct{}{}
}

// closeIdle closes the connections on which nothing is under way, now and from
// now on.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn := range c.idle {
		_ = conn.Close()
		delete(c.idle, conn)
	}
}
