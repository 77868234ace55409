package btdispatch

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btlog"
	"github.com/baobabtide/baobabtide/btroute"
)

// serveLogged serves a request and returns the log lines.
func serveLogged(t *testing.T, peers Peers, method string) []string {
	t.Helper()
	var out bytes.Buffer
	routes := table()
	d := &Dispatcher{
		Node:  "self",
		Table: func() *btroute.Table { return routes },
		Peers: peers,
		Log:   btlog.NewDecisionLog(zerolog.New(&out).With().Str("node", "self").Logger()),
	}
	if resp, err := d.Serve(context.Background(), request(method, "")); err == nil {
		_ = resp.Body.Close()
	}
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// A line must not hold a field twice: of two fields "node", readers took the latter, which
// named another node than the one that wrote the line.
func TestFieldsAreUnique(t *testing.T) {
	peers := &fakePeers{errs: []error{&baobabtide.RequestError{Reason: baobabtide.ReasonLost}}}
	for _, line := range serveLogged(t, peers, "POST") {
		if n := strings.Count(line, `"node":`); n != 1 {
			t.Errorf("field node occurs %d times in %s", n, line)
		}
	}
}
