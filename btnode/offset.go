package btnode

import (
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// atomicOffset is an offset that is safe for concurrent use.
type atomicOffset struct {
	value atomic.Uint64
}

// Load returns the offset.
func (o *atomicOffset) Load() baobabtide.Offset { return baobabtide.Offset(o.value.Load()) }

// Store sets the offset.
func (o *atomicOffset) Store(offset baobabtide.Offset) { o.value.Store(uint64(offset)) }
