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
		Short: "Show the whole path on the deployments of experiment files, one after the other",
		Args:  cobra.MinimumNArgs(1),
		RunE:  demo,
	})
}

func demo(c *cobra.Command, paths []string) error {
	bin, err := binFolder()
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
			return &brokenError{what: err.Error()}
		}
	}
	return nil
}
