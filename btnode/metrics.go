package btnode

import (
	"bytes"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconn"
	"github.com/baobabtide/baobabtide/btpanic"
)

// Paths of the metrics listener.
const (
	metricsPath = "/metrics"
	healthPath  = "/health"
	readyPath   = "/ready"
	profilePath = "/debug/pprof"
)

const (
	metricsStopTimeout  = 200 * time.Millisecond // limit for requests in progress when the server stops
	metricsWriteTimeout = time.Minute            // to send a response; profiles take up to 30 s by default
	metricsReadTimeout  = 20 * time.Second       // to receive a request, and of the wait for the first on a connection
	maxMetricsBody      = 4 << 10                // bytes of a request body; no page expects one
	metricsIdleTimeout  = 2 * time.Minute        // of a connection without a request; longer than usual scrape intervals
)

// metricsServer returns a server of metrics, health, readiness and profiles, and a
// function that stops it.
func (n *Node) metricsServer() (*fasthttp.Server, func()) {
	set := n.metrics
	s := &fasthttp.Server{
		Handler: btpanic.Handler("metrics", n.recordPanic, func(ctx *fasthttp.RequestCtx) {
			if bytes.HasPrefix(ctx.Path(), []byte(profilePath)) {
				pprofhandler.PprofHandler(ctx)
				return
			}
			switch string(ctx.Path()) {
			case metricsPath:
				ctx.SetContentType("text/plain; charset=utf-8")
				set.WritePrometheus(ctx)
				metrics.WriteProcessMetrics(ctx)
			case healthPath:
				ctx.SetBodyString("ok\n")
			case readyPath:
				n.serveReady(ctx)
			default:
				ctx.Error("no such page", fasthttp.StatusNotFound)
			}
		}),
		MaxRequestBodySize:    maxMetricsBody,
		NoDefaultServerHeader: true,
		ReduceMemoryUsage:     true, // idle connections hold no buffers
		WriteTimeout:          metricsWriteTimeout,
		ReadTimeout:           metricsReadTimeout,
		IdleTimeout:           metricsIdleTimeout,
		CloseOnShutdown:       true,
		Logger:                btconn.QuietLogger{},
	}
	return s, func() {
		ctx, cancel := context.WithTimeout(context.Background(), metricsStopTimeout)
		defer cancel()
		_ = s.ShutdownWithContext(ctx)
	}
}

