package btnode

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide/btconfig"
)

const (
	minCatchUpNeighbors = 2                // neighbors whose positions a starting node needs before it puts a configuration in force
	catchUpTimeout      = 3 * time.Second  // uptime from which a node no longer waits for neighbors that have not told their positions
	catchUpLimit        = 10 * time.Second // uptime from which a node puts any configuration in force
)

// catchUp keeps a restarted node from putting a configuration in force that is
// older than the one before its restart. A single neighbor that lags may send such
// a configuration. The zero value is ready to use.
type catchUp struct {
	mu        sync.Mutex
	positions map[string]btconfig.Position // highest position of the configuration received from each neighbor
	live      int                          // highest number of live members that a neighbor knew
}

// record records the position of a neighbor's configuration. A lower one that arrives later has no
// effect.
func (c *catchUp) record(name string, position btconfig.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.positions == nil {
		c.positions = make(map[string]btconfig.Position)
	}
	c.positions[name] = c.positions[name].Join(position)
}

// recordLive records the number of live members that a neighbor knows. This node does not
// know them all yet: a neighbor in a large mesh first sends only its own record.
func (c *catchUp) recordLive(live int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = max(c.live, live)
}

// done reports whether the configuration at position own may come into force as the
// first one of this process: no neighbor has sent a later position, and at least
// minCatchUpNeighbors have sent one, or all others if there are fewer. others is the
// number of other live members that this node knows. After catchUpTimeout only a
// neighbor that is still connected keeps it from coming into force, by a later position, as
// this node can get the later configuration there. After catchUpLimit any configuration
// may. It returns false for offset 0, which means that there is no configuration.
func (c *catchUp) done(own btconfig.Position, others int, uptime time.Duration, connected func(name string) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if own.Offset == 0 {
		return false
	}
	if uptime >= catchUpLimit {
		return true
	}
	for name, position := range c.positions {
		if !own.Covers(position) && (uptime < catchUpTimeout || connected(name)) {
			return false
		}
	}
	others = max(others, c.live-1)
	return uptime >= catchUpTimeout || len(c.positions) >= min(minCatchUpNeighbors, others)
}
