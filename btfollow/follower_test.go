package btfollow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

// unmarkedLog is a log that keeps the newest record and does not tell its epoch. Its records hold contracts of the
// given revisions.
type unmarkedLog struct {
	t         *testing.T
	revisions []uint64
	down      bool
	from      []baobabtide.Offset // of the reads so far
}

// Append implements baobabtide.Log.
func (*unmarkedLog) Append(context.Context, baobabtide.Stream, []byte) (baobabtide.Entry, error) {
	return baobabtide.Entry{}, baobabtide.ErrUnavailable
}

// Read implements baobabtide.Log.
func (l *unmarkedLog) Read(_ context.Context, _ baobabtide.Stream, from baobabtide.Offset, _ time.Duration) (baobabtide.Page, error) {
	l.from = append(l.from, from)
	if l.down {
		return baobabtide.Page{}, baobabtide.ErrUnavailable
	}
	end := uint64(len(l.revisions))
	page := baobabtide.Page{Next: baobabtide.NewOffset(from.Epoch(), end+1), Unmarked: true}
	first := from.Number()
	if first <= 1 || first > end+1 {
		first, page.Through = end, page.Next-1
	}
	for number := max(first, 1); number <= end; number++ {
		revision := l.revisions[number-1]
		contract := btfixture.Contract("c", "s")
		contract.Revision = revision
		data, err := btcodec.EncodeJSON(&baobabtide.Record{ID: fmt.Sprintf("%d.%d", from.Epoch(), number), Actor: "a", Contract: contract})
		if err != nil {
			l.t.Fatal(err)
		}
		page.Entries = append(page.Entries, baobabtide.Entry{Offset: baobabtide.NewOffset(from.Epoch(), number), Data: data, Sum: revision})
	}
	return page, nil
}

// After the log has been away, the newest records tell whether it has been restored, and only then are they those of
// the next epoch.
func TestReadAfterOutage(t *testing.T) {
	tests := map[string]struct {
		after []uint64 // revisions that the log holds after the outage
		want  btconfig.Position
		err   error
		from  []baobabtide.Offset // of the reads after the outage
	}{
		"nothing new":            {[]uint64{1, 2, 3}, btconfig.Position{Offset: 3, Revision: 3}, nil, []baobabtide.Offset{0}},
		"grown":                  {[]uint64{1, 2, 3, 4}, btconfig.Position{Offset: 4, Revision: 4}, nil, []baobabtide.Offset{0, 3}},
		"ends before":            {[]uint64{1, 2}, btconfig.Position{Offset: 3, Revision: 3}, ErrBehind, []baobabtide.Offset{0}},
		"written again":          {[]uint64{1, 3}, btconfig.Position{Offset: baobabtide.NewOffset(1, 2), Revision: 3}, nil, []baobabtide.Offset{0, 1 << 40}},
		"another at the offset":  {[]uint64{1, 3, 5}, btconfig.Position{Offset: baobabtide.NewOffset(1, 3), Revision: 5}, nil, []baobabtide.Offset{0, 1 << 40}},
		"grown past the offset":  {[]uint64{1, 3, 5, 6, 7}, btconfig.Position{Offset: baobabtide.NewOffset(1, 5), Revision: 7}, nil, []baobabtide.Offset{0, 3, 1 << 40}},
		"older than in force":    {[]uint64{1, 2, 2}, btconfig.Position{Offset: baobabtide.NewOffset(1, 3), Revision: 3}, nil, []baobabtide.Offset{0, 1 << 40}},
		"all lost, none written": {nil, btconfig.Position{Offset: 3, Revision: 3}, ErrBehind, []baobabtide.Offset{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			var store btconfig.Store
			f := &Follower{Store: &store}
			l := &unmarkedLog{t: t, revisions: []uint64{1}}
			for _, revisions := range [][]uint64{{1}, {1, 2}, {1, 2, 3}} {
				l.revisions = revisions
				if _, err := f.Read(ctx, l, 0); err != nil {
					t.Fatal(err)
				}
			}
			l.down = true
			if _, err := f.Read(ctx, l, 0); !errors.Is(err, baobabtide.ErrUnavailable) {
				t.Fatalf("read of a log that is away: %v", err)
			}
			l.down, l.revisions, l.from = false, tt.after, nil
			reading, err := f.Read(ctx, l, 0)
			if !errors.Is(err, tt.err) {
				t.Errorf("read: %v, not %v", err, tt.err)
			}
			if !reading.Returned {
				t.Error("the reading does not say that the log had been away")
			}
			if diff := cmp.Diff(tt.want, store.State().Position()); diff != "" {
				t.Errorf("position (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.from, l.from); diff != "" {
				t.Errorf("reads (-want +got):\n%s", diff)
			}
		})
	}
}

// In calm the newest records are not read.
func TestCalmReadsAreNotChecked(t *testing.T) {
	var store btconfig.Store
	f := &Follower{Store: &store}
	l := &unmarkedLog{t: t, revisions: []uint64{1}}
	for revision := range uint64(3) {
		if _, err := f.Read(context.Background(), l, 0); err != nil {
			t.Fatal(err)
		}
		l.revisions = append(l.revisions, revision+2)
	}
	if diff := cmp.Diff([]baobabtide.Offset{1, 2, 3}, l.from); diff != "" {
		t.Errorf("reads (-want +got):\n%s", diff)
	}
	f.Recheck()
	if _, err := f.Read(context.Background(), l, 0); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]baobabtide.Offset{1, 2, 3, 0, 3}, l.from); diff != "" {
		t.Errorf("reads after it had not followed the log (-want +got):\n%s", diff)
	}
}
