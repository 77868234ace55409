package btpeer

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

const (
	linkMegabits = linkRate * bitsPerByte / bitsPerMega
	bodies       = 13
	bodySize     = 540 << 10
)

// echoNode responds with the body of the request, or with a large body if there is none.
func echoNode() *fakeNode {
	return &fakeNode{admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		if req.Body == nil {
			return btfixture.OKResponse(strings.Repeat("x", bodySize)), nil
		}
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		return btfixture.OKResponse(string(data[:min(len(data), maxUnpaced)])), nil
	}}
}

// Large bodies leave the link free for small messages, on any connection of the node, and
// arrive whole at almost the rate of the link.
func TestBodiesDoNotDelaySmallMessages(t *testing.T) {
	tests := map[string]struct {
		upload string // body of the requests, empty for large responses
		want   int    // bytes of a response
	}{
		"responses": {"", bodySize},
		"requests":  {strings.Repeat("x", bodySize), maxUnpaced},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, small := newTestNetwork(t, echoNode(), NewPacer(linkMegabits))
				pacer := NewPacer(linkMegabits)
				small.Pacer = pacer
				began := time.Now()
				var received sync.WaitGroup
				for range bodies {
					c := n.client(t)
					c.Pacer = pacer
					received.Go(func() {
						if diff := cmp.Diff(tt.want, len(exchange(t, c, tt.upload))); diff != "" {
							t.Errorf("bytes (-want +got):\n%s", diff)
						}
					})
				}
				allReceived := make(chan struct{})
				go func() {
					received.Wait()
					close(allReceived)
				}()
				for done := false; !done; {
					sent := time.Now()
					exchange(t, small, strings.Repeat("y", maxUnpaced)) // two fifths of the link
					if took := time.Since(sent); took > probeTimeout/2 {
						t.Errorf("small response after %s", took)
					}
					select {
					case <-allReceived:
						done = true
					case <-time.After(10 * time.Millisecond):
					}
				}
				if took := time.Since(began).Seconds(); took > 2*bodies*bodySize/linkRate {
					t.Errorf("all bodies took %.1f s", took)
				}
			})
		})
	}
}

// exchange sends a request with a body and returns the body of the response.
func exchange(t *testing.T, c *Client, body string) string {
	t.Helper()
	resp, err := c.Forward(context.Background(), testTarget, request(body, time.Minute))
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return string(data)
}

// All bodies together, small ones included, leave a tenth of the link for the rest.
func TestPacerLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := NewPacer(linkMegabits)
		began := time.Now()
		sent := 0
		for time.Since(began) < 10*time.Second {
			for _, size := range []int{maxBodyPart, maxUnpaced, 1} {
				if err := pacer.wait(context.Background(), size); err != nil {
					t.Fatal(err)
				}
				sent += size
			}
		}
		rate := float64(sent) / time.Since(began).Seconds()
		if rate > 0.9*linkRate || rate < 0.8*linkRate {
			t.Errorf("%.0f bytes per second on a link of %.0f", rate, linkRate)
		}
	})
}

// The time left that is sent with a request does not count the wait for the link.
func TestTimeoutIsThatOfSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := make(chan time.Duration, 1)
		node := &fakeNode{admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			told <- time.Until(req.Deadline)
			return btfixture.OKResponse(""), nil
		}}
		_, c := newTestNetwork(t, node, nil)
		c.Pacer = NewPacer(linkMegabits)
		for range 30 { // 30 frames of 64 KiB, a second of the link
			_ = c.Pacer.limiter.ReserveN(time.Now(), maxBodyPart)
		}
		req := request(strings.Repeat("x", 2*maxUnpaced), 3*time.Second)
		resp, err := c.Forward(context.Background(), testTarget, req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if left := <-told; left > 2500*time.Millisecond {
			t.Errorf("the node was told %s, over a second after the request began with 3s", left)
		}
	})
}

// Frames whose requests have ended don't delay those behind them.
func TestCanceledFramesLeavePacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(linkMegabits)
		ctx, cancel := context.WithCancel(context.Background())
		for range 60 {
			go func() { _ = p.wait(ctx, maxBodyPart) }()
		}
		synctest.Wait()
		cancel()
		began := time.Now()
		if err := p.wait(context.Background(), maxBodyPart); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("a frame waited %s", took)
		}
	})
}

// Small frames delay a body by a bounded time, however many they are.
func TestSmallFramesDelayBodiesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(linkMegabits)
		for range 2000 {
			if err := p.wait(context.Background(), maxUnpaced); err != nil {
				t.Fatal(err)
			}
			time.Sleep(maxUnpaced * time.Second / (linkRate * 95 / 100))
		}
		began := time.Now()
		if err := p.wait(context.Background(), maxBodyPart); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 150*time.Millisecond {
			t.Errorf("a body waited %s", took)
		}
	})
}

// A request that ends before it was sent says why; nothing is held against its target.
func TestRequestEndsInPacer(t *testing.T) {
	tests := map[error]baobabtide.Reason{
		context.DeadlineExceeded: baobabtide.ReasonDeadline,
		context.Canceled:         baobabtide.ReasonCanceled,
	}
	for cause, want := range tests {
		t.Run(string(want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := newTestNetwork(t, workingNode(time.Millisecond), nil)
				c.Pacer = NewPacer(linkMegabits)
				for range 30 {
					_ = c.Pacer.limiter.ReserveN(time.Now(), maxBodyPart)
				}
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
				_, err := c.Forward(ctx, testTarget, request(strings.Repeat("x", 2*maxUnpaced), 3*time.Second))
				got := baobabtide.AsRequestError(err)
				if got.Reason != want || got.Verdict != baobabtide.NotRun {
					t.Errorf("%v, want %s, not run", got, want)
				}
			})
		})
	}
}
