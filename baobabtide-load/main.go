// Command baobabtide-load runs demonstrations and experiments: it starts the
// programs as local processes on loopback addresses, generates load, injects
// faults and checks invariants.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
)

// Exit codes.
const (
	exitViolation = 1 // an invariant was violated, or a demonstration failed
	exitFailed    = 2 // the run could not be completed
)

// commands holds the subcommands of the root command.
var commands []*cobra.Command

// register adds a subcommand; init functions call it.
func register(c *cobra.Command) { commands = append(commands, c) }

// violationError describes the violated invariant of a run, or why a
// demonstration failed.
type violationError struct {
	violation string
}

// Error implements error.
func (e *violationError) Error() string { return e.violation }

func main() {
	root := &cobra.Command{
		Use:           "baobabtide-load",
		Version:       btflag.BuildVersion(),
		Short:         "Run demonstrations and experiments with real processes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands...)
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "baobabtide-load:", err)
	var violation *violationError
	if errors.As(err, &violation) {
		os.Exit(exitViolation)
	}
	os.Exit(exitFailed)
}
