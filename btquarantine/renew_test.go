package btquarantine

import (
	"testing"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Each further crash of a server under a request counts, also once the entry holds maxCrashes.
func TestEveryFurtherCrashRenewsQuarantine(t *testing.T) {
	var table Table
	digest := baobabtide.Digest{1}
	crashed(&table, 1, 1, 2, 3)
	now := start
	for incarnation := uint64(4); incarnation <= maxCrashes+3; incarnation++ {
		for table.Standing(digest, now) == Quarantined {
			now = now.Add(time.Minute)
		}
		table.RecordCrash(&baobabtide.Request{Digest: digest, Service: "s", Target: "/a?x"}, Crash{Server: "b", Incarnation: incarnation}, now)
		if got := table.Standing(digest, now); got != Quarantined {
			t.Errorf("after crash %d, %s after the first: standing %d, not Quarantined", incarnation, now.Sub(start), got)
		}
	}
}
