// Command baobabtidectl lets operators publish contracts and versions, drain nodes
// and read the status, the audit trail and the logs of nodes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

// Exit codes.
const (
	exitFailed      = 1 // any other error, also wrong usage of commands and flags
	exitInvalid     = 2 // invalid file, field or --output, unknown object, or infeasible contract
	exitRejected    = 3 // the record was appended and rejected
	exitUnavailable = 4 // no effect, can be retried
	exitUncertain   = 5 // may have taken effect, repeat with the same --id
)

// commands holds the subcommands of the root command.
var commands []*cobra.Command

// register adds a subcommand; init functions call it.
func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use:     "baobabtidectl",
		Version: btflag.BuildVersion(),
		Short:   "Publish contracts and versions and inspect the system",
		Long: `Publish contracts and versions and inspect the system.

Exit codes: 0 success, 1 failed, 2 invalid file or value, 3 rejected,
4 unavailable, without effect, 5 uncertain: repeat with the same --id.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	global.bind(root)
	root.AddCommand(commands...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "baobabtidectl:", err)
		os.Exit(exitCode(err))
	}
}

// rejectedError reports a record that was appended to the log and rejected.
type rejectedError struct {
	reason string
}

// Error implements error.
func (e *rejectedError) Error() string { return "rejected: " + e.reason }

// infeasibleError reports a contract whose rollouts can't collect enough evidence.
type infeasibleError struct {
	findings int // number of findings of btcontract.Analyze
}

// Error implements error.
func (e *infeasibleError) Error() string {
	return fmt.Sprintf("the rollouts of %d services can't collect enough evidence", e.findings)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var fieldErr *baobabtide.FieldError
	var rejected *rejectedError
	var infeasible *infeasibleError
	var apiErr *btoperator.Error
	switch {
	case errors.As(err, &fieldErr), errors.As(err, &infeasible):
		return exitInvalid
	case errors.As(err, &rejected):
		return exitRejected
	case errors.As(err, &apiErr):
		return apiExitCode(apiErr.Code)
	default:
		return exitFailed
	}
}

// apiExitCode returns the exit code for an error of the operator API.
func apiExitCode(code btoperator.ErrorCode) int {
	switch code {
	case btoperator.CodeInvalid, btoperator.CodeNotFound:
		return exitInvalid
	case btoperator.CodeUnavailable:
		return exitUnavailable
	case btoperator.CodeUncertain:
		return exitUncertain
	default:
		return exitFailed
	}
}
