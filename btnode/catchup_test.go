package btnode

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btpeer"
)

// A restarted node must not put an older configuration in force than before its
// restart. This happened to one of 200 nodes that restarted while changes were
// published, because its first neighbor lagged.
func TestCatchUp(t *testing.T) {
	tests := map[string]struct {
		offsets map[string]baobabtide.Offset
		own     baobabtide.Offset
		others  int
		uptime  time.Duration
		gone    string // neighbor that is no longer connected
		want    bool
	}{
		"no configuration":     {nil, 0, 5, time.Minute, "", false},
		"alone":                {nil, 3, 0, 0, "", true},
		"one neighbor of many": {map[string]baobabtide.Offset{"a": 3}, 3, 5, 0, "", false},
		"one neighbor of many, after the timeout":  {map[string]baobabtide.Offset{"a": 3}, 3, 5, catchUpTimeout, "", true},
		"the only neighbor":                        {map[string]baobabtide.Offset{"a": 3}, 3, 1, 0, "", true},
		"two neighbors agree":                      {map[string]baobabtide.Offset{"a": 3, "b": 3}, 3, 5, 0, "", true},
		"second neighbor is ahead":                 {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, 0, "", false},
		"neighbor that is ahead is gone":           {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, 0, "b", false},
		"neighbor is ahead, after the timeout":     {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpTimeout, "", false},
		"neighbor was ahead, after the timeout":    {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpTimeout, "b", true},
		"neighbor is ahead, just before the limit": {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpLimit - 1, "", false},
		"neighbor is ahead, at the limit":          {map[string]baobabtide.Offset{"a": 3, "b": 4}, 3, 5, catchUpLimit, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c catchUp
			for neighbor, offset := range tt.offsets {
				c.record(neighbor, btconfig.Position{Offset: offset})
				c.record(neighbor, btconfig.Position{Offset: offset - 1}) // an older message that arrives late
			}
			connected := func(name string) bool { return name != tt.gone }
			if diff := cmp.Diff(tt.want, c.done(btconfig.Position{Offset: tt.own}, tt.others, tt.uptime, connected)); diff != "" {
				t.Errorf("done (-want +got):\n%s", diff)
			}
		})
	}
}

// In a large mesh the first message of a neighbor holds only its own record, so that it
// seemed to be the only other node, and the configuration of one that lagged was put in force.
func TestCatchUpInLargeMesh(t *testing.T) {
	tests := map[string]struct {
		live    int
		offsets []baobabtide.Offset // of the neighbors
		want    baobabtide.Offset   // in force
	}{
		"first neighbor of many":   {maxHelloMembers + 1, []baobabtide.Offset{3}, 0},
		"second neighbor agrees":   {maxHelloMembers + 1, []baobabtide.Offset{3, 3}, 3},
		"second neighbor is ahead": {maxHelloMembers + 1, []baobabtide.Offset{3, 4}, 0},
		"the only neighbor":        {2, []baobabtide.Offset{3}, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := idleNode(t, zerolog.Nop())
			n.config.Adopt(&btconfig.State{Offset: 3})
			members := btfixture.Members(len(tt.offsets), 1, 1, "v1")
			for i, offset := range tt.offsets {
				ctx, cancel := context.WithCancelCause(t.Context())
				e := &edge{name: members[i].Name, queue: make(chan *btpeer.Gossip, edgeQueueSize), ctx: ctx, cancel: cancel}
				n.edges.add(e)
				n.handleGossip(e, &btpeer.Gossip{
					Hello:     &btpeer.Hello{Node: members[i].Name, Live: tt.live},
					Heartbeat: &btpeer.Heartbeat{Offset: offset},
					Members:   members[i : i+1],
				})
			}
			n.rebuild()
			if diff := cmp.Diff(tt.want, n.inForce()); diff != "" {
				t.Errorf("offset in force (-want +got):\n%s", diff)
			}
		})
	}
}

// fakeNeighbor is a neighbor of a starting node. It sends a heartbeat every second.
type fakeNeighbor struct {
	offset      baobabtide.Offset
	opensAt     time.Duration // its edge opens
	answersFrom time.Duration // it answers pulls
	silentFrom  time.Duration // it sends nothing, 0 for never
}

