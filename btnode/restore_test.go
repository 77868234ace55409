package btnode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btsettings"
)

// A backend server departs, which its node acknowledges, and the node restarts. An announcement
// that was on its way since before the departure must not bring the server back: it may still
// serve, and gets requests then that it was told not to get.
func TestDepartedServerStaysGoneAfterRestart(t *testing.T) {
	now := time.Now()
	late := btbackend.Announcement{Name: "b", Service: "s", Version: "v1", Address: "127.0.0.1:1", State: baobabtide.TargetReady, Slots: 4, Incarnation: 5, Sequence: 7, Lease: 6 * time.Second}
	member := baobabtide.Member{Name: "node", Zone: "z", PeerAddress: "127.0.0.1:2", Incarnation: 1, Process: 1, Sequence: 1}
	var first btbackend.Registry
	neighbor := btmember.New(baobabtide.Member{Name: "neighbor", Zone: "z", Incarnation: 1, Process: 1}, btmember.Timing{}, rand.New(rand.NewPCG(1, 1)))
	tell := func() {
		member.Sequence++
		member.Targets, member.Departed = first.Targets(), first.Departures()
		neighbor.Merge(btmember.Delta{Members: []baobabtide.Member{member}}, now)
	}
	first.Announce(late, now)
	tell()
	first.Deregister(late.Name, late.Incarnation, now)
	tell()

	restarted := baobabtide.Member{Name: "node", Zone: "z", PeerAddress: "127.0.0.1:2", Incarnation: 2, Process: 2, Sequence: 1}
	var second btbackend.Registry
	targets, departed := neighbor.Former(&restarted)
	for _, former := range targets {
		second.Restore(btbackend.Announcement{Name: former.Name, Service: former.Service, Version: former.Version, Address: late.Address, State: former.State, Slots: former.Slots, Incarnation: former.Incarnation, Lease: restoreLease}, now)
	}
	late.Sequence = 6
	second.Announce(late, now) // may come before the neighbor's message or after it
	second.RestoreDepartures(departed, now)
	second.Announce(late, now.Add(time.Second))
	if diff := cmp.Diff(0, len(second.Targets())); diff != "" {
		t.Errorf("targets after the restart (-want +got):\n%s", diff)
	}
	late.Incarnation++
	second.Announce(late, now.Add(2*time.Second))
	if diff := cmp.Diff(1, len(second.Targets())); diff != "" {
		t.Errorf("targets after the next start of the server (-want +got):\n%s", diff)
	}
}

// The node restarts beside a server that may have turned cold meanwhile: until the server announces
// itself, the node takes it to be.
func TestRestoredServerIsTakenToBeWarm(t *testing.T) {
	now := time.Now()
	n := &Node{started: now, log: zerolog.Nop()}
	n.reloaded.Store(&btsettings.Settings{Backend: btsettings.Backend{Address: "127.0.0.1:1"}})
	n.restoreTargets([]baobabtide.Target{{Name: "b", Service: "s", Version: "v1", State: baobabtide.TargetReady, Slots: 4, Incarnation: 5}}, now)
	cold := func() []time.Duration {
		var left []time.Duration
		for _, s := range n.registry.Servers() {
			left = append(left, s.ColdUntil.Sub(now))
		}
		return left
	}
	if diff := cmp.Diff([]time.Duration{restoreLease}, cold()); diff != "" {
		t.Errorf("restored: cold for (-want +got):\n%s", diff)
	}
	n.registry.Announce(btbackend.Announcement{Name: "b", Service: "s", Version: "v1", Address: "127.0.0.1:1", State: baobabtide.TargetReady, Slots: 4, Incarnation: 5, Sequence: 9, Lease: 6 * time.Second}, now)
	if diff := cmp.Diff([]time.Duration{0}, cold()); diff != "" {
		t.Errorf("announced: cold for (-want +got):\n%s", diff)
	}
}
