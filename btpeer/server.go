package btpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btpanic"
	"github.com/baobabtide/baobabtide/btquota"
)

const (
	bufferSize        = 8 << 10                // bytes of each read and write buffer of a connection
	keepaliveTime     = 10 * time.Second       // idle time before a client sends a keepalive ping
	keepaliveTimeout  = 3 * time.Second        // to respond to a keepalive ping
	minKeepaliveTime  = 5 * time.Second        // interval of keepalive pings that the server tolerates
	stopTimeout       = 200 * time.Millisecond // for connections on which a node that stops has nothing left to do
	maxServerStreams  = 1 << 14                // per connection
	streamWorkers     = 32                     // goroutines that keep their stacks between calls; further calls get one of their own
	maxHeaderListSize = 64 << 10               // bytes
)

// Node handles the calls that a Server receives from other nodes.
type Node interface {
	baobabtide.Admitter
	// Gossip serves a connection that another node has opened until it ends.
	Gossip(conn *Stream[Gossip, Gossip]) error
	// ReserveKey records an idempotency key on behalf of the node that is about to
	// begin its attempt. It returns the record of another attempt that this node has
	// stored under the key. If there is none, the state of the returned record is
	// KeyFree, or KeyInDoubt if this node can store no more keys.
	ReserveKey(key baobabtide.KeyRecord) baobabtide.KeyRecord
	// ResolveKey records how the attempt with a reserved key ended.
	ResolveKey(key baobabtide.KeyRecord)
	// Usage takes a report on the demand of accounts and returns the answer.
	Usage(report *btquota.Report) *btquota.Answer
	// Process returns a number that differs for each start of the node's process.
	Process() uint64
	// Info returns the status of the node.
	Info() Info
	// Drain starts to drain and stop the node and returns the number of requests
	// that are still running.
	Drain(reason string) int
}

// Server is the gRPC server for calls of other nodes.
type Server struct {
	Pacer   *Pacer         // for the bodies of responses, set before Serve
	OnPanic btpanic.Report // called for each panic in a call, set before Serve

	grpc  *grpc.Server
	node  Node
	bytes *ByteCounter

	conns       serverConns
	undelivered atomic.Int64 // see Undelivered
}

// NewServer returns a server and a function that stops it within stopTimeout. A nil
// config means plaintext.
func NewServer(node Node, config *tls.Config, bytes *ByteCounter) (*Server, func()) {
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxServerStreams),
		grpc.NumStreamWorkers(streamWorkers),
		grpc.MaxHeaderListSize(maxHeaderListSize),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connWindow),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.StatsHandler(bytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime, PermitWithoutStream: true}),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	s := &Server{grpc: grpc.NewServer(options...), node: node, bytes: bytes}
	s.grpc.RegisterService(&serviceDesc, s)
	return s, s.stop
}

// Serve accepts connections on l until the server is stopped.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(serverListener{Listener: l, conns: &s.conns}); err != nil {
		return fmt.Errorf("serve peers on %s: %w", l.Addr(), err)
	}
	return nil
}

// stop stops the server within stopTimeout.
func (s *Server) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.Stop(ctx)
}

func (s *Server) reportPanic(err *btpanic.Error) {
	if s.OnPanic != nil {
		s.OnPanic(err)
	}
}

func (s *Server) gossip(conn *Stream[Gossip, Gossip]) error { return s.node.Gossip(conn) }

func (s *Server) settle(req *SettleRequest) *SettleResponse {
	if req.Process != s.node.Process() {
		return &SettleResponse{Verdict: baobabtide.MayHaveRun} // the attempts of an earlier process are not known
	}
	return &SettleResponse{Verdict: s.node.SettleLocal(req.Attempt)}
}

func (s *Server) reserve(req *baobabtide.KeyRecord) *baobabtide.KeyRecord {
	stored := s.node.ReserveKey(*req)
	return &stored
}

func (s *Server) resolve(req *baobabtide.KeyRecord) *ResolveResponse {
	s.node.ResolveKey(*req)
	return &ResolveResponse{}
}

func (s *Server) usage(req *btquota.Report) *btquota.Answer { return s.node.Usage(req) }

func (s *Server) ping(*PingRequest) *PingResponse { return &PingResponse{} }

func (s *Server) info(*InfoRequest) *Info {
	info := s.node.Info()
	return &info
}

func (s *Server) drain(req *DrainRequest) *DrainResponse {
	return &DrainResponse{InFlight: s.node.Drain(req.Reason)}
}

// forward serves one request that another node forwards to a target of this node.
func (s *Server) forward(stream *Stream[RequestFrame, ResponseFrame]) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive request: %w", err)
	}
	if first.Head == nil {
		return fmt.Errorf("first frame of a request has no head")
	}
	deadline := time.Now().Add(time.Duration(first.Head.TimeoutMicros) * time.Microsecond)
	ctx, cancel := context.WithDeadline(stream.Context(), deadline)
	defer cancel()
	req := first.Head.request(deadline)
	if !first.Last || len(first.Body) > 0 {
		req.Body = &requestBody{stream: stream, part: first.Body, last: first.Last}
	}
	resp, err := s.node.Admit(ctx, first.Head.Target, first.Head.TargetIncarnation, req)
	if err != nil {
		return stream.Send(&ResponseFrame{Refusal: refusalOf(err), Last: true})
	}
	defer resp.Body.Close()
	return sendResponse(stream, resp, s.Pacer)
}

// refusalOf returns the refusal that reports an error of Admit.
func refusalOf(err error) *Refusal {
	re := baobabtide.AsRequestError(err)
	refusal := &Refusal{
		Verdict:          re.Verdict,
		Reason:           re.Reason,
		RetryAfterMicros: re.RetryAfter.Microseconds(),
		Load:             re.Load,
		Reached:          re.Reached,
		Crashed:          re.Crashed,
	}
	if re.Err != nil {
		refusal.Message = re.Err.Error()
	}
	return refusal
}

// request returns the request without its body. The deadline is the local time that
// corresponds to TimeoutMicros.
func (h *RequestHead) request(deadline time.Time) *baobabtide.Request {
	objective := time.Time{}
	if h.ObjectiveMicros != 0 {
		margin := time.Duration(h.TimeoutMicros-h.ObjectiveMicros) * time.Microsecond
		objective = deadline.Add(-margin)
	}
	return &baobabtide.Request{
		Objective:  objective,
		Late:       h.Late,
		RateLimit:  h.RateLimit,
		Account:    h.Account,
		AccountUse: h.AccountUse,
		MaxWait:    time.Duration(h.MaxWaitMicros) * time.Microsecond,
		Digest:     h.Digest,
		ID:         h.ID,
		Origin:     h.Origin,
		Host:       h.Host,
		Attempt:    h.Attempt,
		Customer:   h.Customer,
		Service:    h.Service,
		Version:    h.Version,
		Route:      h.Route,
		Key:        h.Key,
		Idempotent: h.Idempotent,
		Priority:   h.Priority,
		Rollout:    h.Rollout,
		Method:     h.Method,
		Target:     h.Path,
		Header:     h.Header,
		BodyLength: h.BodyLength,
		Deadline:   deadline,
		Depth:      h.Depth,
		Retried:    h.Retried,
	}
}
