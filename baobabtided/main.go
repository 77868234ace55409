// Command baobabtided is the node, a process that runs beside the backend servers
// of a VM.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
)

// commands holds the subcommands of the root command.
var commands []*cobra.Command

// register adds a subcommand; init functions call it.
func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use:           "baobabtided",
		Version:       btflag.BuildVersion(),
		Short:         "Carry requests and distribute configuration beside backend servers",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(commands...)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
