package btnode

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btquarantine"
)

// fakeQuarantineLog is a QuarantineLog in memory. The first calls fail, as many as faults.
type fakeQuarantineLog struct {
	faults int
	values map[baobabtide.Digest][]byte
	puts   int
}

func (f *fakeQuarantineLog) fault() error {
	if f.faults == 0 {
		return nil
	}
	f.faults--
	return baobabtide.ErrUnavailable
}

func (f *fakeQuarantineLog) Put(_ context.Context, digest baobabtide.Digest, data []byte) error {
	if err := f.fault(); err != nil {
		return err
	}
	f.puts++
	if f.values == nil {
		f.values = make(map[baobabtide.Digest][]byte)
	}
	f.values[digest] = data
	return nil
}

func (f *fakeQuarantineLog) Quarantine(context.Context) ([][]byte, error) {
	return slices.Collect(maps.Values(f.values)), f.fault()
}

var badDigest = baobabtide.Digest{7}

// crash records on a node that servers crashed under the bad request.
func crash(n *Node, incarnations ...uint64) {
	for _, incarnation := range incarnations {
		req := &baobabtide.Request{Digest: badDigest, Service: "s", Method: "GET", Target: "/bad?x"}
		if entry, changed := n.quarantine.RecordCrash(req, btquarantine.Crash{Server: "b", Incarnation: incarnation}, time.Now()); changed {
			n.local.OnEntry(entry)
		}
	}
}

// All nodes restart: what was quarantined is known again from the log, also if the log is
// down at first, and what an operator has cleared is not.
func TestQuarantineSurvivesRestartOfAllNodes(t *testing.T) {
	store := &fakeQuarantineLog{faults: 1}
	first := idleNode(t, zerolog.Nop())
	crash(first, 1, 2)
	if err := first.storeQuarantine(store); err != nil || store.puts != 0 {
		t.Fatalf("%d writes for a request that is not quarantined, %v", store.puts, err)
	}
	crash(first, 3)
	if err := first.storeQuarantine(store); !errors.Is(err, baobabtide.ErrUnavailable) {
		t.Fatalf("first write: %v", err)
	}
	if err := first.storeQuarantine(store); err != nil {
		t.Fatal(err)
	}
	standing := func() btquarantine.Standing {
		n := idleNode(t, zerolog.Nop())
		if err := n.readQuarantine(store); err != nil {
			t.Fatal(err)
		}
		if err := n.storeQuarantine(store); err != nil { // what was read is not stored again
			t.Fatal(err)
		}
		return n.quarantine.Standing(badDigest, time.Now())
	}
	if diff := cmp.Diff(btquarantine.Quarantined, standing()); diff != "" {
		t.Errorf("after a restart (-want +got):\n%s", diff)
	}
	second := idleNode(t, zerolog.Nop())
	if err := second.readQuarantine(store); err != nil {
		t.Fatal(err)
	}
	result, err := operators{second}.Clear(context.Background(), &btoperator.ClearRequest{Digest: badDigest, Actor: "a"})
	if err != nil || result.Recorded { // the log of an idle node is down
		t.Fatalf("clear: %+v, %v", result, err)
	}
	if err := second.storeQuarantine(store); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(btquarantine.Clear, standing()); diff != "" {
		t.Errorf("after an operator cleared it (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2, store.puts); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
}

// Operators see each request with the servers that crashed, and can clear it once.
func TestOperatorsSeeAndClearQuarantine(t *testing.T) {
	n := idleNode(t, zerolog.Nop())
	crash(n, 1, 2, 3)
	quarantine, err := operators{n}.Quarantine(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range quarantine.Requests {
		quarantine.Requests[i].Since = time.Time{}
	}
	want := &btoperator.Quarantine{Requests: []btoperator.QuarantinedRequest{{
		Digest: badDigest, Service: "s", Method: "GET", Path: "/bad", Refused: true, Crashed: []string{"b", "b", "b"},
	}}}
	if diff := cmp.Diff(want, quarantine); diff != "" {
		t.Errorf("quarantine (-want +got):\n%s", diff)
	}
	for i, wantCode := range []btoperator.ErrorCode{"", btoperator.CodeNotFound} {
		_, err := operators{n}.Clear(context.Background(), &btoperator.ClearRequest{Digest: badDigest, Actor: "a"})
		var apiErr *btoperator.Error
		code := btoperator.ErrorCode("")
		if errors.As(err, &apiErr) {
			code = apiErr.Code
		}
		if diff := cmp.Diff(wantCode, code); diff != "" {
			t.Errorf("clear %d: error code (-want +got):\n%s", i+1, diff)
		}
	}
	if diff := cmp.Diff(btquarantine.Clear, n.quarantine.Standing(badDigest, time.Now())); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
}
