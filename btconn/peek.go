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

// condition is what a look at a connection shows.
type condition uint8

const (
	unknown condition = iota // not a TCP connection
	quiet                    // open, nothing to read
	pending                  // open, data to read
	gone                     // closed or reset by the other end
)

// Closed tells whether the other end has closed or reset a connection.
// Connections other than TCP count as open.
func Closed(c net.Conn) bool { return look(c) == gone }

// Reusable tells whether an idle connection is open and has nothing to read.
// Data on an idle connection is a late answer to an earlier request.
func Reusable(c net.Conn) bool {
	state := look(c)
	return state == quiet || state == unknown
}

func look(c net.Conn) condition {
	if w, ok := c.(netConner); ok {
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return gone
	}
	state := unknown
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return gone
	}
	return state
}

// peek looks at the first byte that waits on a socket.
func peek(fd int) condition {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return quiet
	case err != nil || n == 0:
		return gone
	default:
		return pending
	}
}
