package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btlog"
)

func init() {
	register(&cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show from the logs of nodes what happened to a request and why",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			trace := &btlog.RequestTrace{Request: args[0]}
			for _, path := range args[1:] {
				if err := readLog(trace, path); err != nil {
					return err
				}
			}
			var printErr error
			if err := global.print(c, trace, func(w io.Writer) { printErr = trace.Print(w) }); err != nil {
				return err
			}
			return printErr
		},
	})
}

// logReader collects lines from the logs of nodes. Read can be called for several
// logs.
type logReader interface {
	Read(r io.Reader) error
}

// readLog passes the contents of the log file at path to reader.
func readLog(reader logReader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	if err := reader.Read(file); err != nil {
		return fmt.Errorf("log %s: %w", path, err)
	}
	return nil
}
