package btpeer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

const frameOverhead = 9 // bytes of an HTTP/2 frame header

// ByteCounter counts the bytes of gossip messages with their framing, without
// TLS, TCP and IP headers. The zero value is ready.
type ByteCounter struct {
	in, out atomic.Int64
}

// ByteTotals are bytes received and sent.
type ByteTotals struct {
	In, Out int64
}

// Totals returns what was counted.
func (c *ByteCounter) Totals() ByteTotals { return ByteTotals{In: c.in.Load(), Out: c.out.Load()} }

type gossipTag struct{}

// TagRPC implements stats.Handler.
func (c *ByteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	if info.FullMethodName != gossipMethod {
		return ctx
	}
	return context.WithValue(ctx, gossipTag{}, true)
}

// HandleRPC implements stats.Handler.
func (c *ByteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if ctx.Value(gossipTag{}) == nil {
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
