package btpeer

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/baobabtide/baobabtide"
)

// requestBody reads the body of a forwarded request from the frames of its stream.
type requestBody struct {
	stream *Stream[RequestFrame, ResponseFrame]
	part   []byte
	last   bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		if b.last {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receive request body: %w", unexpectedEOF(err))
		}
		b.part, b.last = frame.Body, frame.Last
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// Rewind implements baobabtide.Body. It returns false, because received frames are
// not kept.
func (b *requestBody) Rewind() bool { return false }

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a stream that ended
// early is not taken for a complete body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var bodyPartPool = sync.Pool{New: func() any { return new([maxBodyPart]byte) }}

// sendResponse sends a response in frames of at most maxBodyPart bytes of body, at the
// pace of pacer. A short response takes a single frame.
func sendResponse(stream *Stream[RequestFrame, ResponseFrame], resp *baobabtide.Response, pacer *Pacer) error {
	buf := bodyPartPool.Get().(*[maxBodyPart]byte)
	defer bodyPartPool.Put(buf)
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
			return fmt.Errorf("read response body of backend server: %w", err)
		}
		if err := pacer.wait(stream.Context(), n); err != nil {
			return fmt.Errorf("wait for the link: %w", err)
		}
		if err := stream.Send(&ResponseFrame{Head: head, Body: buf[:n], Last: last}); err != nil {
			return fmt.Errorf("send response: %w", err)
		}
		if last {
			return nil
		}
		head = nil
	}
}

// readPart reads until p is at least half full or an error occurs, and returns the
// number of bytes read. It does not fill p completely, so as to wait less for a slow
// body. It returns io.EOF with the last part.
func readPart(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		read, err := r.Read(p[n:])
		n += read
		if err != nil {
			return n, err
		}
		if n >= len(p)/2 {
			return n, nil
		}
	}
	return n, nil
}

// responseBody reads the body of a forwarded response from the frames of its
// stream. It returns io.EOF only after a frame with Last set; a stream that ends
// earlier is an error. Its reason is deadline, canceled or otherwise truncated-response.
type responseBody struct {
	stream *Stream[ResponseFrame, RequestFrame]
	lost   func(err error) *baobabtide.RequestError // returns the error of a stream that ended early
	part   []byte
	last   bool
	end    func() // ends the call, may be called more than once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		if b.last {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			re := b.lost(unexpectedEOF(err))
			re.Verdict = baobabtide.Ran
			if re.Reason == baobabtide.ReasonLost {
				re.Reason = baobabtide.ReasonTruncated
			}
			return 0, re
		}
		b.part, b.last = frame.Body, frame.Last
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// Close ends the call. It may be called more than once and never fails.
func (b *responseBody) Close() error {
	b.end()
	return nil
}
