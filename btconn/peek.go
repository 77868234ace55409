// Package btconn tells whether the other end of an idle or waiting TCP
// connection has gone, without reading from it.
package btconn

import (
	"errors"
	"net"
	"syscall"
)

// netConner is a connection wrapped around another one, such as *tls.Conn.
type netConner interface {
	NetConn() net.Conn
}

// Closed tells whether the other end has closed or reset a connection.
// Connections other than TCP count as open.
func Closed(c net.Conn) bool {
	n, err, ok := peek(c)
	if !ok {
		return false
	}
	if err != nil {
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	return n == 0
}

// Reusable tells whether an idle connection is open and has nothing to read.
// Data on an idle connection is a late answer to an earlier request.
func Reusable(c net.Conn) bool {
	_, err, ok := peek(c)
	return !ok || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// peek looks at the first byte that waits on a connection. It returns false
// where the connection can't be looked at.
func peek(c net.Conn) (int, error, bool) {
	if w, ok := c.(netConner); ok {
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err, true
	}
	return n, peekErr, true
}
