package main

import (
	"io"

	"github.com/spf13/cobra"
)

func init() {
	register(&cobra.Command{
		Use:   "audit",
		Short: "Print who changed what, when, and what became of it",
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
