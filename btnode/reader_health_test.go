package btnode

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfollow"
	"github.com/baobabtide/baobabtide/btmember"
)

// readsLog is a Log whose reads return what a function returns.
type readsLog struct {
	calls atomic.Int64
	read  func(ctx context.Context, call int64, stream baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error)
}

func (l *readsLog) Append(context.Context, baobabtide.Stream, []byte) (baobabtide.Entry, error) {
	return baobabtide.Entry{}, baobabtide.ErrUnavailable
}

func (l *readsLog) Read(ctx context.Context, stream baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	return l.read(ctx, l.calls.Add(1), stream, from, wait)
}

// readsUntilStop runs readLoop of a reader until the test ends.
func readsUntilStop(t *testing.T, n *Node) {
	t.Helper()
	done := make(chan struct{})
	n.updateReadDuty(time.Now())
	go func() { defer close(done); n.runLoop(n.readLoop) }()
	t.Cleanup(func() { n.cancel(); <-done })
}

// A reader that the log does not answer goes on trying, also after a panic.
func TestFlagOfReaderEndsAfterPanic(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	other := baobabtide.Member{Name: "other", Zone: n.locality.Zone, PeerAddress: "127.0.0.1:3", Incarnation: 1, Sequence: 1}
	n.members.table.Merge(btmember.Delta{Members: []baobabtide.Member{other}}, time.Now())
	n.adapters.Log = &readsLog{read: func(ctx context.Context, call int64, _ baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
		switch call {
		case 1, 2:
			return baobabtide.Page{}, baobabtide.ErrUnavailable
		case 3:
			if !n.saysLogDown() {
				t.Error("two failures were not announced")
			}
			panic("a fault")
		}
		n.sleep(wait)
		return baobabtide.Page{First: 1, Next: from}, nil
	}}
	readsUntilStop(t, n)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !n.saysLogDown() && n.adapters.Log.(*readsLog).calls.Load() > 3 {
			return
		}
	}
	t.Errorf("LogDown %v, reader %v after %d reads", n.saysLogDown(), n.reader.Load(), n.adapters.Log.(*readsLog).calls.Load())
}

// A connection that the log closes during a wait is one quick failure, however long the wait was.
func TestEndOfWaitingConnectionIsOneFailure(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	n.settings.Platform.Timeout, n.settings.Platform.ReadWait = 50*time.Millisecond, 4*time.Second
	waiting := make(chan struct{})
	n.adapters.Log = &readsLog{read: func(ctx context.Context, call int64, _ baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
		if call == 1 {
			n.sleep(min(wait, 100*time.Millisecond))
			return baobabtide.Page{}, baobabtide.ErrUnavailable // long before wait and Timeout have passed
		}
		close(waiting)
		<-ctx.Done()
		return baobabtide.Page{}, ctx.Err()
	}}
	readsUntilStop(t, n)
	<-waiting
	if n.saysLogDown() {
		t.Error("a single failure was announced")
	}
}

// A log that answers, but has neither the records nor a later snapshot, answers all nodes alike:
// others can't read it in this node's place.
func TestMissingSnapshotIsAnAnswer(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	third := make(chan struct{})
	var config atomic.Int64
	n.adapters.Log = &readsLog{read: func(_ context.Context, _ int64, stream baobabtide.Stream, from baobabtide.Offset, _ time.Duration) (baobabtide.Page, error) {
		if stream == baobabtide.ConfigStream {
			if config.Add(1) == 4 {
				close(third)
			}
			return baobabtide.Page{}, baobabtide.ErrRetention
		}
		return baobabtide.Page{Next: 1}, nil
	}}
	readsUntilStop(t, n)
	<-third
	if n.saysLogDown() {
		t.Error("LogDown is announced although the log answers")
	}
}

// A page says that the log holds nothing up to an offset. Once the log ends before that offset,
// this no longer holds, and the node reads on from its configuration.
func TestLogThatLostItsTailIsReadFromConfiguration(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	n.config.Adopt(&btconfig.State{Offset: 10})
	var from []baobabtide.Offset
	pages := []baobabtide.Page{{Next: 21, Through: 20}, {Next: 15}, {Next: 15, Through: 14}, {Next: 15}}
	n.adapters.Log = &readsLog{read: func(_ context.Context, call int64, _ baobabtide.Stream, at baobabtide.Offset, _ time.Duration) (baobabtide.Page, error) {
		from = append(from, at)
		return pages[call-1], nil
	}}
	for range pages {
		if err := n.readOnce(0); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]baobabtide.Offset{11, 21, 11, 15}, from); diff != "" {
		t.Errorf("reads (-want +got):\n%s", diff)
	}
}

// One quick failure is not announced, the second one in a row is. Neither the first read nor those
// after a failure wait for new records.
func TestSecondFailureIsAnnounced(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	announced := make(chan []bool, 1)
	var seen []bool
	n.adapters.Log = &readsLog{read: func(ctx context.Context, call int64, _ baobabtide.Stream, _ baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
		seen = append(seen, n.saysLogDown(), wait > 0)
		if call == 3 {
			announced <- seen
			<-ctx.Done()
		}
		return baobabtide.Page{}, baobabtide.ErrUnavailable
	}}
	readsUntilStop(t, n)
	want := []bool{false, false, false, false, true, false}
	if diff := cmp.Diff(want, <-announced); diff != "" {
		t.Errorf("announced and waits, of three reads (-want +got):\n%s", diff)
	}
}

// A read that returns nothing although the log holds later records is no success.
func TestReadWithoutProgress(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	n.config.Adopt(&btconfig.State{Offset: 10})
	n.adapters.Log = &readsLog{read: func(context.Context, int64, baobabtide.Stream, baobabtide.Offset, time.Duration) (baobabtide.Page, error) {
		return baobabtide.Page{Next: 14}, nil
	}}
	if err := n.readOnce(0); !errors.Is(err, btfollow.ErrNoProgress) {
		t.Errorf("read: %v, not %v", err, btfollow.ErrNoProgress)
	}
}
