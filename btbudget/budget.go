// Package btbudget bounds the memory that the clients of a process make it hold. Bytes
// are reserved before they are allocated and released when they are no longer held.
package btbudget

import "sync/atomic"

// Kind is what reserved bytes are held for.
type Kind uint8

// Kinds of reserved bytes.
const (
	Connection Kind = iota // goroutines and structures of open connections
	Head                   // read buffers and parsed header fields
	Body                   // bodies of requests
	Running                // goroutines and structures of requests that await their responses
	Response               // responses that clients have not read yet

	// KindCount is the number of kinds.
	KindCount = iota
)

var kindNames = [KindCount]string{"connection", "head", "body", "running", "response"}

// String returns the kind as metrics show it.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Head, Body, Running, Response} }

// Class is the part of the budget that a reservation may use.
type Class uint8

const (
	// General is the class of all that can be refused while the budget is short: input
	// that may never be completed, large requests and further requests of a connection.
	General Class = iota
	// Ordinary is the class of complete small requests, which may use the reserved part
	// as well.
	Ordinary
)

// Fractions of a budget, as divisors.
const (
	reservedDivisor = 4 // a quarter is reserved for class Ordinary
	shortDivisor    = 8 // the budget is short from an eighth below the end of the general part
)

// Budget is a number of bytes that holders share. The zero value has no limit. All
// methods are safe for concurrent use, and on a nil Budget.
type Budget struct {
	limit int64 // bytes, 0 for no limit; set before first use
	used  atomic.Int64
	kinds [KindCount]atomic.Int64
}

// New returns a budget with a limit in bytes, 0 for none.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes, 0 for none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Limited reports whether the budget has a limit.
func (b *Budget) Limited() bool { return b.Limit() > 0 }

// Reserve reserves n bytes and reports whether they were available. Without a limit they
// always are, but they are counted.
func (b *Budget) Reserve(kind Kind, class Class, n int64) bool {
	if b == nil {
		return true
	}
	most := b.limit
	if class == General {
		most -= b.limit / reservedDivisor
	}
	for {
		used := b.used.Load()
		if b.limit > 0 && used+n > most {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.kinds[kind].Add(n)
			return true
		}
	}
}

// Release releases n bytes that were reserved for a kind.
func (b *Budget) Release(kind Kind, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.kinds[kind].Add(-n)
	b.used.Add(-n)
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// UsedFor returns the bytes that are reserved for a kind.
func (b *Budget) UsedFor(kind Kind) int64 {
	if b == nil {
		return 0
	}
	return b.kinds[kind].Load()
}

// Excess returns the bytes to release until the budget is no longer short, 0 if it is
// not: less than an eighth of the limit is left of the general part.
func (b *Budget) Excess() int64 {
	if !b.Limited() {
		return 0
	}
	return max(0, b.used.Load()-(b.limit-b.limit/reservedDivisor-b.limit/shortDivisor))
}

// Short reports whether the budget is short.
func (b *Budget) Short() bool { return b.Excess() > 0 }
