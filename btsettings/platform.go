package btsettings

import (
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	maxReaders       = 8
	maxReadWait      = time.Minute
	minSnapshotEvery = 8
)

// Platform says how to reach the platform's log.
type Platform struct {
	Addresses      []string      // host:port, tried in turn
	Timeout        time.Duration // of one call
	ReadWait       time.Duration // a read waits this long for new records
	ReadersPerZone int           // nodes of a zone that read the log
	SnapshotEvery  int           // records between snapshots, 0 for none where the platform keeps the newest records for ever
	Adapter        string        `json:",omitempty"` // OwnLog or KeyedLog, empty for OwnLog
}

// Adapters of a platform.
const (
	OwnLog   = "OwnLog"   // the product's own log protocol
	KeyedLog = "KeyedLog" // a log with keyed topics that operators write to
)

// Check reports the first field that breaks a rule.
func (p *Platform) Check() error {
	if len(p.Addresses) == 0 {
		return baobabtide.Fieldf("Addresses", "empty")
	}
	for i, address := range p.Addresses {
		if err := checkAddress(fmt.Sprintf("Addresses[%d]", i), address); err != nil {
			return err
		}
	}
	if p.Timeout <= 0 {
		return baobabtide.Fieldf("Timeout", "%s is not positive", p.Timeout)
	}
	if p.ReadWait <= 0 || p.ReadWait > maxReadWait {
		return baobabtide.Fieldf("ReadWait", "%s, more than 0s up to %s are allowed", p.ReadWait, maxReadWait)
	}
	if p.ReadersPerZone < 1 || p.ReadersPerZone > maxReaders {
		return baobabtide.Fieldf("ReadersPerZone", "%d, 1 to %d are allowed", p.ReadersPerZone, maxReaders)
	}
	if p.Adapter != "" && p.Adapter != OwnLog && p.Adapter != KeyedLog {
		return baobabtide.Fieldf("Adapter", "%q is neither %q nor %q", p.Adapter, OwnLog, KeyedLog)
	}
	if p.SnapshotEvery < minSnapshotEvery && (p.SnapshotEvery != 0 || p.Adapter != KeyedLog) {
		return baobabtide.Fieldf("SnapshotEvery", "%d is less than %d", p.SnapshotEvery, minSnapshotEvery)
	}
	return nil
}
