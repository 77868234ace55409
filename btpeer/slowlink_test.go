package btpeer

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

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

// A request is not given up for the silence since an earlier request, which was canceled
// before anything was sent.
func TestEarlierSilenceDoesNotEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Fatalf("before (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff("deadline", forward(c, 0)); diff != "" {
			t.Fatalf("earlier request (-want +got):\n%s", diff)
		}
		time.Sleep(2 * time.Second)
		n.serverLink.occupy(1.2 * linkRate)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Errorf("full link (-want +got):\n%s", diff)
		}
	})
}

// A message that arrives slowly shows that the connection is alive.
func TestSlowBodyKeepsConnection(t *testing.T) {
	const bodySize = 4 * maxBodyPart
	synctest.Test(t, func(t *testing.T) {
		node := &fakeNode{admit: func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
			return btfixture.OKResponse(strings.Repeat("x", bodySize)), nil
		}}
		n, c := newTestNetwork(t, node, nil)
		n.serverLink.rate = linkWindow / 2 // a full window takes longer than testSilenceLimit
		if diff := cmp.Diff(bodySize, len(forward(c, time.Minute))); diff != "" {
			t.Errorf("bytes received (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(1, n.dialed()); diff != "" {
			t.Errorf("connections (-want +got):\n%s", diff)
		}
	})
}

// A connection that stalls and recovers keeps its requests, though new ones work
// meanwhile.
func TestStalledConnectionKeepsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(2*time.Second), nil)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Fatalf("before (-want +got):\n%s", diff)
		}
		n.hold(600 * time.Millisecond)
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Errorf("stalled connection (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(2, n.dialed()); diff != "" {
			t.Errorf("connections (-want +got):\n%s", diff)
		}
	})
}

// A body that a full link has not delivered by the deadline is late, not truncated.
func TestLateBodyIsNotTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, echoNode(), nil)
		n.serverLink.rate = 2 * linkWindow
		req := request("", time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
		defer cancel()
		resp, err := c.Forward(ctx, testTarget, req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		want := &baobabtide.RequestError{Verdict: baobabtide.Ran, Reason: baobabtide.ReasonDeadline}
		got := baobabtide.AsRequestError(err)
		if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(baobabtide.RequestError{}, "Err")); diff != "" {
			t.Errorf("error (-want +got):\n%s", diff)
		}
	})
}

// A link that delays everything by 0.7 s makes connections suspect time and again, but
// most requests get through.
func TestRequestsPassSlowLink(t *testing.T) {
	const requests = 200
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		forward(c, 3*time.Second)
		n.serverLink.occupy(0.7 * linkRate)
		var served atomic.Int64
		var running sync.WaitGroup
		for range requests {
			running.Go(func() {
				if forward(c, 3*time.Second) == "done" {
					served.Add(1)
				}
			})
			time.Sleep(50 * time.Millisecond)
			n.serverLink.occupy(0.05 * linkRate) // keeps the queue as it is
		}
		running.Wait()
		if served.Load() < requests*9/10 {
			t.Errorf("%d of %d requests were served", served.Load(), requests)
		}
	})
}

// A call that is not a forwarded request keeps its connection open too.
func TestReserveKeepsSuspectConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(10*time.Millisecond), nil)
		forward(c, 3*time.Second)
		n.serverLink.occupy(0.9 * linkRate)
		go forward(c, 650*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if _, err := c.Reserve(ctx, testTarget.Address, baobabtide.KeyRecord{Key: "k", Attempt: "a"}); err != nil {
			t.Error(err)
		}
	})
}

// Where bodies are paced, requests to a node that was cut off are given up sooner.
func TestCutOffNodeIsGivenUpSoonIfPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		c.Pacer = NewPacer(linkMegabits)
		forward(c, 3*time.Second)
		n.cut()
		var running sync.WaitGroup
		for range 10 { // the later ones must not keep the earlier ones waiting
			running.Go(func() {
				began := time.Now()
				if diff := cmp.Diff("connection-lost", forward(c, time.Minute)); diff != "" {
					t.Errorf("cut off (-want +got):\n%s", diff)
				}
				if took := time.Since(began); took > 850*time.Millisecond {
					t.Errorf("given up after %s", took)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		running.Wait()
	})
}

// A connection on which requests were given up although the node was alive is reported as
// such, and carries on.
func TestWronglyGivenUpConnectionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := newTestNetwork(t, workingNode(100*time.Millisecond), nil)
		c.Pacer = NewPacer(linkMegabits)
		reports := make(chan UnresponsiveConn, 1)
		c.Unresponsive = func(u UnresponsiveConn) { reports <- u }
		forward(c, 3*time.Second)
		n.serverLink.occupy(1.2 * linkRate)
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() {
				if diff := cmp.Diff("connection-lost", forward(c, 5*time.Second)); diff != "" {
					t.Errorf("first (-want +got):\n%s", diff)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		running.Wait()
		got := <-reports
		if got.Requests == 0 || !got.HeardLater {
			t.Errorf("report %+v", got)
		}
		if diff := cmp.Diff("done", forward(c, 3*time.Second)); diff != "" {
			t.Errorf("after (-want +got):\n%s", diff)
		}
	})
}
