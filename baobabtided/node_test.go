package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btoperator"
)

// If two operators publish contracts that expect the same revision, one must be
// accepted, and the rejection of the other must name the new revision.
func TestConcurrentContracts(t *testing.T) {
	c := startCluster(t, 3)
	expected := baobabtide.Offset(1) // revision of the contract
	entries := make([]baobabtide.AuditEntry, 2)
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() {
			entries[i] = c.publish(t, i, baobabtide.Record{
				ID:       fmt.Sprintf("race-%d", i),
				Expected: &expected,
				Contract: btfixture.Contract(customer, service),
			})
		})
	}
	wg.Wait()
	winner, loser := entries[0], entries[1]
	if !winner.Accepted {
		winner, loser = loser, winner
	}
	if !winner.Accepted || loser.Accepted {
		t.Fatalf("entries %+v", entries)
	}
	if want := fmt.Sprintf("is at revision %d", winner.After); !strings.Contains(loser.Reason, want) {
		t.Errorf("reason %q does not contain %q", loser.Reason, want)
	}
}

// A record must take effect once if the response to its append is lost, and publishing
// it again must return the first result.
func TestPublishWithLostResponse(t *testing.T) {
	c := startCluster(t, 2)
	c.log.SetFaults(btlogstandin.Faults{LoseAnswers: 1})
	record := baobabtide.Record{ID: "lost", Contract: btfixture.Contract("d", service)}
	first := c.publish(t, 0, record)
	second := c.publish(t, 1, record)
	if !first.Accepted {
		t.Errorf("first publish %+v", first)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("repeated publish (-first +second):\n%s", diff)
	}
}

// During an outage of the log the accepted configuration must stay in force, and a
// node that starts must get it from its peers.
func TestConfigurationSurvivesLogOutage(t *testing.T) {
	c := startCluster(t, 2)
	c.log.SetFaults(btlogstandin.Faults{Outage: true})
	seed := c.members[0].settings.Peer.Listen
	joined := startMember(t, 2, reserveLoopback(t), seed, c.members[0].settings.Platform.Addresses[0])
	c.members = append(c.members, joined)
	c.waitFor(t, "three targets in force without the log", func(s *btoperator.Status) bool {
		return s.Offset == 2 && len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == 3
	})
	if status, _ := c.postWithKey(t, 2, "k"); status != 200 {
		t.Errorf("request through the new node: status %d", status)
	}
}

// Requests with the same key must all succeed but run only once, whichever node receives
// them.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	c := startCluster(t, 3)
	for i := range 9 {
		if status, _ := c.postWithKey(t, i%3, "k"); status != 200 {
			t.Errorf("request %d: status %d", i, status)
		}
	}
	if diff := cmp.Diff(1, c.countRuns("k")); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

// A request must not run again after a planned stop of the node that held its key.
func TestRepeatedKeyRunsOnceAfterNodeStop(t *testing.T) {
	c := startCluster(t, 3)
	_, respondedBy := c.postWithKey(t, 0, "k")
	index := int(respondedBy[1] - '0')
	c.members[index].drain()
	others := append(c.members[:index:index], c.members[index+1:]...)
	remaining := &cluster{log: c.log, members: others}
	remaining.waitFor(t, "two targets", func(s *btoperator.Status) bool { return s.Assignments[0].Shares[0].Targets == 2 })
	remaining.postWithKey(t, 0, "k")
	if diff := cmp.Diff(1, c.countRuns("k")); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}
