package btcaller

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

var errBodyTooLarge = errors.New("body exceeds the limit")

// streamBody reads a request body from the caller's connection. Read returns
// io.ErrUnexpectedEOF for a body that ends before its announced length.
type streamBody struct {
	length int64 // bytes, negative if unknown
	limit  int64 // bytes

	consumed chan struct{} // closed when the body has been read to its end

	mu     sync.Mutex
	reader io.Reader // nil after detach
	read   int64     // bytes
	atEOF  bool
}

func newStreamBody(reader io.Reader, length, limit int64) *streamBody {
	return &streamBody{reader: reader, length: length, limit: limit, consumed: make(chan struct{})}
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.atEOF {
		return 0, io.EOF
	}
	if b.reader == nil {
		return 0, io.ErrClosedPipe
	}
	n, err := b.reader.Read(p)
	b.read += int64(n)
	if b.read > b.limit {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		if b.length >= 0 && b.read < b.length {
			return n, io.ErrUnexpectedEOF
		}
		b.atEOF = true
		close(b.consumed)
	}
	return n, err
}

// Rewind implements baobabtide.Body. It returns true only if nothing has been
// read.
func (b *streamBody) Rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read == 0 && !b.atEOF
}

// detach stops reading from the connection and reports whether the body was read
// to its end. Once the request is answered, all further bytes belong to the
// connection's read loop.
func (b *streamBody) detach(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // unblocks a Read that waits for data
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = conn.SetReadDeadline(time.Time{})
	b.reader = nil
	return b.atEOF
}
