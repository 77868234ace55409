package btrelay

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	testSeed = 7
	testRate = 1000 // bytes per second, so that a byte takes exactly 1 ms
)

var (
	everyone = netip.MustParsePrefix("0.0.0.0/0")
	node     = netip.MustParsePrefix("127.0.0.2/32") // address that the targets of testRelay listen on
	epoch    = time.Unix(1_000_000, 0)
)

// fakeClock is a clock that stands still. WaitUntil records the times, and returns once
// release is closed.
type fakeClock struct {
	release chan struct{}

	mu    sync.Mutex
	times []time.Time
}

func (c *fakeClock) Now() time.Time { return epoch }

func (c *fakeClock) WaitUntil(t time.Time, canceled <-chan struct{}) {
	c.mu.Lock()
	c.times = append(c.times, t)
	c.mu.Unlock()
	select {
	case <-c.release:
	case <-canceled:
	}
}

// latest returns the latest time that was waited for, as a duration since epoch.
func (c *fakeClock) latest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := epoch
	for _, t := range c.times {
		if t.After(latest) {
			latest = t
		}
	}
	return latest.Sub(epoch)
}

// testRelay is a relay to one target at the address of node.
type testRelay struct {
	*Relay
	clock  *fakeClock
	target net.Listener
	listen string
}

func newTestRelay(t *testing.T, dial func(network, address string) (net.Conn, error)) *testRelay {
	t.Helper()
	target, err := net.Listen("tcp", node.Addr().String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	r, stop := New()
	clock := &fakeClock{release: make(chan struct{})}
	r.clock, r.dial = clock, dial
	t.Cleanup(func() {
		stop()
		_ = target.Close()
	})
	if err := r.Open(Link{Listen: "127.0.0.3:0", Target: target.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	return &testRelay{Relay: r, clock: clock, target: target, listen: r.listeners[0].Addr().String()}
}

// connect opens a connection through the relay and returns its ends at the client and at
// the target.
func (r *testRelay) connect(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", r.listen)
	if err != nil {
		t.Fatal(err)
	}
	server, err := r.target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// send writes data on one end of a connection and reads it at the other one.
func send(t *testing.T, from, to net.Conn, data string) {
	t.Helper()
	if _, err := io.WriteString(from, data); err != nil {
		t.Fatal(err)
	}
	expectData(t, to, data)
}

// expectData reads data and compares it with want.
func expectData(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("data, -want +got:\n%s", diff)
	}
}

// expectNothing fails if data arrives soon. Data that is late passes, so load can't make
// it fail.
func expectNothing(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatalf("%d bytes arrived early", n)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// awaitQueued waits until the queues have accepted a number of bytes.
func (r *testRelay) awaitQueued(t *testing.T, bytes int64) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if queues := r.Queues(); len(queues) == 1 && queues[0].Bytes == bytes {
			return
		}
	}
	t.Fatalf("the queue did not accept %d bytes: %+v", bytes, r.Queues())
}

func TestQueueAccept(t *testing.T) {
	type arrival struct {
		at    time.Duration // after epoch
		bytes int
	}
	for name, c := range map[string]struct {
		arrivals []arrival
		want     []time.Duration
		maxWait  time.Duration
	}{
		"one after the other": {[]arrival{{0, 100}, {0, 50}, {10 * time.Millisecond, 1}}, []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 151 * time.Millisecond}, 150 * time.Millisecond},
		"idle time is lost":   {[]arrival{{0, 10}, {time.Second, 10}}, []time.Duration{10 * time.Millisecond, 1010 * time.Millisecond}, 10 * time.Millisecond},
		"no upper bound":      {[]arrival{{0, 1_000_000}, {0, 1}}, []time.Duration{1000 * time.Second, 1000*time.Second + time.Millisecond}, 1000*time.Second + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			q := &queue{rate: testRate}
			var got []time.Duration
			for _, a := range c.arrivals {
				got = append(got, q.accept(epoch.Add(a.at), a.bytes).Sub(epoch))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("times of leaving, -want +got:\n%s", diff)
			}
			if diff := cmp.Diff(c.maxWait, q.maxWait); diff != "" {
				t.Errorf("maximum wait, -want +got:\n%s", diff)
			}
		})
	}
}

