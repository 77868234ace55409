package btbackendstandin

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Only arrivals from nodes that had got a response count, from some time after it.
func TestNoticeMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	arrivals := func(m *noticeMonitor, attempt string, from, until time.Duration, perSecond int) {
		for at := from; at < until; at += time.Second / time.Duration(perSecond) {
			m.arrive(attempt, start.Add(at))
		}
	}
	tests := map[string]struct {
		play func(m *noticeMonitor)
		want [2]int // overLimit, afterLeaving
	}{
		"told and within the limit": {func(m *noticeMonitor) {
			m.respond("n.1.a", 5, false, start)
			arrivals(m, "n.1.b", 0, 20*time.Second, 8)
		}, [2]int{0, 0}},
		"told and over the limit": {func(m *noticeMonitor) {
			m.respond("n.1.a", 5, false, start)
			arrivals(m, "n.1.b", 0, 20*time.Second, 10)
		}, [2]int{5, 0}}, // 40 arrivals, 35 are tolerated
		"another process of the node": {func(m *noticeMonitor) {
			m.respond("n.1.a", 5, false, start)
			arrivals(m, "n.2.b", 0, 20*time.Second, 10)
		}, [2]int{0, 0}},
		"just named": {func(m *noticeMonitor) {
			m.respond("n.1.a", 5, false, start)
			arrivals(m, "n.1.b", 0, limitSettle, 100)
		}, [2]int{0, 0}},
		"leaving": {func(m *noticeMonitor) {
			m.respond("n.1.a", 0, true, start)
			arrivals(m, "n.1.b", 0, leavingSettle, 10)
			arrivals(m, "o.1.b", 5*time.Second, 6*time.Second, 10)
			m.arrive("n.1.c", start.Add(3*time.Second))
		}, [2]int{0, 1}},
		"restarted after leaving": {func(m *noticeMonitor) {
			m.respond("n.1.a", 0, true, start)
			m.restart(start.Add(time.Second))
			arrivals(m, "n.1.b", 4*time.Second, 5*time.Second, 10)
		}, [2]int{0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := &noticeMonitor{}
			m.setLimit(5, start)
			tt.play(m)
			if diff := cmp.Diff(tt.want, [2]int{m.overLimit, m.afterLeaving}); diff != "" {
				t.Errorf("overLimit, afterLeaving (-want +got):\n%s", diff)
			}
		})
	}
}

// A connection that is being accepted when the server crashes must end with it: its request
// got an empty response.
func TestCrashEndsConnectionsBeingAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{}
	crashing := s.newListener(listener)
	crashing.delay = 100 * time.Millisecond
	accepted := make(chan error)
	go func() {
		_, err := crashing.Accept()
		accepted <- err
	}()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(crashing.delay / 2) // accepted, and being delayed
	crashing.crash()
	if err := <-accepted; !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepted after the crash: %v", err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open after the crash")
	}
}
