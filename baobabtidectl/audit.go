package main

import (
	"io"

	"github.com/spf13/cobra"
)

func init() {
	register(&cobra.Command{
		Use:   "audit",
		Short: "Print the audit trail: time, actor, subject and outcome of each change",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return audit(c) },
	})
}

func audit(c *cobra.Command) error {
	client, err := global.client()
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	trail, err := client.Audit(ctx)
	if err != nil {
		return err
	}
	return global.print(c, trail, func(w io.Writer) {
		for i := range trail.Entries {
			printEntry(w, &trail.Entries[i])
		}
	})
}
