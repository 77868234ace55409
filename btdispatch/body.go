package btdispatch

import (
	"errors"
	"io"
	"sync"
)

// endingBody calls a function once when the body is closed.
type endingBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Close implements io.Closer.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// answerBody is an endingBody that notes whether the answer broke off.
type answerBody struct {
	io.ReadCloser
	end    func()
	broken bool
	once   sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
