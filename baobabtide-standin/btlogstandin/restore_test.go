package btlogstandin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// A log that is restored gives out no offset twice, and readers that had read more than it holds get what is
// added next.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := New(10, 1000)
		appendOne := func() baobabtide.Offset {
			t.Helper()
			entry, err := l.Append(ctx, baobabtide.ConfigStream, []byte("x"))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			return entry.Offset
		}
		for range 4 {
			appendOne()
		}
		waits := make(chan error, 1)
		go func() {
			_, err := l.Read(ctx, baobabtide.ConfigStream, 5, time.Minute)
			waits <- err
		}()
		synctest.Wait()
		l.SetFaults(Faults{Restore: 2500 * time.Millisecond})
		if err := <-waits; !errors.Is(err, errForgotten) {
			t.Errorf("waiting read: %v", err)
		}
		if diff := cmp.Diff(baobabtide.NewOffset(1, 1), appendOne()); diff != "" {
			t.Errorf("offset after the restore (-want +got):\n%s", diff)
		}
		l.SetFaults(Faults{Restore: time.Millisecond})
		want := []baobabtide.Offset{1, 2, baobabtide.NewOffset(1, 1), baobabtide.NewOffset(2, 1)}
		appendOne()
		for from, skipped := range map[baobabtide.Offset]int{0: 0, 2: 1, 5: 2, want[2]: 2, want[2] + 1: 3} {
			page, err := l.Read(ctx, baobabtide.ConfigStream, from, 0)
			if err != nil {
				t.Fatal(err)
			}
			var offsets []baobabtide.Offset
			for _, entry := range page.Entries {
				offsets = append(offsets, entry.Offset)
			}
			if diff := cmp.Diff(want[skipped:], offsets); diff != "" {
				t.Errorf("read from %s (-want +got):\n%s", from, diff)
			}
			if diff := cmp.Diff(want[3], page.Through); diff != "" {
				t.Errorf("read from %s, through (-want +got):\n%s", from, diff)
			}
		}
	})
}

// A restore that loses all records of a stream is no retention: what readers lack is added later.
func TestRestoreOfAllIsNoRetention(t *testing.T) {
	ctx := context.Background()
	l := New(2, 1000)
	for range 3 {
		if _, err := l.Append(ctx, baobabtide.ConfigStream, nil); err != nil {
			t.Fatal(err)
		}
	}
	l.SetFaults(Faults{Restore: time.Minute})
	for from, want := range map[baobabtide.Offset]error{1: baobabtide.ErrRetention, 2: nil, 4: nil} {
		if _, err := l.Read(ctx, baobabtide.ConfigStream, from, 0); !errors.Is(err, want) {
			t.Errorf("read from %s: %v, not %v", from, err, want)
		}
	}
}
