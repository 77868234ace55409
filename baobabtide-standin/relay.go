package main

import (
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconn"
)

// relayFile is the input file of the relay command.
type relayFile struct {
	Control string // host:port of the control interface: a POST sets btrelay.Rules, a GET returns btrelay.QueueReports
	Links   []btrelay.Link
}

func init() {
	register(&cobra.Command{
		Use:   "relay FILE",
		Short: "Run a TCP relay that cuts, freezes, stalls, delays or limits connections",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return runRelay(args[0]) },
	})
}

// runRelay runs a relay with the links of a file until the process is signaled to
// stop.
func runRelay(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read links: %w", err)
	}
	file, err := btcodec.DecodeJSON[relayFile](data)
	if err != nil {
		return fmt.Errorf("links %s: %w", path, err)
	}
	relay, stop := btrelay.New()
	defer stop()
	for _, link := range file.Links {
		if err := relay.Open(link); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", file.Control)
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	control := &fasthttp.Server{Logger: btconn.QuietLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
		if ctx.IsGet() {
			data, err := btcodec.EncodeJSON(&btrelay.QueueReports{Queues: relay.Queues()})
			if err != nil {
				ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
				return
			}
			ctx.SetBody(data)
			return
		}
		rules, err := btcodec.DecodeJSON[btrelay.Rules](ctx.PostBody())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		relay.SetRules(rules.Rules)
	}}
	go func() { _ = control.Serve(listener) }()
	waitForSignal()
	return nil
}
