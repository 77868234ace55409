package btfixture

import (
	"errors"
	"io"
	"strings"

	"github.com/baobabtide/baobabtide"
)

// OKResponse returns a response with status 200, a body and its length.
func OKResponse(body string) *baobabtide.Response {
	return &baobabtide.Response{Status: 200, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))}
}

// TruncatedBody simulates a truncated body: it ends with io.ErrUnexpectedEOF in place of
// io.EOF.
type TruncatedBody struct {
	io.Reader
}

// Read implements io.Reader.
func (b TruncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (TruncatedBody) Close() error { return nil }
