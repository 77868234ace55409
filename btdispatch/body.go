package btdispatch

import (
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
