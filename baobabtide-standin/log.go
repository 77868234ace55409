package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btflag"
)

// logOptions holds the flags of the log command.
type logOptions struct {
	Listen           string   `flag:"listen" default:"127.0.0.1:7100" help:"address, host:port"`
	Callers          []string `flag:"caller" help:"further addresses, host:port, one for each caller that a fault can refuse"`
	Retention        int      `flag:"retention" default:"10000" help:"records kept per stream"`
	AppendsPerSecond int      `flag:"appends-per-second" default:"400" help:"appends accepted per second, over all streams"`
}

func init() {
	options := &logOptions{}
	c := &cobra.Command{
		Use:   "log",
		Short: "Run a stand-in for the platform's append-only log",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			server, stop := btlogstandin.NewServer(btlogstandin.New(options.Retention, options.AppendsPerSecond))
			defer stop()
			for _, address := range append([]string{options.Listen}, options.Callers...) {
				listener, err := net.Listen("tcp", address)
				if err != nil {
					return fmt.Errorf("listen for the log: %w", err)
				}
				go func() { _ = server.Serve(listener) }()
			}
			waitForSignal()
			return nil
		},
	}
	btflag.Bind(c.Flags(), options)
	register(c)
}
