package btlogstandin_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btplatform"
)

const (
	retention = 5
	stream    = baobabtide.ConfigStream
	timeout   = time.Second
)

// implementations returns functions that open each implementation of
// baobabtide.Log, and the stand-in that it uses.
func implementations(t *testing.T) map[string]func(appendsPerSecond int) (baobabtide.Log, *btlogstandin.Log) {
	return map[string]func(int) (baobabtide.Log, *btlogstandin.Log){
		"in memory": func(rate int) (baobabtide.Log, *btlogstandin.Log) {
			l := btlogstandin.New(retention, rate)
			return l, l
		},
		"over HTTP": func(rate int) (baobabtide.Log, *btlogstandin.Log) {
			l := btlogstandin.New(retention, rate)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server, stop := btlogstandin.NewServer(l)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(stop)
			client, closeClient := btplatform.NewClient([]string{listener.Addr().String()}, timeout)
			t.Cleanup(closeClient)
			return client, l
		},
	}
}

func appendAll(t *testing.T, l baobabtide.Log, records ...string) {
	t.Helper()
	for _, r := range records {
		if _, err := l.Append(context.Background(), stream, []byte(r)); err != nil {
			t.Fatalf("append %q: %v", r, err)
		}
	}
}

// Every implementation of baobabtide.Log must return the same records and errors.
func TestLogContract(t *testing.T) {
	tests := map[string]struct {
		rate int
		run  func(t *testing.T, l baobabtide.Log, standin *btlogstandin.Log) ([]string, error)
		want []string
		err  error
	}{
		"empty stream": {100, func(_ *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			return read(l, 1)
		}, nil, nil},
		"read from an offset": {100, func(t *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b", "c")
			return read(l, 2)
		}, []string{"2 b", "3 c"}, nil},
		"read beyond the end": {100, func(t *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a")
			return read(l, 2)
		}, nil, nil},
		"read from the oldest": {100, func(t *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b", "c", "d", "e", "f")
			return read(l, 0)
		}, []string{"2 b", "3 c", "4 d", "5 e", "6 f"}, nil},
		"read beyond the retention": {100, func(t *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b", "c", "d", "e", "f")
			return read(l, 1)
		}, nil, baobabtide.ErrRetention},
		"wait for a record": {100, func(_ *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			go func() { _, _ = l.Append(context.Background(), stream, []byte("a")) }()
			page, err := l.Read(context.Background(), stream, 1, timeout)
			return entryTexts(page), err
		}, []string{"1 a"}, nil},
		"outage of appends": {100, func(_ *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			s.SetFaults(btlogstandin.Faults{Outage: true})
			_, err := l.Append(context.Background(), stream, []byte("a"))
			return nil, err
		}, nil, baobabtide.ErrUnavailable},
		"outage of reads": {100, func(_ *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			s.SetFaults(btlogstandin.Faults{Outage: true})
			return read(l, 1)
		}, nil, baobabtide.ErrUnavailable},
		"append in an outage has no effect": {100, func(_ *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			s.SetFaults(btlogstandin.Faults{Outage: true})
			_, _ = l.Append(context.Background(), stream, []byte("a"))
			s.SetFaults(btlogstandin.Faults{})
			return read(l, 1)
		}, nil, nil},
		"lost answer": {100, func(_ *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			s.SetFaults(btlogstandin.Faults{LoseAnswers: 1})
			_, err := l.Append(context.Background(), stream, []byte("a"))
			return nil, err
		}, nil, baobabtide.ErrUncertain},
		"append with a lost answer took effect": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			s.SetFaults(btlogstandin.Faults{LoseAnswers: 1})
			_, _ = l.Append(context.Background(), stream, []byte("a"))
			appendAll(t, l, "b")
			return read(l, 1)
		}, []string{"1 a", "2 b"}, nil},
		"forgotten records": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b")
			s.SetFaults(btlogstandin.Faults{Forget: true})
			return read(l, 2)
		}, nil, baobabtide.ErrRetention},
		"next record after the forgotten ones": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b")
			s.SetFaults(btlogstandin.Faults{Forget: true})
			return read(l, 3)
		}, nil, nil},
		"forgotten in the middle of a series": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b")
			s.SetFaults(btlogstandin.Faults{Forget: true})
			appendAll(t, l, "c", "d")
			return read(l, 0)
		}, []string{"3 c", "4 d"}, nil},
		"read from before the middle of a series": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a", "b")
			s.SetFaults(btlogstandin.Faults{Forget: true})
			appendAll(t, l, "c", "d")
			return read(l, 2)
		}, nil, baobabtide.ErrRetention},
		"waiting read of forgotten records": {100, func(t *testing.T, l baobabtide.Log, s *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a")
			var got []string
			ended := make(chan error, 1)
			go func() {
				page, err := l.Read(context.Background(), stream, 2, time.Minute)
				got = entryTexts(page)
				ended <- err
			}()
			for { // the read may not be waiting yet
				s.SetFaults(btlogstandin.Faults{Forget: true})
				select {
				case err := <-ended:
					return got, err
				case <-time.After(time.Millisecond):
				}
			}
		}, nil, baobabtide.ErrUnavailable},
		"too many appends": {10, func(t *testing.T, l baobabtide.Log, _ *btlogstandin.Log) ([]string, error) {
			appendAll(t, l, "a")
			_, err := l.Append(context.Background(), stream, []byte("b"))
			return nil, err
		}, nil, baobabtide.ErrUnavailable},
	}
	for name, tt := range tests {
		for kind, open := range implementations(t) {
			t.Run(name+" "+kind, func(t *testing.T) {
				l, standin := open(tt.rate)
				got, err := tt.run(t, l, standin)
				if !errors.Is(err, tt.err) {
					t.Fatalf("error %v, want %v", err, tt.err)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("records (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func read(l baobabtide.Log, from baobabtide.Offset) ([]string, error) {
	page, err := l.Read(context.Background(), stream, from, 0)
	return entryTexts(page), err
}

func entryTexts(page baobabtide.Page) []string {
	var all []string
	for _, e := range page.Entries {
		all = append(all, string(rune('0'+e.Offset))+" "+string(e.Data))
	}
	return all
}

// An append that can't reach the log has no effect, so its result isn't uncertain.
func TestUnreachableLogIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client, closeClient := btplatform.NewClient([]string{address}, timeout)
	defer closeClient()
	if _, err := client.Append(context.Background(), stream, nil); !errors.Is(err, baobabtide.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}

// An append to a log that accepts the connection and never responds may have taken
// effect.
func TestUnresponsiveLogIsUncertain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, closeClient := btplatform.NewClient([]string{listener.Addr().String()}, 100*time.Millisecond)
	defer closeClient()
	if _, err := client.Append(context.Background(), stream, []byte("a")); !errors.Is(err, baobabtide.ErrUncertain) {
		t.Errorf("error %v", err)
	}
}

// A canceled read must return at once: one that outlives its context delays a node's
// planned stop by up to 12 s.
func TestReadReturnsWhenContextIsCanceled(t *testing.T) {
	for kind, open := range implementations(t) {
		t.Run(kind, func(t *testing.T) {
			l, _ := open(100)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() {
				_, err := l.Read(ctx, stream, 1, time.Minute)
				ended <- err
			}()
			cancel()
			select {
			case err := <-ended:
				if !errors.Is(err, baobabtide.ErrUnavailable) {
					t.Errorf("error %v", err)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the read has not returned 5 s after its context was canceled")
			}
		})
	}
}
