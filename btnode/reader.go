package btnode

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfollow"
	"github.com/baobabtide/baobabtide/btlog"
)

const (
	snapshotCheckPeriod = 5 * time.Second // between checks whether a snapshot is due
	snapshotJitter      = 0.5             // largest fraction by which the pause between checks is shortened at random
)

// readLoop reads the log while this node is a reader of its zone. A node that the log does not
// answer goes on trying although others read in its place. Its first read, and those after a
// failed one, don't wait for new records.
func (n *Node) readLoop() {
	health, first := readHealth{down: n.saysLogDown()}, true
	for n.ctx.Err() == nil {
		changed := n.duty.changed.wait()
		if !n.reader.Load() && !health.down {
			select {
			case <-changed:
			case <-n.ctx.Done():
			}
			health, first = readHealth{}, true
			n.follower.Recheck()
			continue
		}
		wait := time.Duration(0)
		if !first && health.failures == 0 {
			wait = readWait(time.Now(), n.duty.slot.Load(), n.duty.readers.Load(), n.settings.Platform.ReadWait)
		}
		first = false
		begun := time.Now()
		err := n.readOnce(wait)
		if n.ctx.Err() != nil {
			return
		}
		now := time.Now()
		health.record(err, now.Sub(begun) >= wait+n.settings.Platform.Timeout, now)
		n.setLogUp(err == nil || errors.Is(err, btfollow.ErrBehind) || errors.Is(err, btfollow.ErrNoProgress), err)
		n.announceLogDown(health.down)
		n.sleep(health.pause(err))
	}
}

// saysLogDown reports whether this node's record says that the log does not answer it.
func (n *Node) saysLogDown() bool {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return n.members.table.Self().LogDown
}

// announceLogDown tells the other nodes whether the log does not answer this one.
func (n *Node) announceLogDown(down bool) {
	now := time.Now()
	n.members.mu.Lock()
	delta := n.members.table.SetLogDown(down, now)
	n.members.mu.Unlock()
	if delta.Empty() {
		return
	}
	n.updateReadDuty(now)
	n.disseminate(delta, nil)
}

// sleep waits for d or until the node's context ends.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// setLogUp records whether the log responds and logs each change.
func (n *Node) setLogUp(up bool, cause error) {
	if n.logUp.Swap(up) == up {
		return
	}
	if up {
		n.log.Info().Str("event", "log.up").Send()
	} else {
		n.log.Warn().Str("event", "log.down").Err(cause).Send()
	}
}

// readOnce reads the records after the configuration in force, waiting up to
// wait for the first, and applies them. If the log no longer stores
// them, it restores from a snapshot. It fails if the log can't be read, and as btfollow.Follower.Read
// does.
func (n *Node) readOnce(wait time.Duration) error {
	begun := time.Now()
	reading, err := n.follower.Read(n.ctx, n.adapters.Log, wait)
	if reading.Returned {
		n.rewriteRecent(time.Now())
	}
	switch {
	case errors.Is(err, baobabtide.ErrRetention):
		return n.restoreFromSnapshot()
	case errors.Is(err, btfollow.ErrBehind):
		n.recordBehind(&reading)
		return err
	case err != nil && !errors.Is(err, btfollow.ErrNoProgress):
		return err
	case reading.Receded:
		return nil
	}
	n.recordCaughtUp(&reading)
	for _, offset := range reading.Applied {
		n.recordRejection(offset)
	}
	if len(reading.Applied) > 0 {
		n.configApplied(reading.Before, nil)
	}
	n.recordProgress(&reading)
	if err == nil && !reading.Advanced && time.Since(begun) < wait/2 {
		n.sleep(rand.N(minReadBackoff)) // the log does not let reads wait
	}
	return err
}

// recordBehind logs that the log ends before the configuration, when that begins.
func (n *Node) recordBehind(reading *btfollow.Reading) {
	if n.logBehind.CompareAndSwap(false, true) {
		n.log.Error().Str("event", string(btlog.LogBehind)).Uint64("next", uint64(reading.Page.Next)).Uint64("offset", uint64(reading.Before.Offset)).Send()
	}
}

// recordCaughtUp logs that the log ends after the configuration again.
func (n *Node) recordCaughtUp(reading *btfollow.Reading) {
	if n.logBehind.Swap(false) {
		n.log.Info().Str("event", string(btlog.LogCaughtUp)).Uint64("next", uint64(reading.Page.Next)).Uint64("offset", uint64(reading.Before.Offset)).Int("entries", len(reading.Page.Entries)).Send()
	}
}

