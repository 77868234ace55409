package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btsettings"
)

// runOptions holds the flags of the run command.
type runOptions struct {
	MemoryLimit int `flag:"memory-limit" default:"0" help:"soft limit of the heap in MiB, 0 for none"`
}

func init() {
	options := &runOptions{}
	c := &cobra.Command{
		Use:   "run SETTINGS",
		Short: "Run a node until it is stopped",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return run(c, args[0], options) },
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}

// run runs a node. SIGINT or SIGTERM begins its planned stop, after which run returns.
func run(c *cobra.Command, path string, options *runOptions) error {
	known := fileVersionOf(path)
	settings, err := btsettings.Load(path)
	if err != nil {
		return err
	}
	if options.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(options.MemoryLimit) << 20)
	}
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	out, flush := btlog.NewWriter(c.OutOrStdout())
	defer flush()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	node, free, err := newNode(settings, log)
	if err != nil {
		return err
	}
	defer free()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	go watchSettings(ctx, path, known, node, log)
	return node.Run(ctx)
}
