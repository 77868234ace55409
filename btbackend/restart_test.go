package btbackend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
)

// arrival is an announcement that a registry receives after its begin.
type arrival struct {
	after    time.Duration
	sequence uint64
	state    baobabtide.TargetState
	want     string // state of the server afterwards, empty if it isn't there
}

// TestLateAnnouncementDoesNotRestoreServer guards against a late announcement that makes a server ready
// after all nodes have been killed, and with them all that knew of its acknowledged departure.
func TestLateAnnouncementDoesNotRestoreServer(t *testing.T) {
	const ready, draining = baobabtide.TargetReady, baobabtide.TargetDraining
	began := time.Unix(10_000, 0)
	old, young := uint64(began.Add(-time.Minute).UnixMilli()), uint64(began.Add(-time.Second).UnixMilli())
	tests := map[string]struct {
		incarnation uint64
		restored    bool
		arrivals    []arrival
	}{
		"one late announcement": {old, false, []arrival{
			{5 * time.Second, 9, ready, "starting"},
			{12 * time.Second, 0, ready, ""}, // the lease has ended; sequence 0 stands for no arrival
		}},
		"one during the start of the node": {old, false, []arrival{
			{2 * time.Second, 9, ready, "ready"},
			{startWindow, 0, ready, "starting"},
		}},
		"the same one twice": {old, false, []arrival{
			{3 * time.Second, 9, ready, "starting"},
			{6 * time.Second, 9, ready, "starting"},
		}},
		"several that were held up together": {old, false, []arrival{
			{2900 * time.Millisecond, 7, ready, "ready"},
			{3000 * time.Millisecond, 8, ready, "starting"},
			{3100 * time.Millisecond, 9, ready, "starting"},
		}},
		"a server that goes on announcing itself": {old, false, []arrival{
			{time.Second, 9, ready, "ready"},
			{2500 * time.Millisecond, 10, ready, "ready"},
			{4 * time.Second, 11, ready, "ready"},
		}},
		"a server that announces itself after a while": {old, false, []arrival{
			{10 * time.Second, 9, ready, "starting"},
			{11500 * time.Millisecond, 10, ready, "ready"},
		}},
		"a draining server": {old, false, []arrival{
			{time.Second, 9, draining, "draining"},
			{2500 * time.Millisecond, 10, draining, "draining"},
		}},
		"a server that has just started": {young, false, []arrival{{time.Second, 2, ready, "ready"}, {4 * time.Second, 0, ready, "ready"}}},
		"a server that starts later":     {old + 120_000, false, []arrival{{90 * time.Second, 1, ready, "ready"}}},
		"its first announcement":         {old, false, []arrival{{4 * time.Second, 1, ready, "ready"}}},
		"restored, then one late announcement": {old, true, []arrival{
			{2 * time.Second, 9, ready, "ready"},
			{6 * time.Second, 0, ready, "starting"},
		}},
		"restored, and it goes on announcing itself": {old, true, []arrival{
			{time.Second, 9, ready, "ready"},
			{2500 * time.Millisecond, 10, ready, "ready"},
			{8 * time.Second, 0, ready, "ready"},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := Registry{Began: began}
			if tt.restored {
				r.restore(began, tt.incarnation, ready)
			}
			r.checkArrivals(t, tt.incarnation, tt.arrivals)
		})
	}
}

// restore records a server as a neighbor of the node knows it.
func (r *Registry) restore(began time.Time, incarnation uint64, state baobabtide.TargetState) {
	a := announcement("b", incarnation, 0, state)
	a.Lease = 2500 * time.Millisecond
	r.Restore(a, began)
}

// checkArrivals announces a server and checks its state after each arrival.
func (r *Registry) checkArrivals(t *testing.T, incarnation uint64, arrivals []arrival) {
	t.Helper()
	for _, arrival := range arrivals {
		now := r.Began.Add(arrival.after)
		r.Expire(now)
		if arrival.sequence > 0 {
			a := announcement("b", incarnation, arrival.sequence, arrival.state)
			a.Lease = 6 * time.Second
			r.Announce(a, now)
		}
		got := ""
		for _, target := range r.Targets() {
			got = target.State.String()
		}
		if diff := cmp.Diff(arrival.want, got); diff != "" {
			t.Errorf("state after %s (-want +got):\n%s", arrival.after, diff)
		}
	}
}

// TestLateAnnouncementDoesNotUndoDraining guards against a late announcement that makes a server ready again
// whose draining an earlier process of the node has acknowledged.
func TestLateAnnouncementDoesNotUndoDraining(t *testing.T) {
	const ready, draining = baobabtide.TargetReady, baobabtide.TargetDraining
	began := time.Unix(10_000, 0)
	old, young := uint64(began.Add(-time.Minute).UnixMilli()), uint64(began.Add(-time.Second).UnixMilli())
	tests := map[string]struct {
		incarnation uint64
		arrivals    []arrival
	}{
		"one late announcement": {old, []arrival{
			{2 * time.Second, 9, ready, "draining"},
			{5 * time.Second, 11, draining, "draining"},
			{6 * time.Second, 9, ready, "draining"},
		}},
		"of a young server":            {young, []arrival{{time.Second, 2, ready, "draining"}, {6 * time.Second, 0, ready, "draining"}}},
		"the same one twice":           {old, []arrival{{time.Second, 9, ready, "draining"}, {4 * time.Second, 9, ready, "draining"}}},
		"two that were held up":        {old, []arrival{{time.Second, 8, ready, "draining"}, {1100 * time.Millisecond, 9, ready, "draining"}}},
		"behind a draining one":        {old, []arrival{{time.Second, 9, draining, "draining"}, {2 * time.Second, 8, ready, "draining"}}},
		"draining for its node's stop": {old, []arrival{{time.Second, 9, ready, "draining"}, {2500 * time.Millisecond, 10, ready, "ready"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := Registry{Began: began}
			r.restore(began, tt.incarnation, draining)
			r.checkArrivals(t, tt.incarnation, tt.arrivals)
		})
	}
	t.Run("another incarnation", func(t *testing.T) {
		r := Registry{Began: began}
		r.restore(began, old, draining)
		r.checkArrivals(t, old+61_000, []arrival{{2 * time.Second, 1, ready, "ready"}})
	})
}

// TestDepartureOfUnknownServerIsAnnounced guards against an acknowledged departure that the neighbors do not
// learn of, as the node has not known the server since its start, and that its next process then lacks.
func TestDepartureOfUnknownServerIsAnnounced(t *testing.T) {
	now := time.Unix(10_000, 0)
	for name, depart := range map[string]func(r *Registry){
		"deregistered": func(r *Registry) { r.Deregister("b", 5, now) },
		"restored":     func(r *Registry) { r.RestoreDepartures([]baobabtide.Departure{{Name: "b", Incarnation: 5}}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			var r Registry
			for _, isNew := range []bool{true, false} {
				changed := r.Changed()
				depart(&r)
				announced := false
				select {
				case <-changed:
					announced = true
				default:
				}
				if diff := cmp.Diff(isNew, announced); diff != "" {
					t.Errorf("announced (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]baobabtide.Departure{{Name: "b", Incarnation: 5}}, r.Departures()); diff != "" {
					t.Errorf("departures (-want +got):\n%s", diff)
				}
			}
		})
	}
}
