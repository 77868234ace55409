package btbackend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	maxAnnouncement = 16 << 10 // bytes of a request body
	maxAnnounceBody = 16 << 10 // bytes of the body of a response
	announceTimeout = time.Second
	stopTimeout     = 200 * time.Millisecond // short, as backend servers repeat their announcements
)

// NewAnnounceServer returns an HTTP server that receives announcements and
// records them in the registry, and a function that stops it, which waits up to
// stopTimeout for running requests.
func NewAnnounceServer(registry *Registry) (*fasthttp.Server, func()) {
	s := &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { handleAnnounce(ctx, registry) },
		MaxRequestBodySize:    maxAnnouncement,
		NoDefaultServerHeader: true,
		ReadTimeout:           time.Minute,
		Logger:                btconn.QuietLogger{},
	}
	return s, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.ShutdownWithContext(ctx)
	}
}

// handleAnnounce responds with 204 to an announcement that is recorded, 400 to an
// invalid one, 409 to one that the registry refuses and 404 to any other request.
func handleAnnounce(ctx *fasthttp.RequestCtx, registry *Registry) {
	if string(ctx.Path()) != AnnouncePath || !ctx.IsPost() {
		ctx.Error("no such page", fasthttp.StatusNotFound)
		return
	}
	a, err := btcodec.DecodeJSON[Announcement](ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !registry.Announce(*a, time.Now()) {
		ctx.Error("a later incarnation has announced itself", fasthttp.StatusConflict)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// ErrSuperseded is returned for an announcement that the node refused as outdated,
// for example because a later incarnation of the same name has announced itself.
var ErrSuperseded = errors.New("a later incarnation has announced itself")

// Announce sends an announcement to the node at an address, host:port, for use by
// backend servers written in Go. It returns ErrSuperseded if the node refuses the
// announcement as outdated, and another error if the node can't be reached within
// announceTimeout or refuses the announcement as invalid.
func Announce(address string, a *Announcement) error {
	body, err := btcodec.EncodeJSON(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + AnnouncePath)
	req.SetBodyRaw(body)
	if err := announceClient.DoTimeout(req, resp, announceTimeout); err != nil {
		return fmt.Errorf("announce to %s: %w", address, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusConflict:
		return ErrSuperseded
	default:
		return fmt.Errorf("announce to %s: status %d: %s", address, resp.StatusCode(), resp.Body())
	}
}

var announceClient = fasthttp.Client{
	Dial:                dialNode,
	MaxResponseBodySize: maxAnnounceBody,
}

// dialNode opens a connection to the node at an address.
func dialNode(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, announceTimeout)
	if err != nil {
		return nil, err
	}
	return btconn.NewRequestConn(c), nil
}
