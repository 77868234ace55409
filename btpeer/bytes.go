package btpeer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

const frameOverhead = 9 // bytes of an HTTP/2 frame header, counted once per message

// ByteCounter counts the bytes of gossip messages including HTTP/2 framing, but not
// TLS, TCP and IP headers. It is a stats.Handler, and its zero value is ready to use.
type ByteCounter struct {
	in, out atomic.Int64
}

// ByteTotals holds the numbers of bytes received and sent.
type ByteTotals struct {
	In, Out int64
}

// Totals returns the bytes counted so far.
func (c *ByteCounter) Totals() ByteTotals { return ByteTotals{In: c.in.Load(), Out: c.out.Load()} }

// gossipKey is the context key that marks gossip RPCs.
type gossipKey struct{}

// TagRPC implements stats.Handler. It marks the context of gossip RPCs.
func (c *ByteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	if info.FullMethodName != gossipMethod {
		return ctx
	}
	return context.WithValue(ctx, gossipKey{}, true)
}

// HandleRPC implements stats.Handler. It counts the messages of gossip RPCs.
func (c *ByteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if ctx.Value(gossipKey{}) == nil {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		c.in.Add(int64(p.WireLength) + frameOverhead)
	case *stats.OutPayload:
		c.out.Add(int64(p.WireLength) + frameOverhead)
	}
}

// TagConn implements stats.Handler.
func (c *ByteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *ByteCounter) HandleConn(context.Context, stats.ConnStats) {}