// recordRejection logs and counts the record at an offset if it was rejected.
func (n *Node) recordRejection(offset baobabtide.Offset) {
	entry, ok := n.config.State().Audit.At(offset)
	if !ok || entry.Accepted {
		return
	}
	n.recordsRejected.Add(1)
	n.log.Warn().Str("event", string(btlog.RecordRejected)).Uint64("offset", uint64(offset)).Str("kind", entry.Kind).
		Str("subject", entry.Subject).Str("reason", entry.Reason).Send()
}

// restoreFromSnapshot adopts the newest complete snapshot, for a node that lacks
// records which the log no longer stores. It fails if the snapshots can't be read,
// and returns errNoSnapshot if none is later than the configuration in force.
func (n *Node) restoreFromSnapshot() error {
	chunks, err := n.readSnapshots()
	if err != nil {
		return err
	}
	before, state := n.config.State(), btconfig.JoinSnapshots(chunks)
	if state == nil || !n.config.Adopt(state) {
		return fmt.Errorf("restore from snapshot: %w", errNoSnapshot)
	}
	n.log.Info().Str("event", "snapshot.adopted").Uint64("offset", uint64(state.Offset)).Send()
	n.configApplied(before, nil, state)
	return nil
}

var errNoSnapshot = errors.New("no complete snapshot is later than the configuration in force")

// readSnapshots returns all chunks of the snapshot stream. It logs and skips chunks
// that can't be decoded.
func (n *Node) readSnapshots() ([]btconfig.Chunk, error) {
	var chunks []btconfig.Chunk
	from := baobabtide.Offset(0)
	for {
		page, err := n.adapters.Log.Read(n.ctx, baobabtide.SnapshotStream, from, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			var c btconfig.Chunk
			if err := btcodec.DecodeCBOR(entry.Data, &c); err != nil {
				n.log.Warn().Str("event", "snapshot.damaged").Uint64("offset", uint64(entry.Offset)).Err(err).Send()
				continue
			}
			chunks = append(chunks, c)
		}
		if len(page.Entries) == 0 || page.Entries[len(page.Entries)-1].Offset+1 >= page.Next {
			return chunks, nil
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
}

// snapshotLoop periodically writes a snapshot if one is due, while this node is the
// snapshot writer of the membership. It returns at once if Platform.SnapshotEvery
// is 0, which disables snapshots.
func (n *Node) snapshotLoop() {
	if n.settings.Platform.SnapshotEvery == 0 {
		return
	}
	for n.ctx.Err() == nil {
		n.sleep(time.Duration(float64(snapshotCheckPeriod) * (1 + snapshotJitter*(rand.Float64()-1))))
		n.members.mu.Lock()
		writer := n.members.table.SnapshotWriter() == n.locality.Node
		n.members.mu.Unlock()
		if !writer || n.ctx.Err() != nil {
			continue
		}
		if err := n.snapshotIfDue(); err != nil {
			n.log.Warn().Str("event", "snapshot.failed").Err(err).Send()
		}
	}
}

// snapshotIfDue writes a snapshot if the configuration is at least
// Platform.SnapshotEvery offsets after the newest complete snapshot.
func (n *Node) snapshotIfDue() error {
	every := baobabtide.Offset(n.settings.Platform.SnapshotEvery)
	state := n.config.State()
	if state.Offset < n.snapshotOffset.Load()+every {
		return nil
	}
	chunks, err := n.readSnapshots()
	if err != nil {
		return err
	}
	if newest := btconfig.JoinSnapshots(chunks); newest != nil && state.Offset < newest.Offset+every {
		n.snapshotOffset.Store(newest.Offset)
		return nil
	}
	return n.writeSnapshot(state)
}

// writeSnapshot appends a state to the snapshot stream in chunks. After an error it
// leaves an incomplete snapshot, which readers ignore.
func (n *Node) writeSnapshot(state *btconfig.State) error {
	chunks, err := btconfig.SplitSnapshot(state, n.locality.Node)
	if err != nil {
		return err
	}
	for i := range chunks {
		data, err := btcodec.EncodeCBOR(&chunks[i])
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		if _, err := n.adapters.Log.Append(n.ctx, baobabtide.SnapshotStream, data); err != nil {
			return err
		}
	}
	n.snapshotOffset.Store(state.Offset)
	n.log.Info().Str("event", "snapshot.written").Uint64("offset", uint64(state.Offset)).Int("chunks", len(chunks)).Send()
	return nil
}
