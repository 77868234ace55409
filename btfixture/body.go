package btfixture

import (
	"errors"
	"io"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// Text returns an answer of the service with a body of known length.
func Text(body string) *baobabtide.Response {
	return &baobabtide.Response{Status: 200, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))}
}

// BrokenBody ends with an error in place of io.EOF.
type BrokenBody struct {
	io.Reader
}

// Read implements io.Reader.
func (b BrokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (BrokenBody) Close() error { return nil }
