package btpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btquota"
)

const testSilenceLimit = 1500 * time.Millisecond

// fakeNode implements Node with the given functions and echoes gossip.
type fakeNode struct {
	admit  func(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error)
	settle func(attempt string) baobabtide.Verdict
	usage  func(report *btquota.Report) *btquota.Answer
}

func (n *fakeNode) Admit(ctx context.Context, _ string, _ uint64, req *baobabtide.Request) (*baobabtide.Response, error) {
	return n.admit(ctx, req)
}

func (n *fakeNode) SettleLocal(attempt string) baobabtide.Verdict { return n.settle(attempt) }

func (n *fakeNode) Process() uint64                                          { return 7 }
func (n *fakeNode) Info() Info                                               { return Info{Node: "fake"} }
func (n *fakeNode) Drain(string) int                                         { return 0 }
func (n *fakeNode) ReserveKey(key baobabtide.KeyRecord) baobabtide.KeyRecord { return key }
func (n *fakeNode) Usage(r *btquota.Report) *btquota.Answer                  { return n.usage(r) }
func (n *fakeNode) ResolveKey(baobabtide.KeyRecord)                          {}
func (n *fakeNode) Gossip(conn *Stream[Gossip, Gossip]) error {
	for {
		m, err := conn.Recv()
		if err != nil {
			return err
		}
		if err := conn.Send(m); err != nil {
			return err
		}
	}
}

func serve(t *testing.T, n Node) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, stop := NewServer(n, nil, &ByteCounter{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(stop)
	return listener.Addr().String()
}

func client(t *testing.T) *Client {
	t.Helper()
	c, closeClient := NewClient(nil, &ByteCounter{}, nil, testSilenceLimit)
	t.Cleanup(closeClient)
	return c
}

func request(body string, timeout time.Duration) *baobabtide.Request {
	req := &baobabtide.Request{Attempt: "a", Method: "POST", Target: "/x", Deadline: time.Now().Add(timeout)}
	if body != "" {
		req.Body, req.BodyLength = &baobabtide.BytesBody{Data: []byte(body)}, int64(len(body))
	}
	return req
}

func TestForwardBodySizes(t *testing.T) {
	echo := &fakeNode{admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		if req.Body == nil {
			return btfixture.OKResponse(""), nil
		}
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		return btfixture.OKResponse(string(data)), nil
	}}
	target := baobabtide.TargetRef{Node: "n", Address: serve(t, echo)}
	c := client(t)
	for _, size := range []int{0, 1, firstBodyPart - 1, firstBodyPart, firstBodyPart + 1, maxBodyPart, 3*maxBodyPart + 7, 5 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := string(bytes.Repeat([]byte("0123456789"), size/10+1)[:size])
			resp, err := c.Forward(context.Background(), target, request(body, 10*time.Second))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != body {
				t.Errorf("read %d bytes, error %v", len(got), err)
			}
		})
	}
}

