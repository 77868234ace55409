package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btoperator"
)

const retryDelay = 200 * time.Millisecond // between attempts whose outcome is uncertain

// publishOptions holds the flags of the commands that publish a record.
type publishOptions struct {
	Revision int    `flag:"revision" default:"-1" help:"revision that must be in force; if negative, the current one"`
	ID       string `flag:"id" help:"ID of the record, random by default; repeat a publish whose outcome is uncertain with the same ID"`
}

// record returns a record without content. It expects the revision of --revision,
// or current if the flag is negative.
func (o *publishOptions) record(current baobabtide.Offset) *baobabtide.Record {
	expected := current
	if o.Revision >= 0 {
		expected = baobabtide.Offset(o.Revision)
	}
	id := o.ID
	if id == "" {
		id = rand.Text()
	}
	return &baobabtide.Record{ID: id, Actor: global.actor(), Expected: &expected}
}

// publish publishes a record through a node and prints its audit entry. It fails with a
// rejectedError if the record was rejected.
func publish(c *cobra.Command, client *btoperator.Client, record *baobabtide.Record) error {
	ctx, cancel := global.context()
	defer cancel()
	result, err := publishUntilCertain(ctx, client, record)
	if err != nil {
		return fmt.Errorf("publish with --id %s: %w", record.ID, err)
	}
	if err := global.print(c, result, func(w io.Writer) { printEntry(w, &result.Entry) }); err != nil {
		return err
	}
	if !result.Entry.Accepted {
		return &rejectedError{reason: result.Entry.Reason}
	}
	return nil
}

// publishUntilCertain publishes a record and repeats that with the same record ID as long
// as the outcome is uncertain, until ctx ends.
func publishUntilCertain(ctx context.Context, client *btoperator.Client, record *baobabtide.Record) (*btoperator.PublishResult, error) {
	for {
		result, err := client.Publish(ctx, record)
		var apiErr *btoperator.Error
		if err == nil || !errors.As(err, &apiErr) || apiErr.Code != btoperator.CodeUncertain {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryDelay):
		}
	}
}

// printEntry writes an audit entry as one line.
func printEntry(w io.Writer, e *baobabtide.AuditEntry) {
	outcome := "rejected"
	if e.Accepted {
		outcome = "accepted"
	}
	fmt.Fprintf(w, "%s  %s  %-8s  %s  %s %s  revision %s -> %s", e.Offset, e.Time.Format(time.RFC3339), outcome, e.Actor, e.Kind, e.Subject, e.Before, e.After)
	if e.Reason != "" {
		fmt.Fprintf(w, "  %s", e.Reason)
	}
	fmt.Fprintln(w)
}
