package btpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btclock"
	"github.com/baobabtide/baobabtide/btquota"
)

const (
	idleTimeout    = time.Minute            // without calls before a connection is closed
	dialTimeout    = 500 * time.Millisecond // a lost SYN is only retransmitted after seconds; a new attempt is faster
	settleTimeout  = time.Second            // of a settle call, including its new connection
	firstBodyPart  = 32 << 10               // maximum bytes of body in the first frame, with the head
	streamWindow   = 256 << 10              // bytes in flight of one body; fixed, as gRPC otherwise pings with each message to measure the link
	connWindow     = 1 << 20                // bytes in flight on a connection
	reconnectDelay = 100 * time.Millisecond // after the first failed attempt
	reconnectMax   = 500 * time.Millisecond // upper limit after repeated failed attempts
)

// Client calls other nodes. It keeps one shared connection per address for requests;
// each gossip stream and each settle call has a connection of its own. It is safe
// for concurrent use.
type Client struct {
	// Unresponsive is called for each shared connection that is given up, nil for none.
	Unresponsive func(UnresponsiveConn)
	// Pacer delays the bodies of requests. It must be set before the first call.
	Pacer *Pacer
	// Suspects counts the times that a shared connection became suspect.
	Suspects atomic.Int64

	credentials credentials.TransportCredentials
	bytes       *ByteCounter
	dialer      func(ctx context.Context, address string) (net.Conn, error)

	silenceLimit time.Duration // for requests without any sign of life of their node

	mu          sync.Mutex
	sharedConns map[string]*sharedConn // by address
	closed      bool                   // no connection is shared any more
}

// NewClient returns a client and a function that closes its shared connections. A
// nil config means plaintext. A non-nil source is the local IP address of all
// connections. Requests in flight are given up after silenceLimit without any sign of
// life of their node, sooner if Pacer is set.
func NewClient(config *tls.Config, bytes *ByteCounter, source net.IP, silenceLimit time.Duration) (*Client, func()) {
	c := &Client{
		dialer:       tcpDialer(source),
		silenceLimit: silenceLimit,
		credentials:  insecure.NewCredentials(),
		bytes:        bytes,
		sharedConns:  make(map[string]*sharedConn),
	}
	if config != nil {
		c.credentials = credentials.NewTLS(config)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, s := range c.sharedConns {
		_ = s.conn.Close()
		delete(c.sharedConns, address)
	}
}

// dial returns a new connection, which is established by its first call. If lastRead is
// not nil, it is set whenever data arrives.
func (c *Client) dial(address string, lastRead *btclock.Instant) (*grpc.ClientConn, error) {
	dialer := c.dialer
	if lastRead != nil {
		dialer = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := c.dialer(ctx, address)
			if err != nil {
				return nil, err
			}
			return monitoredConn{Conn: conn, lastRead: lastRead}, nil
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(codec{}), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(dialer),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithStatsHandler(c.bytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, Jitter: 0.5, MaxDelay: reconnectMax},
			MinConnectTimeout: dialTimeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("dial node at %s: %w", address, err)
	}
	return conn, nil
}

// tcpDialer returns a function that opens TCP connections from a local address, nil for
// any.
func tcpDialer(source net.IP) func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{}
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// IsConnRefused reports whether err shows that the connection was refused because no
// process listens on the address.
func IsConnRefused(err error) bool {
	// gRPC reports the cause of a failed connection only as text.
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "connection refused")
}

// conn returns the gRPC connection of the shared connection to an address.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.sharedConn(address)
	if err != nil {
		return nil, err
	}
	return s.conn, nil
}

// track adds a request to those in flight on the shared connection to an address. It
// returns the connection and a function that removes the request.
func (c *Client) track(address string, cancel context.CancelCauseFunc) (*grpc.ClientConn, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.sharedConn(address)
	if err != nil {
		return nil, nil, err
	}
	return s.conn, s.track(cancel), nil
}

// sharedConn returns the shared connection to an address with its state, and creates it
// if there is none. The caller holds c.mu.
func (c *Client) sharedConn(address string) (*sharedConn, error) {
	if s, ok := c.sharedConns[address]; ok {
		return s, nil
	}
	s := newSharedConn(c, address)
	conn, err := c.dial(address, &s.lastRead)
	if err != nil {
		return nil, err
	}
	s.conn = conn
	c.sharedConns[address] = s
	return s, nil
}

// removeSharedConn makes new calls open another connection than s.
func (c *Client) removeSharedConn(s *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sharedConns[s.address] == s {
		delete(c.sharedConns, s.address)
	}
}

// limit returns the time for which a request waits for a node that responds on no
// connection.
func (c *Client) limit() time.Duration {
	if c.Pacer != nil {
		return min(pacedSilence, c.silenceLimit)
	}
	return c.silenceLimit
}

