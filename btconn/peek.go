// Package btconn detects, without reading from a TCP connection, whether its other
// end has closed it, and cancels requests whose callers have closed theirs. It also
// provides a silent logger for fasthttp servers.
package btconn

import (
	"errors"
	"net"
	"syscall"
)

// netConner is a connection that wraps another one, such as *tls.Conn.
type netConner interface {
	NetConn() net.Conn
}

// connState is the state of a connection as seen from its socket.
type connState uint8

const (
	unknown  connState = iota // not a TCP connection
	idle                      // open, nothing to read
	readable                  // open, data to read
	closed                    // closed or reset by the other end
)

// Closed reports whether the other end has closed or reset a connection. It returns
// false while unread data remains and for connections that are not TCP.
func Closed(c net.Conn) bool { return stateOf(c) == closed }

// Reusable reports whether an idle connection is open and has no data to read. Data
// on an idle connection is a late response to an earlier request. Connections that are
// not TCP are reusable.
func Reusable(c net.Conn) bool {
	state := stateOf(c)
	return state == idle || state == unknown
}

// Readable reports whether a connection has data to read. It returns false for
// connections that are not TCP.
func Readable(c net.Conn) bool { return stateOf(c) == readable }

// stateOf returns the state of a connection or of the one that it wraps.
func stateOf(c net.Conn) connState {
	if w, ok := c.(netConner); ok {
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	state := unknown
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return closed
	}
	return state
}

// peek determines the state of a socket from its first unread byte, without removing
// it or blocking.
func peek(fd int) connState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return idle
	case err != nil || n == 0:
		return closed
	default:
		return readable
	}
}
