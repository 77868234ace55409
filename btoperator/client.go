package btoperator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	clientTimeout = callTimeout + 2*time.Second // longer than the server takes, so that its error arrives
	dialTimeout   = 2 * time.Second

	maxResponseBytes = 64 << 20 // bytes of the body of a response; an audit holds the most
)

// Client calls the operator API of one node. It implements Node.
type Client struct {
	Address string // host:port

	http fasthttp.Client
}

var _ Node = (*Client)(nil)

// NewClient returns a client for the node at an address, host:port. A nil config
// means plaintext.
func NewClient(address string, config *tls.Config) *Client {
	c := &Client{Address: address}
	c.http = fasthttp.Client{
		Dial:                      func(addr string) (net.Conn, error) { return dial(addr, config) },
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
	}
	return c
}

// dial opens a connection to a node. The client's TLS would be above the check of heads.
func dial(address string, config *tls.Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	var c net.Conn
	var err error
	if config == nil {
		c, err = dialer.Dial("tcp", address)
	} else {
		c, err = tls.DialWithDialer(dialer, "tcp", address, config)
	}
	if err != nil {
		return nil, err
	}
	return btconn.NewCheckedConn(c), nil
}

// Publish implements Node.
func (c *Client) Publish(ctx context.Context, record *baobabtide.Record) (*PublishResult, error) {
	return post[PublishResult](ctx, c, pathPublish, record)
}

// Drain implements Node.
func (c *Client) Drain(ctx context.Context, req *DrainRequest) (*DrainResult, error) {
	return post[DrainResult](ctx, c, pathDrain, req)
}

// Clear implements Node.
func (c *Client) Clear(ctx context.Context, req *ClearRequest) (*ClearResult, error) {
	return post[ClearResult](ctx, c, pathClear, req)
}

// Quarantine implements Node.
func (c *Client) Quarantine(ctx context.Context) (*Quarantine, error) {
	return get[Quarantine](ctx, c, pathQuarantine)
}

// Status implements Node.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[Status](ctx, c, pathStatus)
}

// Contracts implements Node.
func (c *Client) Contracts(ctx context.Context) (*Contracts, error) {
	return get[Contracts](ctx, c, pathContracts)
}

// Accounts implements Node.
func (c *Client) Accounts(ctx context.Context) (*Accounts, error) {
	return get[Accounts](ctx, c, pathAccounts)
}

// Versions implements Node.
func (c *Client) Versions(ctx context.Context) (*Versions, error) {
	return get[Versions](ctx, c, pathVersions)
}

// Audit implements Node.
func (c *Client) Audit(ctx context.Context) (*Audit, error) {
	return get[Audit](ctx, c, pathAudit)
}

// post sends a request with a JSON body and decodes the response.
func post[Out any](ctx context.Context, c *Client, path string, in any) (*Out, error) {
	data, err := btcodec.EncodeJSON(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(data)
	return call[Out](ctx, c, req, path)
}

// get sends a request without a body and decodes the response.
func get[Out any](ctx context.Context, c *Client, path string) (*Out, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	return call[Out](ctx, c, req, path)
}

// call sends a request and decodes the response. It waits until the deadline of ctx,
// for clientTimeout at most; a cancellation of ctx does not end it. An error response
// of the node is returned as an *Error.
func call[Out any](ctx context.Context, c *Client, req *fasthttp.Request, path string) (*Out, error) {
	req.SetRequestURI("http://" + c.Address + path)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	timeout := clientTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, transportError(c.Address, err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		out, err := btcodec.DecodeJSON[Out](resp.Body())
		if err != nil {
			return nil, fmt.Errorf("decode response of node at %s: %w", c.Address, err)
		}
		return out, nil
	}
	body, err := btcodec.DecodeJSON[ErrorBody](resp.Body())
	if err != nil {
		return nil, fmt.Errorf("node at %s responded with status %d", c.Address, resp.StatusCode())
	}
	return nil, &Error{Code: body.Code, Err: errors.New(body.Message)}
}

// transportError returns the error of a call without a response. Only a failed dial
// proves that the call had no effect.
func transportError(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Code: CodeUnavailable, Err: fmt.Errorf("reach node at %s: %w", address, err)}
	}
	return &Error{Code: CodeUncertain, Err: fmt.Errorf("call node at %s: %w", address, err)}
}
