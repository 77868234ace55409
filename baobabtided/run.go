package main

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/btbudget"
	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btsettings"
)

const flushTimeout = 2 * time.Second // longest time for the last log lines to be written

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
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	out, flush := btlog.NewWriter(c.OutOrStdout())
	defer flushLog(flush)
	log := zerolog.New(out).With().Timestamp().Logger()
	ctx, signals := ownSignals(log)
	defer close(signals.ended)
	known := fileVersionOf(path)
	settings, err := loadSettings(ctx, path)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	limitMemory(options, settings)
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return err
	}
	log = log.Level(level)
	named := log.With().Str("node", settings.Node.Name).Logger()
	signals.loggers <- named
	node, free, err := newNode(settings, log)
	if err != nil {
		return err
	}
	defer free()
	watch, stopWatch := context.WithCancel(context.Background()) // not ctx: a node that drains still serves
	defer stopWatch()
	go watchSettings(watch, signals.reloads, path, known, node, named)
	return node.Run(ctx)
}

// gcPercent is the garbage collector's target with a memory limit: it collects half as often as by
// default, and more often only as the heap comes near the limit.
const gcPercent = 200

// limitMemory sets the soft limit of the runtime: that of the flag, or else the one for the memory
// in the settings unless the environment sets a lower one.
func limitMemory(options *runOptions, settings *btsettings.Settings) {
	memory := settings.Limits.Memory()
	switch {
	case options.MemoryLimit > 0:
		debug.SetMemoryLimit(int64(options.MemoryLimit) << 20)
	case memory > 0:
		debug.SetMemoryLimit(min(debug.SetMemoryLimit(-1), btbudget.SoftLimit(memory)))
		debug.SetGCPercent(gcPercent)
	}
}

// loadSettings loads the settings of a node. It returns the context's error if that ends
// before, because the file may be on storage that does not respond.
func loadSettings(ctx context.Context, path string) (*btsettings.Settings, error) {
	type result struct {
		settings *btsettings.Settings
		err      error
	}
	loaded := make(chan result, 1)
	go func() {
		settings, err := btsettings.Load(path)
		loaded <- result{settings, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-loaded:
		return r.settings, r.err
	}
}

// flushLog waits until the last lines are written, at most flushTimeout, because the
// reader of the output may have stalled.
func flushLog(flush func()) {
	flushed := make(chan struct{})
	go func() {
		flush()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(flushTimeout):
	}
}
