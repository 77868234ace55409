package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/baobabtide-load/btexperiment"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btflag"
)

// soakOptions holds the flags of the soak command.
type soakOptions struct {
	First uint64 `flag:"first" default:"1" help:"first seed"`
	Seeds int    `flag:"seeds" default:"1" help:"number of seeds, run one after the other"`
	Quiet bool   `flag:"quiet" help:"print the results only"`
}

func init() {
	options := &soakOptions{}
	c := &cobra.Command{
		Use:   "soak FILE",
		Short: "Run an experiment with random faults, once for each seed",
		Long: `Runs an experiment file with random faults in place of its own, once for each
seed, and prints a result as a JSON line for each. Exit codes: 0 all invariants
hold, 1 a run violated an invariant, 2 a run could not be completed.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return soak(c, args[0], options) },
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

// soak runs all seeds, also after one that violated an invariant, and returns the first
// violation.
func soak(c *cobra.Command, path string, options *soakOptions) error {
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
	progress := c.ErrOrStderr()
	if options.Quiet {
		progress = io.Discard
	}
	var violated *violationError
	for i := range options.Seeds {
		seed := options.First + uint64(i)
		runner := &btexperiment.Runner{Experiment: experiment.Soak(seed), Seed: seed, Bin: bin, Progress: progress}
		result, err := runner.Run(ctx)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		line, err := btcodec.EncodeJSON(result)
		if err != nil {
			return fmt.Errorf("encode result: %w", err)
		}
		if _, err := fmt.Fprintf(c.OutOrStdout(), "%s\n", line); err != nil {
			return err
		}
		if violation := result.FirstViolation(); violation != "" && violated == nil {
			violated = &violationError{violation: fmt.Sprintf("seed %d: %s", seed, violation)}
		}
	}
	if violated != nil {
		return violated
	}
	return nil
}
