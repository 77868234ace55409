package btplatform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btfixture"
)

// Bytes that follow a complete response of the log are never taken for the response to
// the next call, and their connection is closed. That call was not sent.
func TestSurplusFromLog(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_ = btfixture.EndlessResponses()["shed-surplus"].Send(c, 0)
		close(closed)
	}()
	c, closeClient := NewClient([]string{listener.Addr().String()}, time.Second)
	defer closeClient()
	if _, err := c.Append(context.Background(), "s", []byte("r")); !errors.Is(err, baobabtide.ErrUnavailable) || errors.Is(err, btconn.ErrUnreadInput) {
		t.Errorf("append that the log refuses: %v", err)
	}
	if _, err := c.Append(context.Background(), "s", []byte("r")); !errors.Is(err, baobabtide.ErrUnavailable) || !errors.Is(err, btconn.ErrUnreadInput) {
		t.Errorf("append on a connection with surplus input: %v", err)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second): // generous, as tests may share busy processors
		t.Error("the connection is still open")
	}
}

// After a read without a response, each idle connection that had fallen silent with it cost another
// time-out.
func TestReadAfterConnectionsFellSilent(t *testing.T) {
	const connections = 4
	var mu sync.Mutex
	generation := 0 // of the connections that are opened now; those of earlier ones are silent
	type generationKey struct{}
	var arrived sync.WaitGroup // reads that must have arrived before the first response
	arrived.Add(connections)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		current := generation
		mu.Unlock()
		opened, _ := r.Context().Value(generationKey{}).(int)
		switch {
		case opened < current:
			<-r.Context().Done()
		case current == 0:
			arrived.Done()
			arrived.Wait()
			fallthrough
		default:
			_, _ = io.WriteString(w, `{"Entries":[],"First":0,"Next":1}`)
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		mu.Lock()
		defer mu.Unlock()
		return context.WithValue(ctx, generationKey{}, generation)
	}
	server.Start()
	defer server.Close()
	c, closeClient := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, time.Second)
	defer closeClient()
	read := func() error {
		_, err := c.Read(context.Background(), baobabtide.ConfigStream, 1, 0)
		return err
	}
	var reads sync.WaitGroup
	for range connections {
		reads.Go(func() {
			if err := read(); err != nil {
				t.Error(err)
			}
		})
	}
	reads.Wait()
	mu.Lock()
	generation++
	mu.Unlock()
	if err := read(); !errors.Is(err, baobabtide.ErrUnavailable) {
		t.Errorf("first read: %v, want %v", err, baobabtide.ErrUnavailable)
	}
	if err := read(); err != nil {
		t.Errorf("second read: %v", err)
	}
}
