package btconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against silent connections that keep new ones out, and against one that is answered
// being replaced before silent ones.
func TestBoundedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &BoundedListener{Listener: inner, Most: 3}
	defer l.Close()
	connect := func() (net.Conn, net.Conn) {
		t.Helper()
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, server
	}
	open := func(client net.Conn) bool {
		_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := client.Read(make([]byte, 1))
		netErr, ok := err.(net.Error) //nolint:errorlint // the connection returns it unwrapped
		return ok && netErr.Timeout()
	}
	served, server := connect()
	clients := []net.Conn{served}
	for range 2 {
		silent, _ := connect()
		clients = append(clients, silent)
	}
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(served, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(replaceAge) // the connections are replaced only after that
	last, lastServer := connect()
	var got []bool
	for _, c := range append(clients, last) {
		got = append(got, open(c))
	}
	if diff := cmp.Diff([]bool{true, false, true, true}, got); diff != "" {
		t.Errorf("open connections (-want +got):\n%s", diff)
	}
	_ = lastServer.Close()
	connect() // takes the place of the closed one
	if n := l.Replaced.Load(); n != 1 {
		t.Errorf("%d connections were replaced, want 1", n)
	}
}

// Guards against a number of open connections that stays beyond Most after a burst.
func TestBoundedListenerShrinksAfterBurst(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &BoundedListener{Listener: inner, Most: 4}
	defer l.Close()
	connect := func() {
		t.Helper()
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		connect()
	}
	time.Sleep(2 * replaceAge)
	connect()
	if n := l.conns.Len(); n > l.Most {
		t.Errorf("%d connections are open, want %d", n, l.Most)
	}
}
