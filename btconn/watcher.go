package btconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrGone is the cause of a context that was canceled because the caller has
// closed its connection.
var ErrGone = errors.New("caller has closed its connection")

const watchPeriod = 50 * time.Millisecond

// watch is a request whose caller may go away.
type watch struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// Watcher cancels the contexts of requests whose callers have closed their
// connections. It looks at all of them from one goroutine.
type Watcher struct {
	mu      sync.Mutex
	watches map[*watch]struct{}
	done    chan struct{}
}

// NewWatcher returns a watcher and a function that stops it.
func NewWatcher() (*Watcher, func()) {
	w := &Watcher{watches: make(map[*watch]struct{}), done: make(chan struct{})}
	go w.run()
	return w, sync.OnceFunc(func() { close(w.done) })
}

// Watch returns a context that is canceled when the connection is closed by
// its other end. The function that it returns ends the watch.
func (w *Watcher) Watch(parent context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	entry := &watch{conn: conn, cancel: cancel}
	w.mu.Lock()
	w.watches[entry] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(w.watches, entry)
		w.mu.Unlock()
		cancel(nil)
	}
}

func (w *Watcher) run() {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
			w.sweep()
		}
	}
}

// sweep cancels the requests whose callers have gone.
func (w *Watcher) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for entry := range w.watches {
		if Closed(entry.conn) {
			delete(w.watches, entry)
			entry.cancel(ErrGone)
		}
	}
}
