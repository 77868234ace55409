package baobabtide

import "fmt"

// Offset is the position of a record in a stream of the platform's log. It holds the epoch of the log,
// which rises whenever the log is restored from an older copy, and the number of the record in its
// epoch, so that no two records have the same offset although a restored log counts back. Offsets start
// at 1 and increase, but need not be consecutive; 0 stands for the state before the first record.
type Offset uint64

const (
	epochShift = 40 // bits of the number

	// MaxEpoch is the highest epoch that an offset can hold.
	MaxEpoch = 1<<(64-epochShift) - 1
)

// NewOffset returns the offset of a record by the epoch of the log and the record's number in it.
// Number 0 stands for the position before the first record of the epoch.
func NewOffset(epoch uint32, number uint64) Offset {
	return Offset(epoch)<<epochShift | Offset(number)&(1<<epochShift-1)
}

// Epoch returns the epoch of the log to which the offset belongs.
func (o Offset) Epoch() uint32 { return uint32(o >> epochShift) }

// Number returns the number of the record in its epoch, 0 for none.
func (o Offset) Number() uint64 { return uint64(o & (1<<epochShift - 1)) }

// EpochStart returns the position before the first record of the offset's epoch.
func (o Offset) EpochStart() Offset { return NewOffset(o.Epoch(), 0) }

// NextEpoch returns the position before the first record of the next epoch.
func (o Offset) NextEpoch() Offset { return NewOffset(o.Epoch()+1, 0) }

// String returns the number, behind the epoch and a colon for a log that has been restored.
func (o Offset) String() string {
	if o.Epoch() == 0 {
		return fmt.Sprint(uint64(o))
	}
	return fmt.Sprintf("%d:%d", o.Epoch(), o.Number())
}
