package btcaller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

const (
	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
	noBody       = -2 // fasthttp's length of a request without one
)

// request reads what the caller asks for. Its errors touch no backend server.
func (s *Server) request(in *fasthttp.Request) (*baobabtide.Request, *baobabtide.RequestError) {
	n := &s.Names
	req := &baobabtide.Request{
		ID:       peek(in, n.RequestID),
		Customer: peek(in, n.Customer),
		Key:      peek(in, n.Key),
		Host:     hostName(string(in.Header.Host())),
		Method:   string(in.Header.Method()),
		Target:   string(in.Header.RequestURI()),
		Retried:  peek(in, n.Retried) != "",
	}
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

// peek returns a header's value, and an empty string for an empty name.
func peek(in *fasthttp.Request, name string) string {
	if name == "" {
		return ""
	}
	return string(in.Header.Peek(name))
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func badRequest(format string, args ...any) *baobabtide.RequestError {
	return baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, fmt.Errorf(format, args...))
}

func deadline(name, text string) (time.Time, *baobabtide.RequestError) {
	now := time.Now()
	if text == "" {
		return now.Add(maxTimeout), nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return time.Time{}, badRequest("%s %q is not a number from 1 to %d", name, text, maxTimeout.Milliseconds())
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

func depth(name, text string) (int, *baobabtide.RequestError) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, badRequest("%s %q is not a number from 0", name, text)
	}
	return n, nil
}

// forwardedHeader copies the header lines that the backend server gets. Those
// that the Connection header names hold for the caller's connection only.
func (n *HeaderNames) forwardedHeader(in *fasthttp.Request) []baobabtide.HeaderField {
	connection := string(in.Header.Peek(fasthttp.HeaderConnection))
	fields := make([]baobabtide.HeaderField, 0, in.Header.Len())
	for name, value := range in.Header.All() {
		if !n.forwarded(string(name)) || namedIn(connection, string(name)) {
			continue
		}
		fields = append(fields, baobabtide.HeaderField{Name: string(name), Value: string(value)})
	}
	return fields
}

// namedIn tells whether a list of names separated by commas holds a name.
func namedIn(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

// readBody keeps a short body in memory, so that it can be sent again, and
// leaves a long one to be streamed.
func (c *conn) readBody(x *exchange, in *fasthttp.Request, limits bounds) error {
	length := in.Header.ContentLength()
	if length > 0 && len(in.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return errors.New("the body has both a length and a transfer encoding")
	}
	if length > limits.body {
		return baobabtide.Refuse(baobabtide.ReasonTooLarge, 0, fmt.Errorf("body of %d bytes exceeds %d", length, limits.body))
	}
	if in.MayContinue() {
		if err := c.sayContinue(); err != nil {
			return err
		}
	}
	if length == noBody {
		return nil
	}
	if length >= 0 && length <= bufferedBody {
		if err := in.ContinueReadBody(c.reader, limits.body); err != nil {
			return fmt.Errorf("body: %w", noEOF(err))
		}
		return nil
	}
	if err := in.ContinueReadBodyStream(c.reader, limits.body, false); err != nil {
		return fmt.Errorf("body: %w", noEOF(err))
	}
	x.stream = newStreamBody(in.BodyStream(), int64(length), int64(limits.body))
	return nil
}

// sayContinue asks for the body of a request, unless earlier answers are still
// due, which would come after it.
func (c *conn) sayContinue() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return nil
	}
	_, err := io.WriteString(c.socket, continueLine)
	return err
}

// noEOF keeps a body that ends early from passing for a caller that has left
// between two requests.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// requestBody returns the body of a request and its length.
func requestBody(x *exchange, in *fasthttp.Request) (baobabtide.Body, int64) {
	if x.stream != nil {
		return x.stream, x.stream.length
	}
	data := in.Body()
	if len(data) == 0 {
		return nil, 0
	}
	return &baobabtide.BytesBody{Data: bytes.Clone(data)}, int64(len(data))
}
