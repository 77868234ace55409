package btnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btquarantine"
)

const (
	quarantineRetryPause = time.Second      // after a failed call, before jitter
	quarantineMinGap     = 10 * time.Second // between two writes of one digest
)

// storedEntry is an entry of the quarantine as it is stored in the platform's log.
type storedEntry struct {
	Entry     btquarantine.Entry `cbor:"1,keyasint"`
	ChangedAt time.Time          `cbor:"2,keyasint"` // by the clock of the node that stored it
}

// Check returns an error for the first field that is invalid.
func (s *storedEntry) Check() error {
	if err := s.Entry.Check(); err != nil {
		return baobabtide.Within("Entry", err)
	}
	return nil
}

// unstored holds the entries that this node has changed and must store, by digest: those
// that are quarantined, and those that were and have been cleared. Others are not worth a call.
type unstored struct {
	changed chan struct{} // signals quarantineLoop that there are entries

	mu      sync.Mutex
	entries map[baobabtide.Digest]storedEntry
	known   map[baobabtide.Digest]time.Time // digests that are or were quarantined, with the time when this node last stored them, zero for never
}

const maxKnown = 1 << 13 // digests, twice as many as a node's table holds

// add adds an entry if it must be stored.
func (u *unstored) add(entry *btquarantine.Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.known[entry.Digest]; !entry.Quarantined() && !known {
		return
	}
	if u.entries == nil {
		u.entries = make(map[baobabtide.Digest]storedEntry)
	}
	u.entries[entry.Digest] = storedEntry{Entry: *entry, ChangedAt: time.Now().Add(-entry.Age)}
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// markKnown records that a digest is or was quarantined, so that its end must be stored too.
func (u *unstored) markKnown(digest baobabtide.Digest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.known[digest]; !ok {
		u.setKnown(digest, time.Time{})
	}
}

// setKnown sets when this node last stored a digest. The caller holds u.mu.
func (u *unstored) setKnown(digest baobabtide.Digest, at time.Time) {
	if u.known == nil || len(u.known) >= maxKnown {
		u.known = make(map[baobabtide.Digest]time.Time)
	}
	u.known[digest] = at
}

// storeAgain adds those of the entries that this node has stored lately, as a log that was restored may
// have lost them.
func (u *unstored) storeAgain(entries []btquarantine.Entry, now time.Time) {
	for i := range entries {
		digest := entries[i].Digest
		u.mu.Lock()
		isRecent := now.Sub(u.known[digest]) < maxLost
		if isRecent {
			u.known[digest] = time.Time{}
		}
		u.mu.Unlock()
		if isRecent {
			u.add(&entries[i])
		}
	}
}

// next returns an entry to store, and false if there is none. Further crashes under a request
// that is quarantined already are not stored for quarantineMinGap.
func (u *unstored) next(now time.Time) (storedEntry, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for digest, s := range u.entries {
		if s.Entry.Quarantined() && now.Sub(u.known[digest]) < quarantineMinGap {
			continue
		}
		return s, true
	}
	return storedEntry{}, false
}

// done records that an entry was stored.
func (u *unstored) done(s *storedEntry, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setKnown(s.Entry.Digest, now)
	if pending := u.entries[s.Entry.Digest]; pending.ChangedAt.Equal(s.ChangedAt) {
		delete(u.entries, s.Entry.Digest)
	}
}

// quarantineLoop reads the stored entries once and then stores those that this node changes.
func (n *Node) quarantineLoop() {
	store := n.adapters.Quarantine
	if store == nil {
		store = quarantineStream{n.adapters.Log}
	}
	for read := false; n.ctx.Err() == nil; {
		var err error
		if !read {
			err = n.readQuarantine(store)
			read = err == nil
		} else {
			err = n.storeQuarantine(store)
		}
		if err != nil {
			n.log.Warn().Str("event", string(btlog.QuarantineFailed)).Bool("read", !read).Err(err).Send()
			n.sleep(quarantineRetryPause + n.jitter())
			continue
		}
		if !read {
			continue
		}
		select {
		case <-n.ctx.Done():
		case <-n.unstored.changed:
		case <-time.After(quarantineMinGap):
		}
	}
}

// readQuarantine merges the stored entries.
func (n *Node) readQuarantine(store baobabtide.QuarantineLog) error {
	values, err := store.Quarantine(n.ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, data := range values {
		var s storedEntry
		if err := btcodec.DecodeCBOR(data, &s); err != nil {
			n.log.Warn().Str("event", string(btlog.QuarantineFailed)).Bool("read", true).Err(err).Send()
			continue
		}
		s.Entry.Age = max(0, now.Sub(s.ChangedAt)) // negative if the clocks of the two nodes differ
		if s.Entry.Check() != nil {
			continue // older than any entry that holds
		}
		if n.quarantine.Merge(&s.Entry, now) {
			n.entryChanged(s.Entry, nil)
		}
	}
	return nil
}

// storeQuarantine stores the entries that wait for it.
func (n *Node) storeQuarantine(store baobabtide.QuarantineLog) error {
	for {
		s, ok := n.unstored.next(time.Now())
		if !ok {
			return nil
		}
		data, err := btcodec.EncodeCBOR(&s)
		if err != nil {
			return err
		}
		if err := store.Put(n.ctx, s.Entry.Digest, data); err != nil {
			return err
		}
		n.unstored.done(&s, time.Now())
	}
}

// quarantineStream stores the quarantine in a stream of the product's own log.
type quarantineStream struct{ log baobabtide.Log }

// Put implements baobabtide.QuarantineLog.
func (q quarantineStream) Put(ctx context.Context, _ baobabtide.Digest, data []byte) error {
	_, err := q.log.Append(ctx, baobabtide.QuarantineStream, data)
	return err
}

// Quarantine implements baobabtide.QuarantineLog. It returns all records that the stream
// retains; the entry of the highest epoch holds.
func (q quarantineStream) Quarantine(ctx context.Context) ([][]byte, error) {
	var values [][]byte
	for from := baobabtide.Offset(0); ; {
		page, err := q.log.Read(ctx, baobabtide.QuarantineStream, from, 0)
		if errors.Is(err, baobabtide.ErrRetention) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			values = append(values, entry.Data)
			from = entry.Offset + 1
		}
		if len(page.Entries) == 0 || from >= page.Next {
			return values, nil
		}
	}
}
