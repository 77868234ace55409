package btcaller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btconn"
)

const (
	firstRead       = 1 << 10 // bytes of a request that are read before it gets a read buffer; most heads fit
	maxFields       = 1000    // header fields of a request under a memory limit; each costs fieldCost
	fieldCost       = 192     // bytes of a header field beside its text: in fasthttp's request, and in that for the handler
	headCopies      = 3       // copies of the text of a head: fasthttp's raw and parsed one, and that for the handler
	maxOrdinaryHead = 24 << 10
	maxPooledFields = 64 // header fields of a parsed request that is reused; more are left to the garbage collector
)

// input reads from the connection of a caller and records the progress.
type input struct {
	conn    *conn
	pending []byte // part of first that no reader has taken yet
	first   [firstRead]byte
}

// Read implements io.Reader.
func (in *input) Read(p []byte) (int, error) {
	if len(in.pending) > 0 {
		n := copy(p, in.pending)
		in.pending = in.pending[n:]
		return n, nil
	}
	n, err := in.conn.socket.Read(p)
	if n > 0 {
		in.conn.readPace.progress(time.Now(), n)
	}
	return n, err
}

// await waits for the first bytes of a request without a read buffer.
func (in *input) await() error {
	if len(in.pending) > 0 {
		return nil
	}
	n, err := in.conn.socket.Read(in.first[:])
	in.pending = in.first[:n]
	if n > 0 {
		return nil
	}
	return err
}

// Pools of read buffers of readBuffer bytes and of larger ones, and of write buffers.
var (
	smallReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	largeReaders sync.Pool
	writers      = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// getReader gives the connection a read buffer. It returns false if the budget is exhausted.
func (c *conn) getReader() bool {
	if !c.reserve(btbudget.Head, btbudget.Ordinary, readBuffer) {
		return false
	}
	c.reader = smallReaders.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool holds nothing else
	c.reader.Reset(&c.input)
	return true
}

// growReader replaces the read buffer by one of size bytes with the same contents. It returns
// false if the budget is short.
func (c *conn) growReader(size int) bool {
	if !c.reserve(btbudget.Head, btbudget.General, int64(size)) {
		return false
	}
	old := c.reader
	larger, _ := largeReaders.Get().(*bufio.Reader)
	if larger == nil || larger.Size() != size {
		larger = bufio.NewReaderSize(nil, size)
	}
	larger.Reset(&c.input)
	n := old.Buffered()
	c.input.pending, _ = old.Peek(n)
	_, _ = larger.Peek(n) // takes all that is pending
	c.reader = larger
	c.putReader(old)
	return true
}

// dropReader returns the read buffer, if there is one, which must be empty or no longer
// needed.
func (c *conn) dropReader() {
	if c.reader != nil {
		c.putReader(c.reader)
		c.reader = nil
	}
}

func (c *conn) putReader(r *bufio.Reader) {
	size := r.Size()
	r.Reset(nil)
	if size == readBuffer {
		smallReaders.Put(r)
	} else {
		largeReaders.Put(r)
	}
	c.release(btbudget.Head, int64(size))
}

// readHead reads the head of a request into the read buffer and then parses it, so that a head
// without an end costs nothing but that buffer. It returns io.EOF if the connection ends before.
func (c *conn) readHead(ex *exchange, limits bounds) (*fasthttp.Request, error) {
	var scan btconn.HeadScan
	for {
		buffer, _ := c.reader.Peek(c.reader.Buffered())
		if err := scan.Scan(buffer); err != nil {
			return nil, fmt.Errorf("head: %w", err)
		}
		if c.server.limits.Strict && scan.Fields() > maxFields {
			c.reportRefusal(ManyFields, 0)
			return nil, baobabtide.Refuse(baobabtide.ReasonManyFields, 0, fmt.Errorf("more than %d header fields", maxFields))
		}
		if scan.End {
			break
		}
		if len(buffer) < c.reader.Size() {
			if _, err := c.reader.Peek(len(buffer) + 1); err != nil {
				return nil, c.headError(err)
			}
			continue
		}
		if scan.Lines == 0 && len(bytes.Trim(buffer, "\r\n")) == 0 {
			return nil, io.EOF // line ends without a request
		}
		size := max(readBuffer, limits.headerBytes)
		if len(buffer) >= size {
			return nil, baobabtide.Refuse(baobabtide.ReasonTooLarge, 0, fmt.Errorf("head exceeds %d bytes", size))
		}
		if !c.growReader(size) {
			return nil, c.noMemory()
		}
	}
	cost := int64(scan.Scanned*headCopies + scan.Fields()*fieldCost)
	class := btbudget.Ordinary
	if cost > maxOrdinaryHead {
		class = btbudget.General
	}
	if !ex.reserve(btbudget.Head, class, cost) {
		return nil, c.noMemory()
	}
	ex.fields = scan.Fields()
	in := fasthttp.AcquireRequest()
	if err := in.Header.Read(c.reader); err != nil {
		fasthttp.ReleaseRequest(in)
		return nil, err
	}
	return in, nil
}

// headError returns the error for a head that could not be read to its end.
func (c *conn) headError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if buffer, _ := c.reader.Peek(c.reader.Buffered()); len(bytes.Trim(buffer, "\r\n")) == 0 {
		return io.EOF // line ends without a request
	}
	return c.inputError(fmt.Errorf("head: %w", err))
}

// inputError returns the refusal of a request whose input could not be read because the caller
// is too slow under a memory limit, and any other error as it is.
func (c *conn) inputError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.isShed() {
		return baobabtide.Refuse(baobabtide.ReasonSlowClient, overloadRetryAfter, errors.New("clients hold too much memory, and this request arrives slowly"))
	}
	if c.server.limits.Strict {
		c.reportRefusal(SlowRequest, 0)
		return baobabtide.Refuse(baobabtide.ReasonSlowClient, 0, err)
	}
	return err
}

// noMemory returns the refusal of a request for which the budget has no memory.
func (c *conn) noMemory() *baobabtide.RequestError {
	c.reportRefusal(NoMemory, 0)
	return baobabtide.Refuse(baobabtide.ReasonOverload, overloadRetryAfter, errors.New("clients hold too much memory"))
}

// lengthReader reads a body of known length. It returns io.EOF together with the last bytes,
// because a reader that knows the length may not read again.
type lengthReader struct {
	reader *bufio.Reader
	left   int64 // bytes
}

// Read implements io.Reader.
func (r *lengthReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	switch {
	case r.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a chunked body. It joins chunks that have arrived, so that many small ones
// don't become as many writes to a backend server.
type chunkReader struct {
	reader *bufio.Reader
	body   io.Reader
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	for err == nil && n < len(p) && r.chunkBuffered() {
		var more int
		more, err = r.body.Read(p[n:])
		n += more
	}
	return n, err
}

// minChunk is the number of bytes behind the size of the smallest chunk: one of data and a line
// end.
const minChunk = 3

// chunkBuffered reports whether a chunk has arrived that can be read without waiting. It is
// called after a read that left no part of a chunk in the buffer.
func (r *chunkReader) chunkBuffered() bool {
	buffer, _ := r.reader.Peek(r.reader.Buffered())
	i := bytes.IndexByte(buffer, '\n')
	return i >= 0 && len(buffer)-i-1 >= minChunk
}

// discardedBody is the body of a request without a route. It has been read and not kept.
type discardedBody struct{}

// Read implements io.Reader.
func (discardedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Rewind implements baobabtide.Body.
func (discardedBody) Rewind() bool { return false }
