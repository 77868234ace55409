package btnode

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btquarantine"
)

// storedRecord returns the stored record of a quarantined request after a change to it.
func storedRecord(t testing.TB, change func(*storedEntry)) []byte {
	t.Helper()
	s := storedEntry{ChangedAt: time.Now(), Entry: btquarantine.Entry{
		Digest: badDigest, Service: "s", Method: "GET", Path: "/bad",
		Crashes: []btquarantine.Crash{{Server: "b", Incarnation: 1}, {Server: "b", Incarnation: 2}, {Server: "b", Incarnation: 3}},
	}}
	change(&s)
	data, err := btcodec.EncodeCBOR(&s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// An odd record of the quarantine is skipped, and the others hold.
func TestOddQuarantineRecord(t *testing.T) {
	odd := func(change func(*storedEntry)) []byte {
		return storedRecord(t, func(s *storedEntry) {
			s.Entry.Digest = baobabtide.Digest{8}
			change(s)
		})
	}
	long := string(make([]byte, 1<<20))
	for name, data := range map[string][]byte{
		"empty":         {},
		"bytes":         []byte("\xff\x00"),
		"nested":        bytes.Repeat([]byte{0x81}, 100_000),
		"nested map":    bytes.Repeat([]byte{0xa1, 0x01}, 100_000),
		"cut off":       storedRecord(t, func(*storedEntry) {})[:20],
		"time of 1e300": append([]byte{0xa1, 0x02, 0xc1, 0xfb}, 0x7e, 0x37, 0xe4, 0x3c, 0x88, 0x00, 0x75, 0x9c),
		"time of NaN":   append([]byte{0xa1, 0x02, 0xc1, 0xfb}, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0),
		"long service":  odd(func(s *storedEntry) { s.Entry.Service = long }),
		"long path":     odd(func(s *storedEntry) { s.Entry.Path = long }),
		"long server":   odd(func(s *storedEntry) { s.Entry.Crashes[0].Server = long }),
		"no server":     odd(func(s *storedEntry) { s.Entry.Crashes[0].Server = "" }),
		"negative age":  odd(func(s *storedEntry) { s.Entry.Age = -1 }),
		"long ago":      odd(func(s *storedEntry) { s.ChangedAt = time.Unix(0, 0) }),
		"no digest":     odd(func(s *storedEntry) { s.Entry.Digest = baobabtide.Digest{} }),
	} {
		t.Run(name, func(t *testing.T) {
			n := idleNode(t, zerolog.Nop())
			store := &fakeQuarantineLog{values: map[baobabtide.Digest][]byte{
				badDigest: storedRecord(t, func(*storedEntry) {}),
				{8}:       data,
			}}
			if err := n.readQuarantine(store); err != nil {
				t.Fatal(err)
			}
			var got []baobabtide.Digest
			for _, e := range n.quarantine.Entries(time.Now()) {
				got = append(got, e.Digest)
			}
			if diff := cmp.Diff([]baobabtide.Digest{badDigest}, got); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// Whatever record is read, peers can read the quarantine afterwards.
func FuzzQuarantineRecord(f *testing.F) {
	f.Add(storedRecord(f, func(*storedEntry) {}))
	f.Add(storedRecord(f, func(s *storedEntry) { s.Entry.Epoch, s.Entry.Crashes = 1, nil }))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := idleNode(t, zerolog.Nop())
		if err := n.readQuarantine(&fakeQuarantineLog{values: map[baobabtide.Digest][]byte{{8}: data}}); err != nil {
			t.Fatal(err)
		}
		sent, err := btcodec.EncodeCBOR(&btpeer.Gossip{Quarantine: n.quarantine.Entries(time.Now())})
		if err != nil {
			t.Fatal(err)
		}
		if err := btcodec.DecodeCBOR(sent, &btpeer.Gossip{}); err != nil {
			t.Errorf("a peer refuses the message: %v", err)
		}
	})
}

// A quarantine that a restored log had lost was unknown once all nodes had restarted. Only the node that had stored
// an entry lately stores it again.
func TestQuarantineIsStoredAgainAfterRestore(t *testing.T) {
	entry := btquarantine.Entry{
		Digest: badDigest, Service: "s", Method: "GET", Path: "/bad",
		Crashes: []btquarantine.Crash{{Server: "b", Incarnation: 1}, {Server: "b", Incarnation: 2}, {Server: "b", Incarnation: 3}},
	}
	for name, tt := range map[string]struct {
		stored time.Duration // ago, by this node; negative for never
		want   int
	}{
		"lately":        {time.Second, 1},
		"long ago":      {maxLost, 0},
		"not by itself": {-1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := idleNode(t, zerolog.Nop())
			now := time.Now()
			n.quarantine.Merge(&entry, now)
			n.unstored.markKnown(badDigest)
			if tt.stored >= 0 {
				n.unstored.done(&storedEntry{Entry: entry}, now.Add(-tt.stored))
			}
			before := n.config.State()
			if _, err := n.config.Apply(btconfig.Link{Entry: contractEntry(t, 1)}); err != nil {
				t.Fatal(err)
			}
			n.configApplied(before, nil) // the first configuration is no restore
			before = n.config.State()
			if _, err := n.config.Apply(btconfig.Link{Prev: 1, Entry: contractEntry(t, baobabtide.NewOffset(1, 1))}); err != nil {
				t.Fatal(err)
			}
			n.configApplied(before, nil)
			store := &fakeQuarantineLog{values: make(map[baobabtide.Digest][]byte)}
			if err := n.storeQuarantine(store); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, len(store.values)); diff != "" {
				t.Errorf("stored entries (-want +got):\n%s", diff)
			}
		})
	}
}