// serveReady responds with status 200 if a configuration with a contract is in force and
// the node is not draining, and otherwise with 503.
func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case n.draining.Load():
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	case !n.routes.Load().Configured():
		ctx.Error("no configuration in force\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

// addGauges registers the metrics that are computed when they are scraped.
func (n *Node) addGauges() {
	gauge := func(name string, value func() float64) { n.metrics.NewGauge(name, value) }
	counters := &n.dispatch.Counters
	gauge("baobabtide_config_offset", func() float64 { return float64(n.inForce()) })
	gauge("baobabtide_config_revision", func() float64 { return float64(n.config.State().Revision()) })
	gauge("baobabtide_members_live", func() float64 {
		n.members.mu.Lock()
		defer n.members.mu.Unlock()
		return float64(n.members.table.Live())
	})
	gauge("baobabtide_panics_total", func() float64 { return float64(n.panics.Load()) })
	gauge("baobabtide_gossip_edges", func() float64 { return float64(n.edges.count()) })
	gauge("baobabtide_gossip_bytes_in_total", func() float64 { return float64(n.bytes.Totals().In) })
	gauge("baobabtide_gossip_bytes_out_total", func() float64 { return float64(n.bytes.Totals().Out) })
	gauge("baobabtide_requests_active", func() float64 { return float64(n.local.Active()) })
	gauge("baobabtide_quarantined_requests", n.countQuarantined)
	gauge("baobabtide_server_crashes_total", func() float64 { return float64(n.local.Crashes.Load()) })
	gauge("baobabtide_invalid_notices_total", func() float64 { return float64(n.local.InvalidNotices.Load()) })
	gauge("baobabtide_server_resets_total", func() float64 { return float64(n.local.Resets.Load()) })
	gauge("baobabtide_server_load_reports_total", func() float64 { return float64(n.local.Reports.Load()) })
	gauge("baobabtide_invalid_server_load_reports_total", func() float64 { return float64(n.local.InvalidReports.Load()) })
	gauge("baobabtide_rate_limited_servers", func() float64 { return float64(len(n.local.RateLimits())) })
	gauge("baobabtide_requests_total", func() float64 { return float64(counters.Requests.Load()) })
	gauge(`baobabtide_answers_total{verdict="ran"}`, func() float64 { return float64(counters.Answered.Load()) })
	gauge(`baobabtide_answers_total{verdict="not-run"}`, func() float64 { return float64(counters.NotRun.Load()) })
	gauge(`baobabtide_answers_total{verdict="may-have-run"}`, func() float64 { return float64(counters.MayHaveRun.Load()) })
	gauge("baobabtide_retries_total", func() float64 { return float64(counters.Retries.Load()) })
	gauge("baobabtide_peer_suspect_total", func() float64 { return float64(n.peers.Suspects.Load()) })
	gauge("baobabtide_settled_total", func() float64 { return float64(counters.Settled.Load()) })
	gauge("baobabtide_invalid_loads_total", func() float64 { return float64(counters.InvalidLoads.Load()) })
	gauge("baobabtide_moves_total", func() float64 { return float64(counters.Moves.Load()) })
	gauge("baobabtide_log_lines_dropped_total", func() float64 { return float64(n.linesDropped.Load()) })
	gauge("baobabtide_config_age_seconds", func() float64 {
		if n.inForce() == 0 {
			return 0
		}
		return time.Since(time.UnixMicro(n.inForceAt.Load())).Seconds()
	})
	n.addLogGauges(gauge)
	n.addAccountMetrics()
	load := func(value func(l *baobabtide.Load) int) func() float64 {
		return func() float64 {
			total := 0
			for _, l := range n.local.Loads() {
				total += value(&l)
			}
			return float64(total)
		}
	}
	gauge("baobabtide_queue_running", load(func(l *baobabtide.Load) int { return l.InFlight }))
	gauge("baobabtide_queue_waiting", load(func(l *baobabtide.Load) int { return l.Queued }))
	gauge("baobabtide_queue_limit", load(func(l *baobabtide.Load) int { return l.Slots }))
	gauge("baobabtide_run_mean_seconds", func() float64 {
		longest := time.Duration(0)
		for _, l := range n.local.Loads() {
			longest = max(longest, l.Work)
		}
		return longest.Seconds()
	})
}

// addLogGauges registers the metrics of the platform's log.
func (n *Node) addLogGauges(gauge func(name string, value func() float64)) {
	gauge("baobabtide_log_reader", func() float64 { return boolToFloat(n.reader.Load()) })
	gauge("baobabtide_log_up", func() float64 { return boolToFloat(n.logUp.Load()) })
	gauge("baobabtide_log_read_age_seconds", func() float64 { return n.logReadAge().Seconds() })
	gauge("baobabtide_log_stalled_reads_total", func() float64 { return float64(n.progress.stalled.Load()) })
	gauge("baobabtide_config_records_behind", n.recordsBehind)
	gauge("baobabtide_config_records_rejected_total", func() float64 { return float64(n.recordsRejected.Load()) })
	gauge("baobabtide_log_restores_total", func() float64 { return float64(n.restores.Load()) })
	gauge("baobabtide_log_epoch", func() float64 { return float64(n.config.State().Offset.Epoch()) })
	gauge("baobabtide_log_reads_total", func() float64 {
		reads, _ := n.adapters.Calls()
		return float64(reads)
	})
	gauge("baobabtide_log_appends_total", func() float64 {
		_, appends := n.adapters.Calls()
		return float64(appends)
	})
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
