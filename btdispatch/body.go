package btdispatch

import (
	"errors"
	"io"
	"sync"
)

// closeHookBody is a response body that calls onClose the first time it is closed.
type closeHookBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *closeHookBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}

// responseBody is like closeHookBody, and records whether the body was truncated.
type responseBody struct {
	io.ReadCloser
	onClose   func()
	truncated bool
	once      sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.truncated = b.truncated || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