// shareAgain makes new calls use a connection that was suspect, unless another one has
// been established in its place.
func (c *Client) shareAgain(s *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	other := c.sharedConns[s.address]
	if c.closed || (other != nil && other.conn.GetState() == connectivity.Ready) {
		return
	}
	c.sharedConns[s.address] = s
	s.mu.Lock()
	s.suspect = false
	s.mu.Unlock()
	if other != nil {
		other.retire()
	}
}

// ping returns nil once the node at an address has responded to a ping on its shared
// connection.
func (c *Client) ping(ctx context.Context, address string) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	_, err = call[PingRequest, PingResponse](ctx, conn, pingMethod, &PingRequest{}, grpc.WaitForReady(true))
	return err
}

// GossipConn is the stream of a gossip connection that this node has opened.
type GossipConn = Stream[Gossip, Gossip]

// Gossip opens a gossip stream on a separate connection to an address and returns it
// with a function that closes both.
func (c *Client) Gossip(ctx context.Context, address string) (*GossipConn, func(), error) {
	conn, err := c.dial(address, nil)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	end := func() {
		cancel()
		_ = conn.Close()
	}
	raw, err := conn.NewStream(ctx, &serviceDesc.Streams[0], gossipMethod)
	if err != nil {
		end()
		return nil, nil, fmt.Errorf("open gossip stream to %s: %w", address, err)
	}
	return &GossipConn{raw: raw}, end, nil
}

// call makes a unary call on a connection and returns the response.
func call[In, Out any](ctx context.Context, conn *grpc.ClientConn, method string, in *In, options ...grpc.CallOption) (*Out, error) {
	out := new(Out)
	if err := conn.Invoke(ctx, method, in, out, options...); err != nil {
		return nil, fmt.Errorf("call %s: %w", method, err)
	}
	return out, nil
}

// callShared makes a unary call on the shared connection to an address, which stays open
// until the call has ended.
func callShared[In, Out any](ctx context.Context, c *Client, address, method string, in *In) (*Out, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, untrack, err := c.track(address, cancel)
	if err != nil {
		return nil, err
	}
	defer untrack()
	return call[In, Out](ctx, conn, method, in)
}

// Info returns the status of the node at an address.
func (c *Client) Info(ctx context.Context, address string) (*Info, error) {
	return callShared[InfoRequest, Info](ctx, c, address, infoMethod, &InfoRequest{})
}

// Drain tells the node at an address to drain its requests and stop, for the
// given reason. It returns once the node admits no new requests.
func (c *Client) Drain(ctx context.Context, address, reason string) (*DrainResponse, error) {
	return callShared[DrainRequest, DrainResponse](ctx, c, address, drainMethod, &DrainRequest{Reason: reason})
}

// Reserve stores the record of an idempotency key on the node at an address, before
// the attempt begins. It returns the record of another attempt that the node has
// stored under the key. If there is none, the state of the returned record is KeyFree,
// or KeyInDoubt if the node can store no more keys.
func (c *Client) Reserve(ctx context.Context, address string, key baobabtide.KeyRecord) (baobabtide.KeyRecord, error) {
	stored, err := callShared[baobabtide.KeyRecord, baobabtide.KeyRecord](ctx, c, address, reserveMethod, &key)
	if err != nil {
		return baobabtide.KeyRecord{}, err
	}
	return *stored, nil
}

// Resolve reports to the node at an address how the attempt with a reserved key ended.
func (c *Client) Resolve(ctx context.Context, address string, key baobabtide.KeyRecord) error {
	_, err := callShared[baobabtide.KeyRecord, ResolveResponse](ctx, c, address, resolveMethod, &key)
	return err
}

// Usage sends a report on the demand of accounts to the node at an address.
func (c *Client) Usage(ctx context.Context, address string, report *btquota.Report) (*btquota.Answer, error) {
	return callShared[btquota.Report, btquota.Answer](ctx, c, address, usageMethod, report)
}

// Settle implements baobabtide.Forwarder. It uses a new connection, because the one
// on which the response was lost may no longer carry data. On errors the verdict is
// MayHaveRun.
func (c *Client) Settle(ctx context.Context, target baobabtide.TargetRef, attempt string) (baobabtide.Verdict, error) {
	conn, err := c.dial(target.Address, nil)
	if err != nil {
		return baobabtide.MayHaveRun, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	resp, err := call[SettleRequest, SettleResponse](ctx, conn, settleMethod, &SettleRequest{Attempt: attempt, Process: target.Process})
	if err != nil {
		return baobabtide.MayHaveRun, err
	}
	return resp.Verdict, nil
}
