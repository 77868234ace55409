package btpeer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/btquota"
)

// A report and its answer must arrive as they were sent, and one with an impossible value must not
// arrive: a share above 1 would let a node exceed the limit of an account.
func TestUsage(t *testing.T) {
	tests := map[string]struct {
		demand   float32
		fraction float32
		ok       bool
	}{
		"valid":             {2.5, 0.25, true},
		"negative demand":   {-1, 0.25, false},
		"more than a limit": {2.5, 1.5, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var received *btquota.Report
			answer := &btquota.Answer{Node: "b", Process: 7, Zone: "z", Ready: true, Shares: []btquota.Share{{Account: 1 << 63, Fraction: tt.fraction, Tokens: 3, Admit: 0.5, Use: 2}}}
			node := &fakeNode{usage: func(r *btquota.Report) *btquota.Answer {
				received = r
				return answer
			}}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server, stopServer := NewServer(node, nil, &ByteCounter{})
			go func() { _ = server.Serve(listener) }()
			defer stopServer()
			client, closeClient := NewClient(nil, &ByteCounter{}, nil, testSilenceLimit)
			defer closeClient()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			report := &btquota.Report{Node: "a", Process: 1 << 40, Zone: "z", Moved: true, Rows: []btquota.Row{{Account: 1 << 63, Demand: tt.demand, Held: 0.5, Used: -3}}}
			got, err := client.Usage(ctx, listener.Addr().String(), report)
			if (err == nil) != tt.ok {
				t.Fatalf("error %v", err)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(report, received); diff != "" {
				t.Errorf("report (-sent +received):\n%s", diff)
			}
			if diff := cmp.Diff(answer, got); diff != "" {
				t.Errorf("answer (-sent +received):\n%s", diff)
			}
		})
	}
}

// The cost of one report with its answer, of the sender and the coordinator together.
func BenchmarkUsage(b *testing.B) {
	answer := &btquota.Answer{Node: "b", Process: 7, Zone: "z", Ready: true, Shares: make([]btquota.Share, 30)}
	node := &fakeNode{usage: func(*btquota.Report) *btquota.Answer { return answer }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, stopServer := NewServer(node, nil, &ByteCounter{})
	go func() { _ = server.Serve(listener) }()
	defer stopServer()
	client, closeClient := NewClient(nil, &ByteCounter{}, nil, testSilenceLimit)
	defer closeClient()
	report := &btquota.Report{Node: "a", Process: 1 << 40, Zone: "z", Rows: make([]btquota.Row, 30)}
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		calls++
		if _, err := client.Usage(context.Background(), listener.Addr().String(), report); err != nil {
			b.Fatal(err)
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/float64(calls), "cpu-ns/op")
}
