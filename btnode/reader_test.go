package btnode

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
)

var errReset = fmt.Errorf("%w: connection reset", baobabtide.ErrUncertain)

// readStep is the result of one read of a log.
type readStep struct {
	after time.Duration // it takes
	page  baobabtide.Page
	err   error
	then  func(n *Node) // called before the read returns, if it is not nil
}

// steppedLog returns the steps of a script one after the other. Then it lets reads wait and
// returns no records.
type steppedLog struct {
	node  *Node
	steps []readStep
	reads int
}

// Append implements baobabtide.Log.
func (*steppedLog) Append(context.Context, baobabtide.Stream, []byte) (baobabtide.Entry, error) {
	return baobabtide.Entry{}, baobabtide.ErrUnavailable
}

// Read implements baobabtide.Log.
func (l *steppedLog) Read(ctx context.Context, _ baobabtide.Stream, from baobabtide.Offset, wait time.Duration) (baobabtide.Page, error) {
	step := readStep{after: wait, page: baobabtide.Page{Next: from}}
	if l.reads < len(l.steps) {
		step = l.steps[l.reads]
	}
	l.reads++
	select {
	case <-time.After(step.after):
	case <-ctx.Done():
		return baobabtide.Page{}, ctx.Err()
	}
	if step.then != nil {
		step.then(l.node)
	}
	return step.page, step.err
}

// runReader runs the read loop of a node that is alone with a log for 10 s, and returns the node's
// record at the end and its log lines.
func runReader(t *testing.T, steps []readStep) (baobabtide.Member, string) {
	var lines bytes.Buffer
	n := idleNode(t, zerolog.New(&lines))
	n.adapters.Log = &steppedLog{node: n, steps: steps}
	n.updateReadDuty(time.Now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.readLoop()
	}()
	time.Sleep(10 * time.Second)
	n.cancel()
	<-done
	return n.members.table.Self(), lines.String()
}

// A reader gives up its duty when the log does not answer it, and not when one connection ends.
func TestReaderIsReplacedOnlyIfLogDoesNotAnswer(t *testing.T) {
	timeout := idleSettings().Platform.Timeout
	tests := map[string]struct {
		steps []readStep
		want  uint64 // sequence of the node's record, which begins with 1 and changes with LogDown
	}{
		"the log answers":                {nil, 1},
		"a connection ends":              {[]readStep{{err: errReset}}, 1},
		"a connection ends after a wait": {[]readStep{{page: baobabtide.Page{Next: 1}}, {after: timeout, err: errReset}}, 1},
		"two failures":                   {[]readStep{{err: errReset}, {err: errReset}}, 3},
		"no answer":                      {[]readStep{{after: timeout + readInterval*2, err: baobabtide.ErrUnavailable}}, 3},
		"refused at other times":         {[]readStep{{err: errReset}, {after: time.Second, page: baobabtide.Page{Next: 1}}, {err: errReset}}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				self, lines := runReader(t, tt.steps)
				if diff := cmp.Diff(tt.want, self.Sequence); diff != "" {
					t.Errorf("sequence (-want +got):\n%s\n%s", diff, lines)
				}
				if self.LogDown {
					t.Error("the log answers the node, and its record says that it does not")
				}
			})
		})
	}
}

// A neighbor may pass a record on while a read that ends before it is under way. That does not mean
// that the log has lost its end.
func TestRecordThatArrivesDuringReadIsNotLostByLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gossip := func(n *Node) {
			if _, err := n.config.Apply(btconfig.Link{Entry: baobabtide.Entry{Offset: 1}}); err != nil {
				t.Error(err)
			}
		}
		_, lines := runReader(t, []readStep{{after: time.Second, page: baobabtide.Page{Next: 1}, then: gossip}})
		if strings.Contains(lines, "log.behind") {
			t.Errorf("log lines:\n%s", lines)
		}
	})
}
