package btpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/baobabtide/baobabtide"
)

const (
	idleTimeout    = time.Minute
	dialTimeout    = 500 * time.Millisecond // a lost opening packet is sent again after seconds, so a new attempt is faster
	settleTimeout  = time.Second
	firstBodyPart  = 32 << 10 // bytes of body that travel with the head
	reconnectDelay = 100 * time.Millisecond
	reconnectMax   = 500 * time.Millisecond
)

// Client calls other nodes. It keeps one connection per address for requests.
type Client struct {
	credentials credentials.TransportCredentials
	bytes       *ByteCounter
	source      net.IP

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client and a function that closes its connections. A nil
// config means plaintext. Connections leave from the source address, or from
// any where it is nil.
func NewClient(config *tls.Config, bytes *ByteCounter, source net.IP) (*Client, func()) {
	c := &Client{
		source:      source,
		credentials: insecure.NewCredentials(),
		bytes:       bytes,
		links:       make(map[string]*link),
	}
	if config != nil {
		c.credentials = credentials.NewTLS(config)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		_ = l.conn.Close()
		delete(c.links, address)
	}
}

// dial returns a connection that is opened with its first call.
func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(codec{}), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(c.dialTCP),
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

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{}
	if c.source != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	return d.DialContext(ctx, "tcp", address)
}

// Refused tells whether an error shows that no process listens at an address.
func Refused(err error) bool {
	// gRPC reports the cause of a failed connection as text only.
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "connection refused")
}

// conn returns the shared connection to an address.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	l, err := c.link(address)
	if err != nil {
		return nil, err
	}
	return l.conn, nil
}

func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[address]; ok {
		return l, nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, err
	}
	l := newLink(conn)
	c.links[address] = l
	return l, nil
}

// Replace drops the shared connection to an address. Calls on it go on for a
// grace period; new calls open a new one.
func (c *Client) Replace(address string, grace time.Duration) {
	c.mu.Lock()
	l, ok := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if ok {
		time.AfterFunc(grace, func() { _ = l.conn.Close() })
	}
}

// replaceLink is Replace for a link that went silent, unless another one has
// taken its place.
func (c *Client) replaceLink(address string, silent *link) {
	c.mu.Lock()
	if c.links[address] == silent {
		delete(c.links, address)
	}
	c.mu.Unlock()
	_ = silent.conn.Close()
}

// GossipConn is a gossip connection that this node has opened.
type GossipConn = Stream[Gossip, Gossip]

// Gossip opens a gossip connection of its own and returns a function that
// closes it.
func (c *Client) Gossip(ctx context.Context, address string) (*GossipConn, func(), error) {
	conn, err := c.dial(address)
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
		return nil, nil, fmt.Errorf("open gossip with %s: %w", address, err)
	}
	return &GossipConn{raw: raw}, end, nil
}

// call makes a unary call on a connection.
func call[In, Out any](ctx context.Context, conn *grpc.ClientConn, method string, in *In) (*Out, error) {
	out := new(Out)
	if err := conn.Invoke(ctx, method, in, out); err != nil {
		return nil, fmt.Errorf("call %s: %w", method, err)
	}
	return out, nil
}

// Info asks a node about itself.
func (c *Client) Info(ctx context.Context, address string) (*Info, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return call[InfoRequest, Info](ctx, conn, infoMethod, &InfoRequest{})
}

// Drain tells a node to stop in a planned way.
func (c *Client) Drain(ctx context.Context, address, reason string) (*DrainResponse, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return call[DrainRequest, DrainResponse](ctx, conn, drainMethod, &DrainRequest{Reason: reason})
}

// Reserve notes a key at the node at an address.
func (c *Client) Reserve(ctx context.Context, address string, key baobabtide.KeyRecord) (baobabtide.KeyRecord, error) {
	conn, err := c.conn(address)
	if err != nil {
		return baobabtide.KeyRecord{}, err
	}
	known, err := call[baobabtide.KeyRecord, baobabtide.KeyRecord](ctx, conn, reserveMethod, &key)
	if err != nil {
		return baobabtide.KeyRecord{}, err
	}
	return *known, nil
}

// Resolve tells the node at an address how the attempt of a key ended.
func (c *Client) Resolve(ctx context.Context, address string, key baobabtide.KeyRecord) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	_, err = call[baobabtide.KeyRecord, ResolveResponse](ctx, conn, resolveMethod, &key)
	return err
}

// Settle implements baobabtide.Forwarder. It uses a new connection because the
// one that lost the answer may be silent.
func (c *Client) Settle(ctx context.Context, target baobabtide.TargetRef, attempt string) (baobabtide.Verdict, error) {
	conn, err := c.dial(target.Address)
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
