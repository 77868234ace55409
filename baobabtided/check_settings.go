package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btsettings"
)

func init() {
	register(&cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file without starting a node",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := btsettings.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", args[0])
			return err
		},
	})
}
