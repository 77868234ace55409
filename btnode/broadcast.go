package btnode

import "sync"

// broadcast wakes all goroutines that wait for a change. The zero value is
// ready to use, and the methods are safe for concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{} // closed by the next signal, nil until wait is called again
}

// wait returns a channel that the next signal closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// signal closes the channel that earlier calls of wait returned.
func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
