package btfixture

import (
	"net"
	"sync"
	"time"
)

const linkChunk = 64 // bytes in flight in each direction

// link returns the two ends of an in-memory connection that carries a number of bytes per
// second in each direction. A writer blocks while the link is full.
func link(bytesPerSecond int) (net.Conn, net.Conn) {
	a, farA := net.Pipe()
	b, farB := net.Pipe()
	go carry(farB, farA, bytesPerSecond)
	go carry(farA, farB, bytesPerSecond)
	return a, b
}

// carry copies what src receives to dst until one of them is closed, and closes dst after
// the last byte.
func carry(dst, src net.Conn, bytesPerSecond int) {
	defer dst.Close()
	var chunk [linkChunk]byte
	for {
		n, err := src.Read(chunk[:])
		if err != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		if _, err := dst.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// Listener is an in-memory listener.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a listener that accepts the connections that Dial opens.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns a connection over a link that carries a number of bytes per second, and
// passes the other end to Accept. It fails if the listener is closed.
func (l *Listener) Dial(bytesPerSecond int) (net.Conn, error) {
	near, far := link(bytesPerSecond)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		_ = near.Close()
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
