package btpeer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/baobabtide/baobabtide/btclock"
)

const (
	openTimeout   = 150 * time.Millisecond // to open a stream including the connection; zones are 3 ms apart and regions 24 ms
	probePeriod   = 100 * time.Millisecond // between checks of a link with requests in flight
	probeIdleTime = 200 * time.Millisecond // without a message before a link is pinged
	probeTimeout  = 300 * time.Millisecond // to answer a ping; a node may get no processor time for 100 ms
)

// errSilent is the cause with which a request is canceled if its node does not answer
// a ping or if its stream can't be opened within openTimeout.
var errSilent = errors.New("the node does not answer on this connection")

// link is the shared connection to one node with its requests in flight. While there
// are any, an idle link is probed, because a connection can stop carrying data for
// good without an error.
type link struct {
	conn      *grpc.ClientConn
	lastHeard btclock.Instant // last message or answer to a ping

	mu       sync.Mutex
	inflight map[*inflightRequest]struct{}
	probing  bool // the goroutine of probe is running
	failed   bool // the node did not answer a ping
}

// inflightRequest is one request in flight on a link.
type inflightRequest struct {
	cancel context.CancelCauseFunc
}

func newLink(conn *grpc.ClientConn) *link {
	return &link{conn: conn, inflight: make(map[*inflightRequest]struct{})}
}

// recordMessage records that the node sent a message now.
func (l *link) recordMessage() { l.lastHeard.Set(time.Now()) }

// track adds a request in flight and returns a function that removes it. The request
// is canceled with errSilent if the node does not answer, at once on a failed link.
// If the call starts the probe, onSilent is called when the link fails; otherwise that
// of the call that started it.
func (l *link) track(cancel context.CancelCauseFunc, onSilent func()) func() {
	r := &inflightRequest{cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		cancel(errSilent)
		return func() {}
	}
	l.inflight[r] = struct{}{}
	if !l.probing {
		l.probing = true
		l.recordMessage()
		go l.probe(onSilent)
	}
	return func() {
		l.mu.Lock()
		delete(l.inflight, r)
		l.mu.Unlock()
	}
}

// probe pings the node whenever the link has been idle for probeIdleTime. It returns
// when no request is in flight. If the node does not answer a ping, it cancels all
// requests and calls onSilent.
func (l *link) probe(onSilent func()) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for range ticker.C {
		l.mu.Lock()
		if len(l.inflight) == 0 || l.failed {
			l.probing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if idle, _ := l.lastHeard.Since(time.Now()); idle < probeIdleTime {
			continue
		}
		if l.ping() {
			l.recordMessage()
			continue
		}
		l.fail()
		onSilent()
		return
	}
}

// ping returns false only if the node does not answer within probeTimeout. An earlier
// error is one of the connection, which the requests on it receive themselves.
func (l *link) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := call[PingRequest, PingResponse](ctx, l.conn, pingMethod, &PingRequest{})
	return err == nil || ctx.Err() == nil
}

// fail marks the link as failed and cancels all its requests with errSilent.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = true
	for r := range l.inflight {
		r.cancel(errSilent)
	}
	clear(l.inflight)
}
