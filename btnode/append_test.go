package btnode

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// scriptedLog is a Log whose appends return the given errors in order. The last
// error repeats.
type scriptedLog struct {
	errs  []error
	calls int
}

func (l *scriptedLog) Append(context.Context, baobabtide.Stream, []byte) (baobabtide.Entry, error) {
	err := l.errs[min(l.calls, len(l.errs)-1)]
	l.calls++
	return baobabtide.Entry{}, err
}

func (l *scriptedLog) Read(context.Context, baobabtide.Stream, baobabtide.Offset, time.Duration) (baobabtide.Page, error) {
	return baobabtide.Page{}, nil
}

// An append whose response is lost is repeated. Without that, a publish over a
// connection that the network had closed took 10.5 s, because the node only waited
// until the record appeared in the log.
func TestAppendUntilCertain(t *testing.T) {
	lost, down := baobabtide.ErrUncertain, baobabtide.ErrUnavailable
	tests := map[string]struct {
		errs  []error
		want  error
		calls int
	}{
		"first succeeds":              {[]error{nil}, nil, 1},
		"lost, then successful":       {[]error{lost, nil}, nil, 2},
		"always lost":                 {[]error{lost}, lost, appendAttempts},
		"down at once":                {[]error{down}, down, 1},
		"lost, then down":             {[]error{lost, down}, lost, appendAttempts},
		"lost, down, then successful": {[]error{lost, down, nil}, nil, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &scriptedLog{errs: tt.errs}
			if err := appendUntilCertain(context.Background(), log, nil); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			if diff := cmp.Diff(tt.calls, log.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}
