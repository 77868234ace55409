package btconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrCallerClosed is the cause with which a context is canceled when the caller
// closes its connection.
var ErrCallerClosed = errors.New("caller has closed its connection")

const watchPeriod = 50 * time.Millisecond // between checks of all watched connections

// watchedRequest is a request to cancel when its caller closes the connection.
type watchedRequest struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// Watcher cancels the contexts of requests whose callers have closed their
// connections. One goroutine checks all connections periodically.
type Watcher struct {
	mu       sync.Mutex
	requests map[*watchedRequest]struct{}
	done     chan struct{} // closed when the watcher is stopped
}

// NewWatcher returns a watcher and a function that stops it.
func NewWatcher() (*Watcher, func()) {
	w := &Watcher{requests: make(map[*watchedRequest]struct{}), done: make(chan struct{})}
	go w.run()
	return w, sync.OnceFunc(func() { close(w.done) })
}

// Watch returns a context that is canceled with ErrCallerClosed after the other
// end has closed the connection, and a function that stops watching and cancels the
// context. A canceled parent also cancels the context.
func (w *Watcher) Watch(parent context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	request := &watchedRequest{conn: conn, cancel: cancel}
	w.mu.Lock()
	w.requests[request] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(w.requests, request)
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
			w.cancelClosed()
		}
	}
}

// cancelClosed cancels the requests whose connections are closed.
func (w *Watcher) cancelClosed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.requests {
		if Closed(request.conn) {
			delete(w.requests, request)
			request.cancel(ErrCallerClosed)
		}
	}
}
