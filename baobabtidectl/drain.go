package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

// drainOptions holds the flags of the drain command.
type drainOptions struct {
	Reason string `flag:"reason" help:"reason to record in the audit trail"`
}

func init() {
	options := &drainOptions{}
	c := &cobra.Command{
		Use:   "drain NODE",
		Short: "Stop a node gracefully, letting its requests in progress finish",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return drain(c, &btoperator.DrainRequest{Node: args[0], Reason: options.Reason, Actor: global.actor()})
		},
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

// drain starts the planned stop of a node and returns without waiting for its end.
func drain(c *cobra.Command, req *btoperator.DrainRequest) error {
	client, err := global.client()
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	result, err := client.Drain(ctx, req)
	if err != nil {
		return err
	}
	return global.print(c, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s is draining, %d requests in progress\n", result.Node, result.InFlight)
		if !result.Recorded {
			fmt.Fprintln(w, "the append to the log failed: the drain is not recorded in the audit trail")
		}
	})
}
