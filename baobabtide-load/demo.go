package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/baobabtide-load/btexperiment"
)

func init() {
	register(&cobra.Command{
		Use:   "demo FILE...",
		Short: "Demonstrate rollouts, a revert and a planned stop on the deployment of each experiment file",
		Args:  cobra.MinimumNArgs(1),
		RunE:  demo,
	})
}

func demo(c *cobra.Command, paths []string) error {
	bin, err := programDir()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, path := range paths {
		experiment, err := loadExperiment(path)
		if err != nil {
			return err
		}
		runner := &btexperiment.Runner{Experiment: experiment, Seed: 1, Bin: bin, Progress: c.OutOrStdout()}
		if err := runner.Demo(ctx); err != nil {
			return &violationError{violation: err.Error()}
		}
	}
	return nil
}
