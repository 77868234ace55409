package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btoperator"
)

const clearScreen = "\x1b[H\x1b[2J" // moves the cursor home and erases the display

// watchOptions holds the flags of the watch command.
type watchOptions struct {
	Every time.Duration `flag:"every" default:"1s" help:"time between updates"`
	Until bool          `flag:"until-ended" help:"exit when no rollout is running"`
}

func init() {
	options := &watchOptions{}
	c := &cobra.Command{
		Use:   "watch",
		Short: "Follow the rollouts: a table on a terminal, JSON lines otherwise",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return watch(c, options) },
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

// watch prints the status every options.Every, until no rollout is running if
// options.Until is set.
func watch(c *cobra.Command, options *watchOptions) error {
	client, err := global.client()
	if err != nil {
		return err
	}
	terminal := global.Output == outputText && term.IsTerminal(int(os.Stdout.Fd()))
	for {
		status, err := fetchStatus(client)
		if err != nil {
			return err
		}
		if err := printStatus(c.OutOrStdout(), status, terminal); err != nil {
			return err
		}
		if options.Until && !anyRolloutRunning(status) {
			return nil
		}
		time.Sleep(options.Every)
	}
}

func fetchStatus(client *btoperator.Client) (*btoperator.Status, error) {
	ctx, cancel := global.context()
	defer cancel()
	return client.Status(ctx)
}

// printStatus replaces the content of a terminal by the table of assignments, or
// writes the status as one line of JSON.
func printStatus(w io.Writer, status *btoperator.Status, terminal bool) error {
	if terminal {
		fmt.Fprint(w, clearScreen)
		printAssignments(w, status)
		return nil
	}
	data, err := btcodec.EncodeJSON(status)
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

func anyRolloutRunning(s *btoperator.Status) bool {
	for i := range s.Assignments {
		if s.Assignments[i].Phase != "" {
			return true
		}
	}
	return false
}
