package btcaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btfixture"
)

const shedSoon = 20 * time.Second // generous, as tests may share busy processors

// strictLimits returns limits as those of a node with a memory limit of 184 MB.
func strictLimits() Limits {
	return Limits{
		HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Connections: 100, DefaultCustomer: "c", Strict: true, Budget: btbudget.New(btbudget.ForMemory(184e6)),
		Overrides: func() *baobabtide.CallerLimits { return &baobabtide.CallerLimits{HeaderTimeout: 3 * time.Second} },
	}
}

// startLimited serves callers with a handler that reads bodies, and returns the server, its
// address and the number of requests and bytes of bodies that the handler got.
func startLimited(t *testing.T, limits Limits) (*Server, string, *atomic.Int64, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests, bytes := new(atomic.Int64), new(atomic.Int64)
	handler := handlerFunc(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		requests.Add(1)
		if req.Body != nil {
			n, err := io.Copy(io.Discard, req.Body)
			bytes.Add(n)
			if err != nil {
				return nil, baobabtide.AsRequestError(err)
			}
		}
		return btfixture.OKResponse("ok"), nil
	})
	server, stop := NewServer(handler, limits)
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		stop()
		for deadline := time.Now().Add(shedSoon); limits.Budget.Used() != 0; time.Sleep(time.Millisecond) { // a connection may just be accepted
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are reserved after the stop", limits.Budget.Used())
			}
		}
	})
	return server, listener.Addr().String(), requests, bytes
}

// dial opens a connection to an address until the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(shedSoon))
	return c
}

