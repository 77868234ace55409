package btcaller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against steady uploads, also slow ones, that are shed or that keep out all others
// while the budget is nearly unused.
func TestSteadyUploads(t *testing.T) {
	t.Parallel()
	_, address, _, _ := startLimited(t, strictLimits())
	const uploads, part, parts = 10, 3 << 10, 8
	results := make(chan string, uploads)
	for range uploads {
		c := dial(t, address)
		go func() {
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100_000+parts*part, strings.Repeat("b", 100_000))
			for range parts {
				time.Sleep(300 * time.Millisecond) // 10 KB a second
				_, _ = io.WriteString(c, strings.Repeat("b", part))
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				results <- err.Error()
				return
			}
			results <- resp.Status
		}()
	}
	for range uploads {
		if got := <-results; got != "200 OK" {
			t.Errorf("an upload ended with %s", got)
		}
	}
}

// Guards against steady uploads that are shed because others wait for a place.
func TestSteadyUploadsKeepPlaces(t *testing.T) {
	t.Parallel()
	server, address, _, _ := startLimited(t, strictLimits())
	server.streams = make(chan struct{}, 1)
	c := dial(t, address)
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100_000, strings.Repeat("b", prefixBytes))
	for deadline := time.Now().Add(shedSoon); len(server.streams) == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	other := dial(t, address)
	_, _ = io.WriteString(other, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
	for range 8 {
		time.Sleep(300 * time.Millisecond)
		if _, err := io.WriteString(c, strings.Repeat("b", 3<<10)); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = io.WriteString(c, strings.Repeat("b", 100_000-prefixBytes-8*3<<10))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the upload ended with %v, %v", resp, err)
	}
}

// Guards against requests that have begun to arrive and keep the places of pipelined requests.
func TestIncompleteRequestHoldsNoPlace(t *testing.T) {
	t.Parallel()
	server, address, _, _ := startLimited(t, strictLimits())
	server.pipelined = make(chan struct{}, 1)
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	incomplete := dial(t, address)
	_, _ = io.WriteString(incomplete, get+"G")
	if _, err := http.ReadResponse(bufio.NewReader(incomplete), nil); err != nil {
		t.Fatal(err)
	}
	c := dial(t, address)
	_, _ = io.WriteString(c, get+get)
	_ = c.SetReadDeadline(time.Now().Add(time.Second)) // an incomplete request may take 3 s
	reader := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// Guards against a caller that is taken for a slow reader as soon as a write begins.
func TestWriteBegins(t *testing.T) {
	server, address, _, _ := startLimited(t, strictLimits())
	c := newConn(server, dial(t, address))
	now := time.Now()
	c.writePace.resume(now, c.output.late)
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{time.Millisecond, false}, {paceCredit + 100*time.Millisecond, false}, {paceCredit + writeGrace + time.Millisecond, true}} {
		if _, got := c.victim(now.Add(tt.after)); got != tt.want {
			t.Errorf("late after %s: %t, want %t", tt.after, got, tt.want)
		}
	}
}
