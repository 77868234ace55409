package btnode

import (
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// atomicOffset is an offset that is safe for concurrent use. The zero value is 0.
type atomicOffset struct {
	value atomic.Uint64
}

// Load returns the offset atomically.
func (o *atomicOffset) Load() baobabtide.Offset { return baobabtide.Offset(o.value.Load()) }

// Store sets the offset atomically.
func (o *atomicOffset) Store(offset baobabtide.Offset) { o.value.Store(uint64(offset)) }