// Guards against a memory limit that refuses what is legal while memory is not short: the
// largest body, the most header fields, the largest head, a client that sends slowly, a chunked
// body in many small parts and pipelined requests.
func TestLegalRequestsInCalm(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		parts []string
		pause time.Duration
		bytes int64
		count int64
	}{
		"largest body":     {[]string{head + "Content-Length: 67108864\r\n\r\n", strings.Repeat("b", 64<<20)}, 0, 64 << 20, 1},
		"most fields":      {[]string{head + strings.Repeat("a:b\r\n", maxFields-1) + "\r\n"}, 0, 0, 1},
		"largest head":     {[]string{head + "X: " + strings.Repeat("x", 16<<10-len(head)-7) + "\r\n\r\n"}, 0, 0, 1},
		"slow head":        {strings.Split(head+"X: y\r\n\r\n", ""), 30 * time.Millisecond, 0, 1},
		"slow body":        {append([]string{head + "Content-Length: 2000\r\n\r\n"}, strings.Split(strings.Repeat(strings.Repeat("b", 100)+"|", 20), "|")...), 60 * time.Millisecond, 2000, 1},
		"slow large body":  {append([]string{head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 80_000)}, strings.Split(strings.Repeat(strings.Repeat("b", 1000)+"|", 20), "|")...), 200 * time.Millisecond, 100_000, 1},
		"many chunks":      {[]string{head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 9000) + "0\r\n\r\n"}, 0, 9000, 1},
		"chunk extensions": {[]string{head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a=b\r\nb\r\n", 100) + "0\r\n\r\n"}, 0, 100, 1},
		"trailers":         {[]string{head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nb\r\n0\r\nA: " + strings.Repeat("b", 5000) + "\r\n\r\n"}, 0, 1, 1},
		"pipelined":        {[]string{strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 50)}, 0, 0, 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address, requests, bytes := startLimited(t, strictLimits())
			c := dial(t, address)
			go func() {
				for _, part := range tt.parts {
					_, _ = io.WriteString(c, part)
					time.Sleep(tt.pause)
				}
			}()
			reader := bufio.NewReader(c)
			for range tt.count {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				if resp.StatusCode != http.StatusOK {
					t.Fatalf("status %d: %s", resp.StatusCode, body)
				}
			}
			if diff := cmp.Diff([]int64{tt.count, tt.bytes}, []int64{requests.Load(), bytes.Load()}); diff != "" {
				t.Errorf("requests and bytes of bodies (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests beyond the limits that reach the handler, or whose refusal does not
// say that they have not run.
func TestRefusalsUnderMemoryLimit(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\n"
	full := func(l *Limits) { l.Budget = btbudget.New(52 << 10) }
	tests := map[string]struct {
		text   string
		change func(*Limits)
		want   response
	}{
		"too many fields":            {head + strings.Repeat("a:b\r\n", maxFields) + "\r\n", func(*Limits) {}, response{431, "not-run", "too-many-fields"}},
		"too many fields, no end":    {head + strings.Repeat("a:b\r\n", 2*maxFields), func(*Limits) {}, response{431, "not-run", "too-many-fields"}},
		"head without an end":        {head + "X: y\r\n", func(*Limits) {}, response{408, "not-run", "slow-client"}},
		"body without an end":        {head + "Content-Length: 100\r\n\r\nb", func(*Limits) {}, response{408, "not-run", "slow-client"}},
		"large body without a start": {head + "Content-Length: 100000\r\n\r\nb", func(*Limits) {}, response{408, "not-run", "slow-client"}},
		"no memory for the body":     {head + "Content-Length: 50000\r\n\r\nb", full, response{503, "not-run", "overload"}},
		"no memory for the stream":   {head + "Content-Length: 100000\r\n\r\nb", full, response{503, "not-run", "overload"}},
		"no memory for the head":     {head + "X: " + strings.Repeat("x", 10_000), func(l *Limits) { l.Budget = btbudget.New(24 << 10) }, response{503, "not-run", "overload"}},
		"no memory for the request":  {head + "Content-Length: 0\r\n\r\n", func(l *Limits) { l.Budget = btbudget.New(20 << 10) }, response{503, "not-run", "overload"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := strictLimits()
			tt.change(&limits)
			_, address, requests, _ := startLimited(t, limits)
			c := dial(t, address)
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got := response{resp.StatusCode, resp.Header.Get(HeaderVerdict), resp.Header.Get(HeaderReason)}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
			if n := requests.Load(); n != 0 {
				t.Errorf("%d requests reached the handler", n)
			}
		})
	}
}

// Guards against a client that sends one byte now and then and so holds a streamed body for
// as long as it likes.
func TestDrippedBody(t *testing.T) {
	t.Parallel()
	limits := strictLimits()
	limits.Overrides = func() *baobabtide.CallerLimits {
		return &baobabtide.CallerLimits{HeaderTimeout: 200 * time.Millisecond}
	}
	_, address, _, _ := startLimited(t, limits)
	c := dial(t, address)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("b", prefixBytes)); err != nil {
		t.Fatal(err)
	}
	// prefixBytes earn 16 s; the test sends no more than a few bytes a second after that.
	began := time.Now()
	for {
		if _, err := io.WriteString(c, "b"); err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if took := time.Since(began); took > prefixBytes/minBodyRate*time.Second+2*time.Second {
		t.Errorf("the connection was closed after %s", took)
	}
}

// Guards against a body of a request without a route that is kept in memory.
func TestBodyWithoutRoute(t *testing.T) {
	limits := strictLimits()
	server, address, requests, bytes := startLimited(t, limits)
	server.HasRoute = func(*baobabtide.Request) bool { return false }
	c := dial(t, address)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("b", 59_000)); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(500 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if used := limits.Budget.UsedFor(btbudget.Body); used > 0 {
			t.Fatalf("%d bytes are reserved for the body", used)
		}
	}
	if _, err := io.WriteString(c, strings.Repeat("b", 1000)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int64{1, 0}, []int64{requests.Load(), bytes.Load()}); diff != "" {
		t.Errorf("requests and bytes of bodies (-want +got):\n%s", diff)
	}
}

// Guards against shedding the wrong connections: of those without progress the ones that hold the
// most go first, and one that is answered or makes progress stays.
func TestShedOrder(t *testing.T) {
	limits := strictLimits()
	limits.Budget = btbudget.New(256 << 10)
	server, address, _, _ := startLimited(t, limits)
	refused := make(chan ClientRefusal, 10)
	server.OnRefusal = func(r ClientRefusal) { refused <- r }
	stall := func(size int) net.Conn {
		c := dial(t, address)
		if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nb", size); err != nil {
			t.Fatal(err)
		}
		return c
	}
	small := stall(20_000)
	time.Sleep(20 * time.Millisecond) // the small one is late first
	large := stall(60_000)
	time.Sleep(2 * paceCredit)
	other := stall(50_000) // makes the budget short
	_ = small
	select {
	case r := <-refused:
		if diff := cmp.Diff(large.LocalAddr().String(), r.Remote.String()); diff != "" || r.Reason != SlowRequest {
			t.Errorf("refused for %s (-want +got):\n%s", r.Reason, diff)
		}
	case <-time.After(shedSoon):
		t.Fatal("no connection was shed")
	}
	for name, c := range map[string]net.Conn{"small": small, "other": other} {
		_ = c.SetReadDeadline(time.Now().Add(2 * shedPeriod))
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == io.EOF { //nolint:errorlint // the connection returns it unwrapped
			t.Errorf("the %s one was refused as well", name)
		}
	}
}

// Guards against bytes that stay reserved on some way to the end of a connection: after any
// mixture of requests, whole or cut short, read or not, nothing is reserved.
func TestBudgetReturnsToZero(t *testing.T) {
	head := "Host: h\r\n"
	texts := []string{
		"GET / HTTP/1.1\r\n" + head + "\r\n",
		"GET / HTTP/1.1\r\n" + head + "X: " + strings.Repeat("x", 6000) + "\r\n\r\n",
		"GET / HTTP/1.1\r\n" + head + strings.Repeat("a:b\r\n", 1200) + "\r\n",
		"POST / HTTP/1.1\r\n" + head + "Content-Length: 3000\r\n\r\n" + strings.Repeat("b", 3000),
		"POST / HTTP/1.1\r\n" + head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("b", 70_000),
		"POST / HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"nonsense\r\n\r\n",
	}
	limits := strictLimits()
	limits.Budget = btbudget.New(400 << 10)
	_, address, _, _ := startLimited(t, limits)
	rapid.Check(t, func(t *rapid.T) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(shedSoon))
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(texts), 1, 8).Draw(t, "requests"), "")
		text = text[:rapid.IntRange(1, len(text)).Draw(t, "length")]
		if rapid.Bool().Draw(t, "read") {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		_, _ = io.WriteString(c, text)
		if rapid.Bool().Draw(t, "reset") {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
		for deadline := time.Now().Add(shedSoon); limits.Budget.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes stay reserved", limits.Budget.Used())
			}
		}
	})
}

