// Command baobabtided is the node: one process beside the backend servers of a
// VM.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

// commands holds the commands that the files of this package register.
var commands []*cobra.Command

func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use:           "baobabtided",
		Short:         "Carry requests and spread configuration beside backend servers",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(commands...)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
