// Command baobabtide-standin runs simple stand-ins for the systems that nodes
// communicate with: the platform's log, backend servers and the network between
// nodes. They are for tests, demonstrations and experiments.
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
		Use:          "baobabtide-standin",
		Version:      btflag.BuildVersion(),
		Short:        "Stand-ins for the platform's log, backend servers and the network",
		SilenceUsage: true,
	}
	root.AddCommand(commands...)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
