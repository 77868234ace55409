package btsettings

import (
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	maxReaders       = 8
	maxReadWait      = time.Minute
	minSnapshotEvery = 8 // records
)

// Platform holds the settings of the connection to the platform's log.
type Platform struct {
	// Addresses are the host:port of the log. OwnLog uses one until a call to it fails,
	// then the next; KeyedLog uses only the first.
	Addresses []string

	Timeout        time.Duration // of a call; ReadWait is added to it for a read
	ReadWait       time.Duration // longest wait of a read for new records
	ReadersPerZone int           // number of nodes per zone that read the log

	// SnapshotEvery is the number of records between snapshots. 0 for no snapshots is
	// allowed only with KeyedLog, which keeps the newest record of each key forever.
	SnapshotEvery int

	Adapter string `json:",omitempty"` // OwnLog or KeyedLog, empty for OwnLog

	// Contracts names the groups of rules that the platform has put in force. Their meaning is up
	// to the adapter, which ignores unknown ones.
	Contracts []string `json:",omitempty"`
}

// Values of Platform.Adapter.
const (
	OwnLog   = "OwnLog"   // log with the product's own HTTP interface, see btplatform
	KeyedLog = "KeyedLog" // log with keyed topics, to which operators write directly, see package platform
)

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
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
