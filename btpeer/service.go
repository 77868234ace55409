package btpeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btpanic"
	"github.com/baobabtide/baobabtide/btquota"
)

const (
	serviceName   = "baobabtide.Peer"
	gossipMethod  = "/" + serviceName + "/Gossip"
	forwardMethod = "/" + serviceName + "/Forward"
	settleMethod  = "/" + serviceName + "/Settle"
	pingMethod    = "/" + serviceName + "/Ping"
	infoMethod    = "/" + serviceName + "/Info"
	drainMethod   = "/" + serviceName + "/Drain"
	reserveMethod = "/" + serviceName + "/Reserve"
	resolveMethod = "/" + serviceName + "/Resolve"
	usageMethod   = "/" + serviceName + "/Usage"
)

// handler has one method per RPC of the gRPC service.
type handler interface {
	gossip(s *Stream[Gossip, Gossip]) error
	deliverForward(s *Stream[RequestFrame, ResponseFrame]) error
	settle(req *SettleRequest) *SettleResponse
	ping(req *PingRequest) *PingResponse
	info(req *InfoRequest) *Info
	drain(req *DrainRequest) *DrainResponse
	reserve(req *baobabtide.KeyRecord) *baobabtide.KeyRecord
	resolve(req *baobabtide.KeyRecord) *ResolveResponse
	usage(req *btquota.Report) *btquota.Answer
	reportPanic(err *btpanic.Error)
}

// errInternal is the error of a call that has panicked. It proves nothing about the call.
var errInternal = status.Error(codes.Internal, "internal error")

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*handler)(nil),
	Methods: []grpc.MethodDesc{
		unary("Settle", handler.settle),
		unary("Ping", handler.ping),
		unary("Info", handler.info),
		unary("Drain", handler.drain),
		unary("Reserve", handler.reserve),
		unary("Resolve", handler.resolve),
		unary("Usage", handler.usage),
	},
	Streams: []grpc.StreamDesc{
		stream("Gossip", handler.gossip),
		stream("Forward", handler.deliverForward),
	},
}

// unary describes a method with one request and one response.
func unary[In, Out any](name string, call func(handler, *In) *Out) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := new(In)
			if err := decode(in); err != nil {
				return nil, err
			}
			h := srv.(handler)
			var out *Out
			if err := btpanic.Catch(name, h.reportPanic, func() { out = call(h, in) }); err != nil {
				return nil, errInternal
			}
			return out, nil
		},
	}
}

// stream describes a method with streams in both directions.
func stream[In, Out any](name string, call func(handler, *Stream[In, Out]) error) grpc.StreamDesc {
	return grpc.StreamDesc{
		StreamName:    name,
		ServerStreams: true,
		ClientStreams: true,
		Handler: func(srv any, s grpc.ServerStream) error {
			h := srv.(handler)
			var err error
			if panicked := btpanic.Catch(name, h.reportPanic, func() { err = call(h, &Stream[In, Out]{raw: s}) }); panicked != nil {
				return errInternal
			}
			return err
		},
	}
}

// rawStream is the common part of grpc.ClientStream and grpc.ServerStream.
type rawStream interface {
	Context() context.Context
	SendMsg(m any) error
	RecvMsg(m any) error
}

// Stream is a bidirectional gRPC stream that receives messages of type In and sends
// messages of type Out.
type Stream[In, Out any] struct {
	raw rawStream
}

// Context returns the stream's context.
func (s *Stream[In, Out]) Context() context.Context { return s.raw.Context() }

// Send sends one message and returns the error of the gRPC stream.
func (s *Stream[In, Out]) Send(m *Out) error { return s.raw.SendMsg(m) }

// Recv receives one message. It returns io.EOF when the other end has finished
// sending.
func (s *Stream[In, Out]) Recv() (*In, error) {
	m := new(In)
	if err := s.raw.RecvMsg(m); err != nil {
		return nil, err
	}
	return m, nil
}
