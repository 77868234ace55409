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

var testTarget = baobabtide.TargetRef{Node: "n", Address: "server"}

// workingNode admits each request and responds after the given work.
func workingNode(work time.Duration) *fakeNode {
	return &fakeNode{admit: func(ctx context.Context, _ *baobabtide.Request) (*baobabtide.Response, error) {
		select {
		case <-time.After(work):
			return btfixture.OKResponse("done"), nil
		case <-ctx.Done():
			return nil, &baobabtide.RequestError{Reason: baobabtide.ReasonCanceled, Err: context.Cause(ctx)}
		}
	}}
}

// forward sends a request and returns the body of its response or the reason of its
// error.
func forward(c *Client, timeout time.Duration) string {
	req := request("", timeout)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	resp, err := c.Forward(ctx, testTarget, req)
	if err != nil {
		return string(baobabtide.AsRequestError(err).Reason)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Pings and their responses that wait behind other data on a full link do not end the
// requests of a node that is alive.
func TestFullLinkDoesNotEndRequests(t *testing.T) {
	const queued = 1.2 * linkRate // bytes that take 1.2 s
	tests := map[string]func(n *testNetwork) *testLink{
		"link of the node with the server": func(n *testNetwork) *testLink { return &n.serverLink },
		"link of the forwarding node":      func(n *testNetwork) *testLink { return &n.clientLink },
	}
	for name, link := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
				if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
					t.Fatalf("idle link (-want +got):\n%s", diff)
				}
				link(n).occupy(queued)
				if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
					t.Errorf("full link (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A connection that has gone silent for good is given up, while new ones work.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Fatalf("before (-want +got):\n%s", diff)
		}
		n.silence()
		began := time.Now()
		if diff := cmp.Diff("connection-lost", forward(c, 5*time.Second)); diff != "" {
			t.Errorf("silent connection (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("given up after %s", took)
		}
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Errorf("next request (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(2, n.dialed()); diff != "" {
			t.Errorf("connections (-want +got):\n%s", diff)
		}
	})
}

// A node that was cut off gets no new request, and those in flight end before their
// deadline.
func TestCutOffNodeIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Fatalf("before (-want +got):\n%s", diff)
		}
		n.cut()
		began := time.Now()
		if diff := cmp.Diff("connection-lost", forward(c, time.Minute)); diff != "" {
			t.Errorf("cut off (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > testSilenceLimit+probePeriod {
			t.Errorf("given up after %s", took)
		}
		began = time.Now()
		_, err := c.Forward(context.Background(), testTarget, request("", time.Minute))
		if diff := cmp.Diff(baobabtide.NotRun, baobabtide.AsRequestError(err).Verdict); diff != "" {
			t.Errorf("verdict of the next request (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > openTimeout {
			t.Errorf("the next request was refused after %s", took)
		}
	})
}

// Large bodies leave the link free for small messages, on any connection of the node, and
// arrive whole at almost the rate of the link.
func TestBodiesDoNotDelaySmallMessages(t *testing.T) {
	const (
		bodies   = 13
		bodySize = 540 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		node := &fakeNode{admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			if req.Target == "/small" {
				return btfixture.OKResponse("done"), nil
			}
			return btfixture.OKResponse(strings.Repeat("x", bodySize)), nil
		}}
		n, small := newTestNetwork(t, node, NewPacer(linkRate*bitsPerByte/bitsPerMega))
		began := time.Now()
		var received sync.WaitGroup
		for range bodies {
			c := n.client(t)
			received.Go(func() {
				if got := len(forward(c, time.Minute)); got != bodySize {
					t.Errorf("received %d bytes", got)
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
			req := request("", 3*time.Second)
			req.Target = "/small"
			resp, err := small.Forward(context.Background(), testTarget, req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if took := time.Since(sent); took > probeTimeout/2 {
				t.Errorf("small response after %s", took)
			}
			select {
			case <-allReceived:
				done = true
			case <-time.After(50 * time.Millisecond):
			}
		}
		full := time.Duration(bodies * bodySize / linkRate * float64(time.Second))
		if took := time.Since(began); took > full*13/10 {
			t.Errorf("all bodies took %s, %s at the rate of the link", took, full)
		}
	})
}

// A silent connection is replaced also where each request on it ends before the probe has
// seen enough silence.
func TestShortRequestsNoticeSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(time.Millisecond), nil)
		if diff := cmp.Diff("done", forward(c, time.Second)); diff != "" {
			t.Fatalf("before (-want +got):\n%s", diff)
		}
		n.silence()
		began := time.Now()
		for forward(c, 150*time.Millisecond) != "done" {
			if took := time.Since(began); took > 2*time.Second {
				t.Fatalf("requests still fail after %s", took)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}
