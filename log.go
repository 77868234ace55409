package baobabtide

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Stream names a stream of the platform's log.
type Stream string

// Streams of the platform's log.
const (
	ConfigStream   Stream = "config"   // records of type Record
	SnapshotStream Stream = "snapshot" // chunks of folded states

	QuarantineStream Stream = "quarantine" // quarantined requests, unless the platform has a QuarantineLog
)

// Entry is one record of a stream with its offset and time.
type Entry struct {
	Offset Offset    `json:"Offset" cbor:"1,keyasint"`
	Time   time.Time `json:"Time" cbor:"2,keyasint"` // time of the append, by the log's clock
	Data   []byte    `json:"Data" cbor:"3,keyasint"`

	// Sum is a hash of the record as the log stores it, which tells records at one offset apart. It
	// is 0 for a log that gives out no offset twice.
	Sum uint64 `json:"Sum,omitzero" cbor:"4,keyasint,omitempty"`
}

// Page is the result of one read.
type Page struct {
	Entries []Entry `json:"Entries"`
	First   Offset  `json:"First"` // oldest offset in the stream, 0 if it is empty
	Next    Offset  `json:"Next"`  // offset of the next append

	// Through is the offset up to which the log holds no record from the requested offset on but
	// Entries. 0 stands for the offset of the last entry.
	Through Offset `json:"Through,omitzero"`

	// Unmarked says that the log does not tell its epoch: the offsets are of the epoch that the read
	// asked for, and may name other records than in earlier reads.
	Unmarked bool `json:"Unmarked,omitzero"`
}

// Log is the platform's append-only log service. It may be restored from an older copy. It has lost the
// newest records then, and its epoch is a higher one.
type Log interface {
	// Append adds one record to a stream and returns it as an entry.
	// ErrUncertain means that it may have been added.
	Append(ctx context.Context, stream Stream, data []byte) (Entry, error)
	// Read returns the records from an offset on. If there is none yet, it waits
	// up to wait for the first. ErrRetention means that records from that offset
	// are no longer stored. A log that keeps the newest record of each key may return
	// those instead, in the order of their offsets and with older ones among them. It does so if from is
	// in an earlier epoch, and if it is the start of one.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Page, error)
}

// OutcomeLog stores the starts and outcomes of rollouts apart from the
// configuration stream. Only the first recorded outcome of a rollout counts.
type OutcomeLog interface {
	// Outcomes returns all starts and outcomes, and the position to pass to
	// RecordStart and Record.
	Outcomes(ctx context.Context) (Outcomes, error)
	// RecordStart records a start, and Record an outcome, unless the position at is no
	// longer the next one. In that case they return ErrConflict. ErrUncertain
	// means that the start or outcome may have been recorded. A log that keeps only the
	// newest record of a service stores the earlier outcomes with it, without their
	// reasons and evidence.
	RecordStart(ctx context.Context, at Offset, start *RolloutStart, earlier []OutcomeRecord) error
	Record(ctx context.Context, at Offset, outcome *OutcomeRecord, earlier []OutcomeRecord) error
}

// Outcomes is the content of an OutcomeLog.
type Outcomes struct {
	Begun []RolloutStart // starts of rollouts without a recorded outcome
	Ended []OutcomeRecord
	Next  Offset // position after the newest record
}

// HasLater reports whether there is a start or an outcome of a service in a later epoch of the log than that of a
// rollout.
func (o *Outcomes) HasLater(service string, rollout Offset) bool {
	isLater := func(other string, offset Offset) bool { return other == service && offset.Epoch() > rollout.Epoch() }
	return slices.ContainsFunc(o.Begun, func(s RolloutStart) bool { return isLater(s.Service, s.Rollout) }) ||
		slices.ContainsFunc(o.Ended, func(r OutcomeRecord) bool { return isLater(r.Service, r.Rollout) })
}

// Directory lists the addresses of nodes, so that a node that knows no other can
// find them.
type Directory interface {
	// Register adds a node or updates its entry.
	Register(ctx context.Context, node Listing) error
	// Nodes returns all nodes that have registered, including those that have
	// left or failed since.
	Nodes(ctx context.Context) ([]Listing, error)
}

// QuarantineLog stores which requests are quarantined, for the case that all nodes restart.
type QuarantineLog interface {
	// Put stores data in place of the data with the same digest. ErrUncertain means that it
	// may have been stored.
	Put(ctx context.Context, digest Digest, data []byte) error
	// Quarantine returns the data that is stored for each digest, in no particular order.
	Quarantine(ctx context.Context) ([][]byte, error)
}

// Listing is the entry of one node in a Directory.
type Listing struct {
	Name        string
	Address     string // peer address
	Incarnation uint64
}

// Errors of a Log and an OutcomeLog.
var (
	ErrConflict    = errors.New("another record was added first")
	ErrUnavailable = errors.New("platform log unavailable")
	ErrUncertain   = errors.New("append may have taken effect")
	ErrRetention   = errors.New("offset is older than the log's retention")
)