// Guards against a pace that takes one byte now and then for progress, or a client at full
// rate for late.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		bytes, count int
		every        time.Duration
		want         time.Duration
	}{
		"nothing":         {0, 10, 100 * time.Millisecond, 750 * time.Millisecond},
		"one byte each":   {1, 10, 100 * time.Millisecond, 750 * time.Millisecond},
		"full rate":       {paceRate / 10, 10, 100 * time.Millisecond, 0},
		"all, then none":  {paceRate * 100, 1, 0, 0},
		"half the rate":   {paceRate / 20, 20, 100 * time.Millisecond, 750 * time.Millisecond},
		"burst has ended": {paceRate * 100, 1, time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p pace
			now := time.Now()
			p.expect(now, paceCredit)
			for range tt.count {
				now = now.Add(tt.every)
				p.progress(now, tt.bytes)
			}
			if got := p.late(now).Round(10 * time.Millisecond); got != tt.want {
				t.Errorf("late by %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a client that doesn't read its responses and so holds slots of backend servers
// while the budget is short: its response is then streamed.
func TestUnreadResponseWhileShort(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := strictLimits()
	limits.Budget = btbudget.New(256 << 10)
	closed := make(chan struct{})
	handler := handlerFunc(func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		req.Deadline = time.Now().Add(time.Hour)
		body := struct {
			io.Reader
			io.Closer
		}{strings.NewReader(strings.Repeat("x", 32<<20)), closerFunc(func() { close(closed) })}
		return &baobabtide.Response{Status: 200, Length: -1, Body: body}, nil
	})
	server, stop := NewServer(handler, limits)
	t.Cleanup(stop)
	go func() { _ = server.Serve(listener, nil) }()
	if !limits.Budget.Reserve(btbudget.Body, btbudget.General, 180<<10) { // makes the budget short
		t.Fatal("the budget has no room")
	}
	defer limits.Budget.Release(btbudget.Body, 180<<10)
	c := dial(t, listener.Addr().String())
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(shedSoon):
		t.Error("the response is still being read")
	}
}

// closerFunc is a function that implements io.Closer.
type closerFunc func()

// Close implements io.Closer.
func (f closerFunc) Close() error {
	f()
	return nil
}
