package btcaller

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
)

const (
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	noBody           = -2 // fasthttp's content length of a request without a body
)

// request converts a caller's request, without its body. It refuses a request
// with an invalid key, target, timeout or depth.
func (s *Server) request(in *fasthttp.Request) (*baobabtide.Request, *baobabtide.RequestError) {
	n := &s.Names
	req := n.newRequest(in)
	req.ID = peek(in, n.RequestID)
	req.Customer = peek(in, n.Customer)
	req.Key = peek(in, n.Key)
	req.Host = hostName(string(in.Header.Host()))
	req.Method = string(in.Header.Method())
	req.Target = string(in.Header.RequestURI())
	req.Retried = peek(in, n.Retried) != ""
	if s.Origin != nil {
		req.Origin = s.Origin()
	}
	if req.Customer == "" {
		req.Customer = s.limits.DefaultCustomer
	}
	if len(req.Key) > maxKeyLength {
		return nil, badRequest("%s exceeds %d bytes", n.Key, maxKeyLength)
	}
	if len(req.Target) == 0 || req.Target[0] != '/' {
		return nil, badRequest("request target %q does not start with /", req.Target)
	}
	var err *baobabtide.RequestError
	if req.Deadline, err = deadline(n.Timeout, peek(in, n.Timeout)); err != nil {
		return nil, err
	}
	if req.Depth, err = depth(n.Depth, peek(in, n.Depth)); err != nil {
		return nil, err
	}
	req.Header = n.forwardedHeader(in)
	return req, nil
}

// peek returns the value of a header. It returns an empty string for an empty
// name.
func peek(in *fasthttp.Request, name string) string {
	if name == "" {
		return ""
	}
	return string(in.Header.Peek(name))
}

// hostName returns the host of a Host header in lower case, without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func badRequest(format string, args ...any) *baobabtide.RequestError {
	return baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, fmt.Errorf(format, args...))
}

// deadline parses a timeout in milliseconds and returns the time at which it
// expires. An empty text and longer ones stand for maxTimeout. The name is that of
// the header.
func deadline(name, text string) (time.Time, *baobabtide.RequestError) {
	now := time.Now()
	if text == "" {
		return now.Add(maxTimeout), nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		err = nil // millis is the nearest number
	}
	if err != nil || millis <= 0 {
		return time.Time{}, badRequest("%s %q is not a positive integer", name, text)
	}
	return now.Add(time.Duration(min(millis, maxTimeout.Milliseconds())) * time.Millisecond), nil
}

// depth parses the depth of a call, 0 for an empty text. The name is that of the
// header.
func depth(name, text string) (int, *baobabtide.RequestError) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, badRequest("%s %q is not a non-negative integer", name, text)
	}
	return n, nil
}

// forwardedHeader returns the headers that are sent to the backend server. Those
// that the Connection header lists are hop-by-hop and left out.
func (n *HeaderNames) forwardedHeader(in *fasthttp.Request) []baobabtide.HeaderField {
	connection := string(in.Header.Peek(fasthttp.HeaderConnection))
	fields := make([]baobabtide.HeaderField, 0, in.Header.Len())
	for name, value := range in.Header.All() {
		if !n.forwarded(string(name)) || listContains(connection, string(name)) {
			continue
		}
		fields = append(fields, baobabtide.HeaderField{Name: string(name), Value: string(value)})
	}
	return fields
}

// listContains reports whether a comma-separated list contains a name, ignoring
// case.
func listContains(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

// readBody reads a body of known length up to maxBufferedBody into memory, so
// that it can be sent again, and sets up ex.stream for any other. It sets the body of req.
// It fails if the body exceeds the limit, or has both a length and a transfer encoding.
func (c *conn) readBody(ex *exchange, in *fasthttp.Request, req *baobabtide.Request, limits bounds) error {
	length := in.Header.ContentLength()
	if err := checkBody(in, length, limits); err != nil {
		return err
	}
	streamed := length > maxBufferedBody || (length < 0 && length != noBody)
	if streamed {
		if err := c.reserveStream(ex, req); err != nil {
			return err
		}
	}
	if in.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return err
		}
	}
	switch {
	case streamed:
		return c.streamBody(ex, in, req, limits)
	case length > 0:
		return c.bufferBody(ex, req, length)
	}
	return nil
}

