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
	appendTries = 3
	appendPause = 50 * time.Millisecond
)

// appendRecord appends a record to the configuration. One whose answer was lost
// is appended again: its ID makes sure that only the first has an effect.
func (n *Node) appendRecord(ctx context.Context, record *baobabtide.Record) error {
	data, err := btcodec.EncodeJSON(record)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return appendUntilCertain(ctx, n.adapters.Log, data)
}

func appendUntilCertain(ctx context.Context, log baobabtide.Log, data []byte) error {
	var err error
	uncertain := false
	for range appendTries {
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
