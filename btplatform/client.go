package btplatform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	maxResponseBytes = 16 << 20 // bytes of the body of a response
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second // after which an unused connection is closed
)

// Client implements baobabtide.Log over the log's HTTP interface. It uses one of the
// addresses until a call to it gets no response, then the next. All methods are safe for
// concurrent use.
type Client struct {
	Addresses []string      // host:port
	Timeout   time.Duration // of a call; the wait of a read is added to it

	http    fasthttp.Client
	current atomic.Uint32 // index of the address in use, modulo the number of addresses
	reads   atomic.Int64
	appends atomic.Int64
}

// NewClient returns a client for the given addresses, each host:port, and a
// function that closes its idle connections.
func NewClient(addresses []string, timeout time.Duration) (*Client, func()) {
	c := &Client{Addresses: addresses, Timeout: timeout}
	c.http = fasthttp.Client{
		Dial:                      dial,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
	}
	return c, c.http.CloseIdleConnections
}

// dial opens a connection to the log.
func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return btconn.NewRequestConn(c), nil
}

// CallCounts holds the numbers of calls to a log, including failed ones.
type CallCounts struct {
	Reads, Appends int64
}

// Calls returns the numbers of calls so far.
func (c *Client) Calls() CallCounts {
	return CallCounts{Reads: c.reads.Load(), Appends: c.appends.Load()}
}

// Append implements baobabtide.Log.
func (c *Client) Append(ctx context.Context, stream baobabtide.Stream, data []byte) (baobabtide.Entry, error) {
	c.appends.Add(1)
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(data)
	body, err := c.call(ctx, req, stream, "", c.Timeout)
	if err != nil {
		return baobabtide.Entry{}, fmt.Errorf("append to stream %q: %w", stream, err)
	}
	entry, err := btcodec.DecodeJSON[baobabtide.Entry](body)
	if err != nil {
		return baobabtide.Entry{}, fmt.Errorf("append to stream %q: %w: %w", stream, baobabtide.ErrUncertain, err)
	}
	return *entry, nil
}

// Read implements baobabtide.Log.
func (c *Client) Read(ctx context.Context, stream baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	c.reads.Add(1)
	req := &fasthttp.Request{}
	query := "?" + FromParam + "=" + strconv.FormatUint(uint64(from), 10) + "&" + WaitParam + "=" + wait.String()
	body, err := c.call(ctx, req, stream, query, c.Timeout+wait)
	if err != nil {
		if errors.Is(err, baobabtide.ErrUncertain) {
			err = fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, err)
		}
		return baobabtide.Page{}, fmt.Errorf("read stream %q from %d: %w", stream, from, err)
	}
	page, err := btcodec.DecodeJSON[baobabtide.Page](body)
	if err != nil {
		return baobabtide.Page{}, fmt.Errorf("read stream %q from %d: %w", stream, from, err)
	}
	return *page, nil
}

// call sends a request to the current address and returns the body of the response. It
// fails if the status is not 200. After a transport error later calls use the next
// address.
func (c *Client) call(ctx context.Context, req *fasthttp.Request, stream baobabtide.Stream, query string, timeout time.Duration) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, fmt.Errorf("%w: no address is configured", baobabtide.ErrUnavailable)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, err)
	}
	index := c.current.Load()
	address := c.Addresses[int(index)%len(c.Addresses)]
	req.SetRequestURI("http://" + address + StreamsPath + string(stream) + RecordsSuffix + query)
	resp := &fasthttp.Response{}
	if err := btconn.Do(ctx, &c.http, req, resp, c.effectiveTimeout(ctx, timeout)); err != nil {
		c.current.CompareAndSwap(index, index+1)
		return nil, transportError(err)
	}
	return responseBody(resp)
}

// effectiveTimeout returns the timeout, or the time until the context's deadline
// if that is shorter.
func (c *Client) effectiveTimeout(ctx context.Context, timeout time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(timeout, time.Until(deadline))
	}
	return timeout
}

// transportError wraps the error of a call that got no response:
// baobabtide.ErrUnavailable if nothing of it was sent, baobabtide.ErrUncertain if the log
// may have received the call.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, btconn.ErrUnreadInput) {
		return fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, err)
	}
	if errors.Is(err, fasthttp.ErrDialTimeout) {
		return fmt.Errorf("%w: %w", baobabtide.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", baobabtide.ErrUncertain, err)
}

// responseBody returns a copy of a response's body, or the error for a status other
// than 200.
func responseBody(resp *fasthttp.Response) ([]byte, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusGone:
		return nil, baobabtide.ErrRetention
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: status %d", baobabtide.ErrUnavailable, status)
	default:
		return nil, fmt.Errorf("%w: status %d: %s", baobabtide.ErrUncertain, status, resp.Body())
	}
}
