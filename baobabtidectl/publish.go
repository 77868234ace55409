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

const repeatPause = 200 * time.Millisecond

// publishOptions are the flags of commands that publish.
type publishOptions struct {
	Revision int    `flag:"revision" default:"-1" help:"revision that must be in force, by default the one that the command finds"`
	ID       string `flag:"id" help:"ID of the record; repeat a publish whose outcome is uncertain with the same ID"`
}

// record returns a record that expects a revision.
func (o *publishOptions) record(found baobabtide.Offset) *baobabtide.Record {
	expected := found
	if o.Revision >= 0 {
		expected = baobabtide.Offset(o.Revision)
	}
	id := o.ID
	if id == "" {
		id = rand.Text()
	}
	return &baobabtide.Record{ID: id, Actor: global.actor(), Expected: &expected}
}

// publish appends a record and prints what became of it. A publish whose
// answer is lost is repeated with the same ID.
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

func publishUntilCertain(ctx context.Context, client *btoperator.Client, record *baobabtide.Record) (*btoperator.PublishResult, error) {
	for {
		result, err := client.Publish(ctx, record)
		var api *btoperator.Error
		if err == nil || !errors.As(err, &api) || api.Code != btoperator.CodeUncertain {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(repeatPause):
		}
	}
}

func printEntry(w io.Writer, e *baobabtide.AuditEntry) {
	outcome := "rejected"
	if e.Accepted {
		outcome = "accepted"
	}
	fmt.Fprintf(w, "%d  %s  %-8s  %s  %s %s  revision %d -> %d", e.Offset, e.Time.Format(time.RFC3339), outcome, e.Actor, e.Kind, e.Subject, e.Before, e.After)
	if e.Reason != "" {
		fmt.Fprintf(w, "  %s", e.Reason)
	}
	fmt.Fprintln(w)
}
