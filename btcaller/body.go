package btcaller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// prefixBytes is the size of the start of a streamed body that Prefix keeps. The first frame to
// another node waits for as much.
const prefixBytes = 16 << 10

var errBodyTooLarge = errors.New("body exceeds the limit")

// streamBody reads a request body from the caller's connection. Read returns
// io.ErrUnexpectedEOF for a body that ends before its announced length. Each read may take
// readTimeout, so that a body takes as long as the link needs, but no longer than the
// request's deadline. Under a memory limit all reads together may take readTimeout and the time
// of the bytes at minBodyRate.
type streamBody struct {
	caller      *conn
	conn        net.Conn
	readTimeout time.Duration
	length      int64 // bytes, negative if unknown
	limit       int64 // bytes
	deadline    time.Time

	consumed chan struct{} // closed when the body has been read to its end

	readMu    sync.Mutex // held during a read
	reader    io.Reader
	read      int64         // bytes read from the connection
	waited    time.Duration // for the bytes read
	late      time.Duration // of the caller after the last read
	prefix    []byte        // start of the body, kept in memory once Prefix was called
	prefixErr error         // that ended the reading of prefix, io.EOF if it is the whole body
	position  int           // bytes of prefix that Read has returned

	mu       sync.Mutex // protects the connection's read deadline as well
	detached bool       // the body is no longer read
	atEOF    bool       // the body has been read to its end
}

func newStreamBody(c *conn, reader io.Reader, length int64, limits bounds) *streamBody {
	return &streamBody{
		caller: c, conn: c.socket, readTimeout: limits.headerTimeout, reader: reader,
		length: length, limit: int64(limits.bodyBytes), consumed: make(chan struct{}), late: -bodyCredit,
	}
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.position < len(b.prefix) {
		n := copy(p, b.prefix[b.position:])
		b.position += n
		return n, nil
	}
	if b.prefixErr != nil {
		return 0, b.prefixErr
	}
	return b.readConn(p)
}

// Prefix reads the start of the body, prefixBytes or less if the body is shorter, and returns
// it. Read returns it as well.
func (b *streamBody) Prefix() []byte {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.prefix != nil || b.read > 0 {
		return b.prefix
	}
	b.prefix = make([]byte, 0, prefixBytes)
	for len(b.prefix) < prefixBytes && b.prefixErr == nil {
		var n int
		n, b.prefixErr = b.readConn(b.prefix[len(b.prefix):prefixBytes])
		b.prefix = b.prefix[:len(b.prefix)+n]
	}
	return b.prefix
}

// readConn reads from the connection. The caller holds b.readMu.
func (b *streamBody) readConn(p []byte) (int, error) {
	began := time.Now()
	if err := b.beginRead(began); err != nil {
		return 0, err
	}
	b.caller.readPace.resume(began, b.late)
	n, err := b.reader.Read(p)
	now := time.Now()
	b.late = b.caller.readPace.pause(now)
	b.waited += now.Sub(began)
	b.read += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.caller.reportRefusal(SlowRequest, max(0, b.late))
	}
	if b.read > b.limit {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		if b.length >= 0 && b.read < b.length {
			return n, io.ErrUnexpectedEOF
		}
		if !b.end() {
			return n, io.ErrClosedPipe
		}
	}
	return n, err
}

// beginRead sets the deadline of a read. It returns an error if there is nothing to read.
func (b *streamBody) beginRead(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.atEOF {
		return io.EOF
	}
	if b.detached {
		return io.ErrClosedPipe
	}
	until := now.Add(b.readTimeout)
	if b.caller.server.limits.Strict {
		earned := b.readTimeout + time.Duration(b.read)*time.Second/minBodyRate
		until = now.Add(min(b.readTimeout, earned-b.waited))
	}
	if b.deadline.Before(until) {
		until = b.deadline
	}
	_ = b.conn.SetReadDeadline(until)
	if b.caller.isShed() { // the deadline that ends the request may just have been replaced; one set later stays
		return os.ErrDeadlineExceeded
	}
	return nil
}

// end marks the end of the body, after which the connection's read loop goes on. It
// returns false if the body has been detached before.
func (b *streamBody) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detached {
		return false
	}
	b.atEOF = true
	_ = b.conn.SetReadDeadline(time.Time{}) // that of the body
	close(b.consumed)
	return true
}

// readStart reads the prefix and returns the error with which it has ended, nil at the end of
// the body.
func (b *streamBody) readStart() error {
	b.Prefix()
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if errors.Is(b.prefixErr, io.EOF) && !errors.Is(b.prefixErr, io.ErrUnexpectedEOF) {
		return nil
	}
	return b.prefixErr
}

// Rewind implements baobabtide.Body. It returns true only if nothing beyond the prefix has been
// read.
func (b *streamBody) Rewind() bool {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.read > int64(len(b.prefix)) {
		return false
	}
	if b.prefix != nil {
		b.position = 0
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.atEOF
}

// detach stops reading from the connection and reports whether the body was read
// to its end. Once the request is answered, all further bytes belong to the
// connection's read loop, which may read the next request already if the body was.
func (b *streamBody) detach() bool {
	if b.stop() {
		return true
	}
	b.readMu.Lock() // waits for the end of a read
	defer b.readMu.Unlock()
	_ = b.conn.SetReadDeadline(time.Time{})
	return false
}

// stop ends a read that waits for data. It returns true if the body has been read to its
// end.
func (b *streamBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.atEOF {
		b.detached = true
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return b.atEOF
}