// start runs a node that has just started beside its neighbors until the end, and returns the
// configurations that come into force.
func start(t *testing.T, neighbors []fakeNeighbor, end time.Duration) []string {
	n := idleNode(t, zerolog.Nop())
	members := btfixture.Members(len(neighbors), 1, 1, "v1")
	open := make([]*edge, len(neighbors))
	var inForce []string
	for uptime := time.Duration(0); uptime <= end; uptime += tickPeriod {
		for i, neighbor := range neighbors {
			heartbeat := &btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{Offset: neighbor.offset}}
			switch {
			case uptime < neighbor.opensAt || neighbor.silentFrom > 0 && uptime >= neighbor.silentFrom:
			case open[i] == nil:
				ctx, cancel := context.WithCancelCause(t.Context())
				open[i] = &edge{name: members[i].Name, queue: make(chan *btpeer.Gossip, edgeQueueSize), ctx: ctx, cancel: cancel}
				n.edges.add(open[i])
				heartbeat.Hello = &btpeer.Hello{Node: members[i].Name, Live: maxHelloMembers + 1}
				n.handleGossip(open[i], heartbeat)
			case (uptime-neighbor.opensAt)%time.Second == 0:
				n.handleGossip(open[i], heartbeat)
			}
			if open[i] == nil {
				continue
			}
			n.tickEdge(open[i], members, &btpeer.Gossip{}, time.Now())
			for len(open[i].queue) > 0 {
				if m := <-open[i].queue; m.Pull != nil && uptime >= neighbor.answersFrom && open[i].ctx.Err() == nil {
					data, err := btconfig.EncodeState(&btconfig.State{Offset: neighbor.offset})
					if err != nil {
						t.Fatal(err)
					}
					n.handleGossip(open[i], &btpeer.Gossip{State: data})
				}
			}
		}
		before := n.inForce()
		n.rebuild()
		if after := n.inForce(); after != before {
			inForce = append(inForce, fmt.Sprintf("%d at %s", after, uptime))
		}
		time.Sleep(tickPeriod)
	}
	return inForce
}

// A node that knew of a later configuration put the older one in force 3 s after its start
// although the neighbor that had the later one was connected.
func TestStartingNodeDoesNotPutOlderConfigurationInForce(t *testing.T) {
	const never = time.Hour
	current, old := fakeNeighbor{offset: 5}, fakeNeighbor{offset: 4}
	tests := map[string]struct {
		neighbors []fakeNeighbor
		want      []string
	}{
		"neighbors are current":             {[]fakeNeighbor{current, current}, []string{"5 at 0s"}},
		"first neighbor lags":               {[]fakeNeighbor{old, current}, []string{"5 at 0s"}},
		"later one is sent after 1 s":       {[]fakeNeighbor{old, {offset: 5, answersFrom: time.Second}}, []string{"5 at 1s"}},
		"later one is sent after 4 s":       {[]fakeNeighbor{old, {offset: 5, answersFrom: 4 * time.Second}}, []string{"5 at 4s"}},
		"later one can't be sent":           {[]fakeNeighbor{old, {offset: 5, answersFrom: never}}, []string{"4 at 10s"}},
		"neighbor that is ahead dies":       {[]fakeNeighbor{old, {offset: 5, answersFrom: never, silentFrom: time.Second}}, []string{"4 at 3s"}},
		"neighbor that is ahead dies later": {[]fakeNeighbor{old, {offset: 5, answersFrom: never, silentFrom: 4 * time.Second}}, []string{"4 at 6s"}},

		// Not covered: no node tells of the later configuration in time.
		"only neighbor lags":  {[]fakeNeighbor{old, {offset: 5, opensAt: 4 * time.Second}}, []string{"4 at 3s", "5 at 4s"}},
		"two neighbors lag":   {[]fakeNeighbor{old, old, {offset: 5, opensAt: time.Second}}, []string{"4 at 0s", "5 at 1s"}},
		"both are cut off":    {[]fakeNeighbor{old, old}, []string{"4 at 0s"}},
		"no neighbor answers": {[]fakeNeighbor{{offset: 5, answersFrom: never}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if diff := cmp.Diff(tt.want, start(t, tt.neighbors, 11*time.Second)); diff != "" {
					t.Errorf("configurations in force (-want +got):\n%s", diff)
				}
			})
		})
	}
}