// An error of the serving node reaches the forwarding node with its verdict and
// reason, and an error that proves nothing becomes MayHaveRun.
func TestForwardErrors(t *testing.T) {
	type outcome struct {
		Verdict baobabtide.Verdict
		Reason  baobabtide.Reason
	}
	blockUntilDeadline := func(ctx context.Context, _ *baobabtide.Request) (*baobabtide.Response, error) {
		<-ctx.Done()
		return nil, &baobabtide.RequestError{Reason: baobabtide.ReasonDeadline, Err: ctx.Err()}
	}
	tests := map[string]struct {
		admit func(ctx context.Context, req *baobabtide.Request) (*baobabtide.Response, error)
		want  outcome
	}{
		"refused": {func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
			return nil, baobabtide.Refuse(baobabtide.ReasonOverload, time.Second, errors.New("full"))
		}, outcome{baobabtide.NotRun, baobabtide.ReasonOverload}},
		"unknown outcome": {func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
			return nil, errors.New("backend server lost")
		}, outcome{baobabtide.MayHaveRun, baobabtide.ReasonLost}},
		"deadline": {blockUntilDeadline, outcome{baobabtide.MayHaveRun, baobabtide.ReasonDeadline}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := baobabtide.TargetRef{Address: serve(t, &fakeNode{admit: tt.admit})}
			_, err := client(t).Forward(context.Background(), target, request("", 200*time.Millisecond))
			re := baobabtide.AsRequestError(err)
			if diff := cmp.Diff(tt.want, outcome{re.Verdict, re.Reason}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

func TestForwardToUnreachableNode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = client(t).Forward(context.Background(), baobabtide.TargetRef{Address: address}, request("", 500*time.Millisecond))
	if diff := cmp.Diff(baobabtide.NotRun, baobabtide.AsRequestError(err).Verdict); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// A request whose node stops while serving it may have run.
func TestForwardWhenNodeStops(t *testing.T) {
	entered := make(chan struct{})
	node := &fakeNode{admit: func(ctx context.Context, _ *baobabtide.Request) (*baobabtide.Response, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, _ := NewServer(node, nil, &ByteCounter{})
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-entered
		server.grpc.Stop()
	}()
	_, err = client(t).Forward(context.Background(), baobabtide.TargetRef{Address: listener.Addr().String()}, request("", 5*time.Second))
	if diff := cmp.Diff(baobabtide.MayHaveRun, baobabtide.AsRequestError(err).Verdict); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

func TestTruncatedResponseBody(t *testing.T) {
	node := &fakeNode{admit: func(context.Context, *baobabtide.Request) (*baobabtide.Response, error) {
		return &baobabtide.Response{Status: 200, Body: btfixture.TruncatedBody{Reader: strings.NewReader(strings.Repeat("x", 3*maxBodyPart))}, Length: -1}, nil
	}}
	resp, err := client(t).Forward(context.Background(), baobabtide.TargetRef{Address: serve(t, node)}, request("", 5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	re := baobabtide.AsRequestError(err)
	if err == nil || re.Verdict != baobabtide.Ran || re.Reason != baobabtide.ReasonTruncated {
		t.Errorf("error %v, want verdict ran and reason truncated-response", err)
	}
}

// failingBody is a request body whose Read fails before the end, but not before the
// request is being served: the call is canceled then, and a call that is canceled at once
// may never reach the server.
type failingBody struct {
	io.Reader
	serving chan struct{}
}

func (b failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-b.serving
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (failingBody) Rewind() bool { return false }

func TestTruncatedRequestBody(t *testing.T) {
	read, serving := make(chan error, 1), make(chan struct{})
	node := &fakeNode{admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
		close(serving)
		_, err := io.Copy(io.Discard, req.Body)
		read <- err
		return nil, err
	}}
	req := request("", 5*time.Second)
	req.Body, req.BodyLength = failingBody{strings.NewReader(strings.Repeat("x", 3*maxBodyPart)), serving}, -1
	_, _ = client(t).Forward(context.Background(), baobabtide.TargetRef{Address: serve(t, node)}, req)
	if err := <-read; err == nil {
		t.Error("a truncated body was read without an error")
	}
}

func TestForwardPropagatesCancellation(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan struct{})
	node := &fakeNode{admit: func(ctx context.Context, _ *baobabtide.Request) (*baobabtide.Response, error) {
		close(entered)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	_, err := client(t).Forward(ctx, baobabtide.TargetRef{Address: serve(t, node)}, request("", time.Minute))
	if diff := cmp.Diff(baobabtide.ReasonCanceled, baobabtide.AsRequestError(err).Reason); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
	<-ended
}

func TestSettle(t *testing.T) {
	node := &fakeNode{settle: func(attempt string) baobabtide.Verdict {
		if attempt == "ran" {
			return baobabtide.Ran
		}
		return baobabtide.NotRun
	}}
	address := serve(t, node)
	tests := []struct {
		attempt string
		process uint64
		want    baobabtide.Verdict
	}{
		{"ran", 7, baobabtide.Ran},
		{"other", 7, baobabtide.NotRun},
		// A process does not know the attempts of a killed one before it. A new process
		// reported a booking that had run in the killed one as not run.
		{"other", 6, baobabtide.MayHaveRun},
		{"other", 0, baobabtide.MayHaveRun},
	}
	for _, tt := range tests {
		target := baobabtide.TargetRef{Address: address, Process: tt.process}
		got, err := client(t).Settle(context.Background(), target, tt.attempt)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%q sent to process %d (-want +got):\n%s", tt.attempt, tt.process, diff)
		}
	}
}

// A state near the largest one that a node encodes fits into a message.
func TestGossipCarriesLargeState(t *testing.T) {
	conn, end, err := client(t).Gossip(context.Background(), serve(t, &fakeNode{}))
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	want := &Gossip{State: bytes.Repeat([]byte{7}, maxMessage-1<<10)}
	if err := conn.Send(want); err != nil {
		t.Fatal(err)
	}
	got, err := conn.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want.State, got.State) {
		t.Errorf("%d bytes arrived, want %d", len(got.State), len(want.State))
	}
}

func TestGossipBytesAreCounted(t *testing.T) {
	var bytes ByteCounter
	c, closeClient := NewClient(nil, &bytes, nil, testSilenceLimit)
	defer closeClient()
	conn, end, err := c.Gossip(context.Background(), serve(t, &fakeNode{}))
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	if err := conn.Send(&Gossip{Hello: &Hello{Node: "n"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Recv(); err != nil {
		t.Fatal(err)
	}
	totals := bytes.Totals()
	if totals.Out == 0 || totals.In == 0 {
		t.Errorf("totals %+v", totals)
	}
}

func FuzzDecodeGossip(f *testing.F) {
	data, err := btcodec.EncodeCBOR(&Gossip{
		Hello:     &Hello{Node: "n"},
		Heartbeat: &Heartbeat{Offset: 1},
		Members:   []baobabtide.Member{{Name: "n", Zone: "z"}},
		Repair:    &Repair{Buckets: []int{1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = btcodec.DecodeCBOR(data, &Gossip{})
		_ = btcodec.DecodeCBOR(data, &RequestFrame{})
		_ = btcodec.DecodeCBOR(data, &ResponseFrame{})
	})
}

// A panic in a call of another node ended the process. The caller learns nothing about its
// request, which may have run.
func TestPanicEndsOneCall(t *testing.T) {
	node := &fakeNode{
		admit: func(_ context.Context, req *baobabtide.Request) (*baobabtide.Response, error) {
			if req.Target == "/panic" {
				panic("unexpected")
			}
			return btfixture.OKResponse("ok"), nil
		},
		settle: func(string) baobabtide.Verdict { panic("unexpected") },
	}
	client, closeClient := NewClient(nil, &ByteCounter{}, nil, testSilenceLimit)
	t.Cleanup(closeClient)
	target := baobabtide.TargetRef{Node: "fake", Address: serve(t, node), Process: 7}
	request := func(path string) *baobabtide.Request {
		return &baobabtide.Request{Attempt: "a", Customer: "c", Method: "GET", Target: path, Deadline: time.Now().Add(5 * time.Second)}
	}
	_, err := client.Forward(context.Background(), target, request("/panic"))
	if err == nil {
		t.Fatal("the call that panicked has a response")
	}
	if diff := cmp.Diff(baobabtide.MayHaveRun, baobabtide.AsRequestError(err).Verdict); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	if verdict, err := client.Settle(context.Background(), target, "a"); verdict != baobabtide.MayHaveRun || err == nil {
		t.Errorf("settled as %v, %v", verdict, err)
	}
	resp, err := client.Forward(context.Background(), target, request("/read"))
	if err != nil {
		t.Fatalf("the next call failed: %v", err)
	}
	_ = resp.Body.Close()
}

// A request with a short body of known length takes a single frame, whose buffer has the size of
// the body.
func TestShortBodyTakesOneFrame(t *testing.T) {
	for _, size := range []int{0, 1, 100, 4000, firstBodyPart/2 - 1} {
		req := &baobabtide.Request{Attempt: "a", Method: "POST", Target: "/", Body: &baobabtide.BytesBody{Data: make([]byte, size)}, BodyLength: int64(size)}
		frame, err := firstFrame(baobabtide.TargetRef{}, req)
		if err != nil {
			t.Fatal(err)
		}
		if !frame.Last || len(frame.Body) != size {
			t.Errorf("body of %d bytes: %d in the first frame, last %v", size, len(frame.Body), frame.Last)
		}
		if held := cap(frame.Body); held > 2*(size+1) {
			t.Errorf("body of %d bytes: a buffer of %d", size, held)
		}
	}
}