// checkBody returns an error for a body of invalid or too large a length.
func checkBody(in *fasthttp.Request, length int, limits bounds) error {
	if length > 0 && len(in.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return errors.New("body has both a content length and a transfer encoding")
	}
	if length > limits.bodyBytes {
		return baobabtide.Refuse(baobabtide.ReasonTooLarge, 0, fmt.Errorf("body of %d bytes exceeds %d", length, limits.bodyBytes))
	}
	return nil
}

// streamBody sets up ex.stream as the body of a request. Under a memory limit it reads the start,
// so that a request whose caller sends little of the body takes no slot of a backend server.
func (c *conn) streamBody(ex *exchange, in *fasthttp.Request, req *baobabtide.Request, limits bounds) error {
	length := in.Header.ContentLength()
	if length > 0 {
		ex.stream = newStreamBody(c, &lengthReader{reader: c.reader, left: int64(length)}, int64(length), limits)
	} else {
		if len(in.Header.PeekTrailerKeys()) > 0 && c.reader.Size() < limits.headerBytes && !c.growReader(limits.headerBytes) {
			return c.noMemory() // the trailers are parsed in the read buffer
		}
		if err := in.ContinueReadBodyStream(c.reader, limits.bodyBytes, false); err != nil {
			return fmt.Errorf("body: %w", unexpectedEOF(err))
		}
		ex.stream = newStreamBody(c, &chunkReader{reader: c.reader, body: in.BodyStream()}, int64(length), limits)
	}
	ex.stream.deadline = req.Deadline
	req.Body, req.BodyLength = ex.stream, ex.stream.length
	if ex.streaming {
		if err := ex.stream.readStart(); err != nil {
			ex.stream = nil
			return c.inputError(fmt.Errorf("body: %w", unexpectedEOF(err)))
		}
	}
	return nil
}

// reserveStream reserves the memory of a streamed body. Under a memory limit it first waits until
// a place in Server.streams is free.
func (c *conn) reserveStream(ex *exchange, req *baobabtide.Request) error {
	if c.server.limits.Strict && c.server.hasRoute(req) {
		late := c.readPace.pause(time.Now()) // the wait is not the caller's
		ex.streaming = c.server.acquireStream()
		c.readPace.resume(time.Now(), late)
		c.setPlace(ex.streaming)
		if !ex.streaming {
			c.reportRefusal(ManyStreams, 0)
			return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("too many bodies arrive at the same time"))
		}
	}
	c.readPace.body = true
	if !ex.reserve(btbudget.Body, btbudget.General, streamCost) {
		return c.noMemory()
	}
	return nil
}

// bufferBody reads a body of known length into memory. That of a request without a route is
// discarded. It moves the deadline of the request by the time that the body took.
func (c *conn) bufferBody(ex *exchange, req *baobabtide.Request, length int) error {
	began := time.Now()
	if !c.server.hasRoute(req) {
		if err := c.discardBody(length); err != nil {
			return err
		}
		if c.server.hasRoute(req) { // the configuration has arrived meanwhile
			return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("the route is newer than the request"))
		}
		req.Body, req.BodyLength = discardedBody{}, int64(length)
		return nil
	}
	class := btbudget.General
	if length <= max(smallBody, c.reader.Buffered()) {
		class = btbudget.Ordinary
	}
	if !ex.reserve(btbudget.Body, class, int64(length)) {
		return c.noMemory()
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(c.reader, data); err != nil {
		return c.inputError(fmt.Errorf("body: %w", unexpectedEOF(err)))
	}
	req.Body, req.BodyLength = &baobabtide.BytesBody{Data: data}, int64(length)
	req.Deadline = req.Deadline.Add(time.Since(began))
	return nil
}

// discardBody reads a body and keeps nothing of it.
func (c *conn) discardBody(length int) error {
	if _, err := c.reader.Discard(length); err != nil {
		return c.inputError(fmt.Errorf("body: %w", unexpectedEOF(err)))
	}
	return nil
}

// hasRoute reports whether a request has a route, true if that is not known.
func (s *Server) hasRoute(req *baobabtide.Request) bool {
	return s.HasRoute == nil || s.HasRoute(req)
}

// writeContinue sends 100 Continue, unless earlier requests are pending: it would
// then precede their responses. Only readLoop, which calls it, adds pending requests, so nothing
// else is written meanwhile.
func (c *conn) writeContinue() error {
	c.mu.Lock()
	skip := c.pending > 0
	c.mu.Unlock()
	if skip {
		return nil
	}
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil { // that of the last response may have passed
		return err
	}
	_, err := io.WriteString(c.socket, continueResponse)
	return err
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a body that ends
// early is not taken for a connection that was closed between two requests.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
