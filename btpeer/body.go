package btpeer

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/baobabtide/baobabtide"
)

// requestBody reads the body of a forwarded request from its frames.
type requestBody struct {
	conn *Stream[RequestFrame, ResponseFrame]
	part []byte
	last bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		if b.last {
			return 0, io.EOF
		}
		frame, err := b.conn.Recv()
		if err != nil {
			return 0, fmt.Errorf("receive request body: %w", noEOF(err))
		}
		b.part, b.last = frame.Body, frame.Last
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// Rewind implements baobabtide.Body.
func (b *requestBody) Rewind() bool { return false }

// noEOF keeps a stream that ended early from passing for a whole body.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var partPool = sync.Pool{New: func() any { return new([maxBodyPart]byte) }}

// sendResponse sends an answer frame by frame. A short answer takes one frame.
func sendResponse(conn *Stream[RequestFrame, ResponseFrame], resp *baobabtide.Response) error {
	buf := partPool.Get().(*[maxBodyPart]byte)
	defer partPool.Put(buf)
	head := &ResponseHead{
		Status:  resp.Status,
		Header:  resp.Header,
		Length:  resp.Length,
		Version: resp.Version,
		Load:    resp.Load,

		Excused:    resp.Excused,
		TookMicros: resp.Took.Microseconds(),
	}
	for {
		n, err := readPart(resp.Body, buf[:])
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			return fmt.Errorf("read answer of backend server: %w", err)
		}
		if err := conn.Send(&ResponseFrame{Head: head, Body: buf[:n], Last: last}); err != nil {
			return fmt.Errorf("send answer: %w", err)
		}
		if last {
			return nil
		}
		head = nil
	}
}

// readPart fills p as far as one more read gets without waiting for a whole
// part of a slow body. It returns io.EOF with the last part.
func readPart(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
		if n >= len(p)/2 {
			return n, nil
		}
	}
	return n, nil
}

// responseBody reads the body of a forwarded answer from its frames. Only a
// frame marked as the last one ends it with io.EOF.
type responseBody struct {
	conn *Stream[ResponseFrame, RequestFrame]
	part []byte
	last bool
	end  func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		if b.last {
			return 0, io.EOF
		}
		frame, err := b.conn.Recv()
		if err != nil {
			return 0, &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonTruncated, Err: noEOF(err)}
		}
		b.part, b.last = frame.Body, frame.Last
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// Close ends the call. It may be called more than once.
func (b *responseBody) Close() error {
	b.end()
	return nil
}
