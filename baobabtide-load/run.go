package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/baobabtide-load/btexperiment"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btflag"
)

// runOptions holds the flags of the run command.
type runOptions struct {
	Seed  uint64 `flag:"seed" default:"1" help:"seed of all random choices"`
	Quiet bool   `flag:"quiet" help:"print the result only"`
}

func init() {
	options := &runOptions{}
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run an experiment and print its result as one JSON line",
		Long: `Runs an experiment file with real processes on loopback. The last line of the
output is the result. Exit codes: 0 all invariants hold, 1 an invariant was
violated, 2 the run could not be completed.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return run(c, args[0], options) },
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

// programDir returns the directory of this program, which holds the other
// programs too.
func programDir() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find directory of the programs: %w", err)
	}
	return filepath.Dir(path), nil
}

// loadExperiment reads and checks an experiment file.
func loadExperiment(path string) (*btexperiment.Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	experiment, err := btcodec.DecodeJSON[btexperiment.Experiment](data)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	return experiment, nil
}

func run(c *cobra.Command, path string, options *runOptions) error {
	experiment, err := loadExperiment(path)
	if err != nil {
		return err
	}
	bin, err := programDir()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runner := &btexperiment.Runner{Experiment: experiment, Seed: options.Seed, Bin: bin, Progress: c.ErrOrStderr()}
	if options.Quiet {
		runner.Progress = io.Discard
	}
	result, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	line, err := btcodec.EncodeJSON(result)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if _, err := fmt.Fprintf(c.OutOrStdout(), "%s\n", line); err != nil {
		return err
	}
	if violation := result.FirstViolation(); violation != "" {
		return &violationError{violation: violation}
	}
	return nil
}
