package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

// clearOptions holds the flags of the quarantine clear command.
type clearOptions struct {
	Reason string `flag:"reason" help:"reason to record in the audit trail"`
}

func init() {
	parent := &cobra.Command{Use: "quarantine", Short: "List and clear requests that crash backend servers"}
	options := &clearOptions{}
	clearCommand := &cobra.Command{
		Use:   "clear DIGEST",
		Short: "Let requests run again that are refused because they crashed backend servers",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return clearQuarantine(c, args[0], options) },
	}
	btflag.Bind(clearCommand.Flags(), options)
	parent.AddCommand(clearCommand, &cobra.Command{
		Use:   "list",
		Short: "List the requests under which backend servers crashed",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return listQuarantine(c) },
	})
	register(parent)
}

func listQuarantine(c *cobra.Command) error {
	client, err := global.client()
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	quarantine, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return global.print(c, quarantine, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "DIGEST\tSERVICE\tREQUEST\tREFUSED\tSINCE\tCRASHED")
		for i := range quarantine.Requests {
			r := &quarantine.Requests[i]
			fmt.Fprintf(t, "%s\t%s\t%s %s\t%s\t%s\t%s\n", r.Digest, r.Service, r.Method, r.Path, yesOrDash(r.Refused),
				r.Since.Format(time.RFC3339), strings.Join(r.Crashed, " "))
		}
		_ = t.Flush()
	})
}

func clearQuarantine(c *cobra.Command, digest string, options *clearOptions) error {
	req := &btoperator.ClearRequest{Reason: options.Reason, Actor: global.actor()}
	if err := req.Digest.UnmarshalText([]byte(digest)); err != nil {
		return err
	}
	client, err := global.client()
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	result, err := client.Clear(ctx, req)
	if err != nil {
		return err
	}
	return global.print(c, result, func(w io.Writer) {
		fmt.Fprintf(w, "requests with digest %s run again\n", req.Digest)
		if !result.Recorded {
			fmt.Fprintln(w, "the append to the log failed: this is not recorded in the audit trail")
		}
	})
}
