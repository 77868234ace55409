// Package btfollow follows the configuration stream of the platform's log. It notices when the log has
// been restored from an older copy, also if the log doesn't tell.
package btfollow

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
)

// Errors of a read that the log has answered.
var (
	ErrBehind     = errors.New("the log ends before the configuration in force")
	ErrNoProgress = errors.New("the log holds later records and returned none of them")
)

// Follower reads the records that a store lacks. Only one goroutine may call Read and Recheck; the
// other methods are safe for concurrent use.
type Follower struct {
	Store *btconfig.Store

	next    atomic.Uint64 // offset of the log's next append, as the last read returned it
	through atomic.Uint64 // offset up to which the last page was complete: the log holds no record between the configuration and it
	readAt  atomic.Int64  // when the last successful read ended, Unix time in microseconds, 0 before the first

	unmarked bool // the log does not tell its epoch, as far as the last read shows
	checked  bool // what the log holds up to the position is what the store has folded
	failed   bool // the last read
}

// Reading is what a read has brought.
type Reading struct {
	Before   *btconfig.State // configuration before
	Page     baobabtide.Page
	Applied  []baobabtide.Offset // of the records that were folded
	Advanced bool                // the position is a later one
	Receded  bool                // the log ends before the position
	Returned bool                // the log does not tell its epoch, and has answered after a read that it had not
}

// Position returns the offset up to which the log has been read.
func (f *Follower) Position() baobabtide.Offset {
	return max(f.Store.State().Offset, baobabtide.Offset(f.through.Load()))
}

// Next returns the offset of the log's next append as the last read returned it, 0 before the first.
func (f *Follower) Next() baobabtide.Offset { return baobabtide.Offset(f.next.Load()) }

// ReadAt returns when the last successful read ended, the zero time if there was none.
func (f *Follower) ReadAt() time.Time {
	if at := f.readAt.Load(); at != 0 {
		return time.UnixMicro(at)
	}
	return time.Time{}
}

// Recheck makes the next read check that the log still holds what the store has folded, for a node that
// has not followed the log. It has no effect for a log that tells its epoch.
func (f *Follower) Recheck() { f.checked = false }

// Read reads the records after the position, waiting up to wait for the first, and folds them. In place
// of that it reads the newest record of each key if the log may have been restored. It returns ErrBehind
// if the log ends before the configuration, and ErrNoProgress if the log holds later records and none of
// them advanced the position.
func (f *Follower) Read(ctx context.Context, log baobabtide.Log, wait time.Duration) (Reading, error) {
	before := f.Store.State()
	position := f.Position()
	page, err := f.readPage(ctx, log, before, position, wait)
	if err != nil {
		f.checked, f.failed = false, true // the log may have been away
		return Reading{}, err
	}
	f.unmarked = page.Unmarked
	f.next.Store(uint64(page.Next))
	f.readAt.Store(time.Now().UnixMicro())
	reading := Reading{Before: before, Page: page, Returned: page.Unmarked && f.failed}
	f.failed = false
	if page.Next <= position {
		f.checked, reading.Receded = false, true
		f.through.Store(0)
		if page.Next <= before.Offset {
			return reading, ErrBehind
		}
		return reading, nil
	}
	reading.Applied = f.Store.ApplyAll(page.Entries)
	f.through.Store(max(f.through.Load(), uint64(page.Through)))
	reading.Advanced = f.Position() > position
	if !reading.Advanced && page.Next > position+1 {
		return reading, ErrNoProgress
	}
	return reading, nil
}

// readPage reads a page after a position, or the newest records if they have to be checked. If these show that
// a log which does not tell its epoch has been restored, it reads them as those of the next epoch.
func (f *Follower) readPage(ctx context.Context, log baobabtide.Log, before *btconfig.State, position baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	from, checks := position+1, f.unmarked && !f.checked
	if checks {
		from, wait = position.EpochStart(), 0
	}
	page, err := log.Read(ctx, baobabtide.ConfigStream, from, wait)
	if err != nil {
		return page, err
	}
	restored := page.Unmarked && before.Contradicts(&page)
	if checks && !restored && isSilent(&page, before.Offset) {
		last, err := log.Read(ctx, baobabtide.ConfigStream, before.Offset, 0)
		if err != nil {
			return page, err
		}
		restored = before.Contradicts(&last)
	}
	if restored {
		page, err = log.Read(ctx, baobabtide.ConfigStream, position.NextEpoch(), 0)
	}
	f.checked = f.checked || checks || position.Number() == 0 || !page.Unmarked
	return page, err
}

// isSilent reports whether a page of a log that goes beyond an offset holds no record at or below it, and so doesn't show
// whether the log is the one that was read up to there.
func isSilent(page *baobabtide.Page, offset baobabtide.Offset) bool {
	return offset.Number() > 1 && page.Next > offset &&
		!slices.ContainsFunc(page.Entries, func(e baobabtide.Entry) bool { return e.Offset <= offset })
}
