package btnode

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	catchUpPeers = 2               // neighbors that a starting node hears before it trusts its configuration
	catchUpGrace = 3 * time.Second // after the start it takes what it has
)

// catchUp keeps a starting node from putting a configuration in force that is
// older than the one it had before, which a single lagging neighbor may send.
// The zero value is ready.
type catchUp struct {
	mu    sync.Mutex
	heard map[string]baobabtide.Offset // highest version of each neighbor
}

// note takes in the version of a neighbor.
func (c *catchUp) note(name string, offset baobabtide.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard == nil {
		c.heard = make(map[string]baobabtide.Offset)
	}
	c.heard[name] = max(c.heard[name], offset)
}

// done tells whether a version may come into force first. It must reach that of
// all neighbors heard, who must be enough unless the node has waited long.
func (c *catchUp) done(own baobabtide.Offset, others int, uptime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if own == 0 {
		return false
	}
	if uptime >= catchUpGrace {
		return true
	}
	for _, offset := range c.heard {
		if offset > own {
			return false
		}
	}
	return len(c.heard) >= min(catchUpPeers, others)
}