// All that a limited address sends passes one queue, arrives in full and in order, however
// much is queued. What others send to it is not limited.
func TestLimit(t *testing.T) {
	const connections, size = 3, 300_000
	r := newTestRelay(t, net.Dial)
	r.SetRules([]Rule{{From: node, To: everyone, Mode: Limit, Rate: testRate}})
	rng := rand.New(rand.NewPCG(testSeed, testSeed))
	var wg sync.WaitGroup
	for range connections {
		client, server := r.connect(t)
		send(t, client, server, "request")
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		wg.Go(func() {
			_, err := server.Write(body)
			if err == nil {
				err = server.(*net.TCPConn).CloseWrite()
			}
			if err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			got, err := io.ReadAll(client)
			if err != nil {
				t.Error(err)
			}
			if !bytes.Equal(body, got) {
				t.Errorf("got %d bytes, not the %d that were sent", len(got), size)
			}
		})
	}
	r.awaitQueued(t, connections*size) // although nothing is delivered yet
	close(r.clock.release)
	wg.Wait()
	want := []QueueReport{{
		Rule:    Rule{From: node, To: everyone, Mode: Limit, Rate: testRate},
		Bytes:   connections * size,
		MaxWait: connections * size * time.Second / testRate,
	}}
	if diff := cmp.Diff(want, r.Queues(), cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); diff != "" {
		t.Errorf("queues, -want +got:\n%s", diff)
	}
	if diff := cmp.Diff(want[0].MaxWait, r.clock.latest()); diff != "" {
		t.Errorf("latest delivery, -want +got:\n%s", diff)
	}
}

// Data that waits in a queue is not delivered early, and does not hold back what the
// other side sends.
func TestLimitHoldsDataUntilDue(t *testing.T) {
	r := newTestRelay(t, net.Dial)
	r.SetRules([]Rule{{From: node, To: everyone, Mode: Limit, Rate: testRate}})
	client, server := r.connect(t)
	if _, err := io.WriteString(server, "response"); err != nil {
		t.Fatal(err)
	}
	r.awaitQueued(t, int64(len("response")))
	send(t, client, server, "request")
	expectNothing(t, client)
	close(r.clock.release)
	expectData(t, client, "response")
}

// A rule set that still has a Limit rule does not empty its queue.
func TestLimitKeepsItsQueue(t *testing.T) {
	limit := Rule{From: node, To: everyone, Mode: Limit, Rate: testRate}
	r := newTestRelay(t, net.Dial)
	r.SetRules([]Rule{limit})
	client, server := r.connect(t)
	if _, err := io.WriteString(server, "12345"); err != nil {
		t.Fatal(err)
	}
	r.awaitQueued(t, 5)
	r.SetRules([]Rule{{From: node, To: node, Mode: Cut}, limit})
	close(r.clock.release)
	if _, err := io.WriteString(server, "678"); err != nil {
		t.Fatal(err)
	}
	expectData(t, client, "12345678")
	if diff := cmp.Diff(8*time.Millisecond, r.clock.latest()); diff != "" {
		t.Errorf("latest delivery, -want +got:\n%s", diff)
	}
}

// Hold stops one direction only, and everything arrives once it ends.
func TestHold(t *testing.T) {
	r := newTestRelay(t, net.Dial)
	client, server := r.connect(t)
	send(t, server, client, "before")
	r.SetRules([]Rule{{From: node, To: everyone, Mode: Hold}})
	if _, err := io.WriteString(server, "held"); err != nil {
		t.Fatal(err)
	}
	send(t, client, server, "other way")
	expectNothing(t, client)
	r.SetRules(nil)
	expectData(t, client, "held")
}

// A rule that is set while the relay connects to the target applies to the connection.
func TestRuleSetWhileConnecting(t *testing.T) {
	for _, mode := range []Mode{Cut, Freeze} {
		t.Run(string(mode), func(t *testing.T) {
			dialing, ruleSet := make(chan struct{}), make(chan struct{})
			r := newTestRelay(t, func(network, address string) (net.Conn, error) {
				close(dialing)
				<-ruleSet
				return net.Dial(network, address)
			})
			client, err := net.Dial("tcp", r.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			<-dialing
			r.SetRules([]Rule{{From: everyone, To: node, Mode: mode}})
			r.SetRules(nil)
			close(ruleSet)
			server, err := r.target.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			_, _ = io.WriteString(client, "dropped") // fails if the relay has closed the connection already
			if client, ok := client.(*net.TCPConn); ok {
				_ = client.CloseWrite()
			}
			got, _ := io.ReadAll(server) // ends with an error if the connection was reset
			if diff := cmp.Diff("", string(got)); diff != "" {
				t.Errorf("data that arrived, -want +got:\n%s", diff)
			}
		})
	}
}

func TestRulesCheck(t *testing.T) {
	for name, c := range map[string]struct {
		rule Rule
		want string
	}{
		"limit":              {Rule{Mode: Limit, Rate: 1}, ""},
		"limit without rate": {Rule{Mode: Limit}, "Rules[0].Rate: 0 is not positive"},
		"unknown mode":       {Rule{Mode: "Bend"}, `Rules[0].Mode: "Bend" is unknown`},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := (&Rules{Rules: []Rule{c.rule}}).Check(); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("error, -want +got:\n%s", diff)
			}
		})
	}
}
