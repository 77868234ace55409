package btnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

const (
	appendAttempts = 3                     // attempts to append one record, including the first
	appendPause    = 50 * time.Millisecond // between attempts
)

// appendRecord appends a record to the configuration stream. If the response is lost,
// it appends the record again; the record's ID ensures that only the first copy
// takes effect. It returns ErrUncertain if the record may have been appended.
func (n *Node) appendRecord(ctx context.Context, record *baobabtide.Record) error {
	data, err := btcodec.EncodeJSON(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return appendUntilCertain(ctx, n.adapters.Log, data)
}

// appendUntilCertain appends data to the configuration stream. Once a response was
// lost, it repeats the append until one succeeds. If ctx ends or appendAttempts are
// made before, it returns ErrUncertain. An error of the first attempt that is not
// ErrUncertain is returned at once.
func appendUntilCertain(ctx context.Context, log baobabtide.Log, data []byte) error {
	var err error
	uncertain := false
	for range appendAttempts {
		if _, err = log.Append(ctx, baobabtide.ConfigStream, data); err == nil {
			return nil
		}
		uncertain = uncertain || errors.Is(err, baobabtide.ErrUncertain)
		if !uncertain || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(appendPause):
		}
	}
	if uncertain && !errors.Is(err, baobabtide.ErrUncertain) {
		return fmt.Errorf("%w: %w", baobabtide.ErrUncertain, err)
	}
	return err
}
