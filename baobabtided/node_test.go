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

// Of two operators who saw the same revision one wins, and the other is told
// which revision now holds.
func TestRacingOperators(t *testing.T) {
	c := startCluster(t, 3)
	expected := baobabtide.Offset(1) // of the contract
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
		t.Errorf("reason %q lacks %q", loser.Reason, want)
	}
}

// A publish whose answer is lost takes effect once, and the operator learns
// its outcome.
func TestPublishWithLostAnswers(t *testing.T) {
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

// An accepted configuration stays in force when the log goes down, and a node
// that starts meanwhile takes it from its peers.
func TestConfigurationOutlivesTheLog(t *testing.T) {
	c := startCluster(t, 2)
	c.log.SetFaults(btlogstandin.Faults{Outage: true})
	seed := c.members[0].settings.Peer.Listen
	late := startMember(t, 2, loopback(t), seed, c.members[0].settings.Platform.Addresses[0])
	c.members = append(c.members, late)
	c.await(t, "three targets in force without the log", func(s *btoperator.Status) bool {
		return s.Offset == 2 && len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == 3
	})
	if status, _ := c.book(t, 2, "k"); status != 200 {
		t.Errorf("booking through the late node: status %d", status)
	}
}

// A repeat of a key gets the first answer through whichever node it comes.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	c := startCluster(t, 3)
	for i := range 9 {
		if status, _ := c.book(t, i%3, "k"); status != 200 {
			t.Errorf("repeat %d: status %d", i, status)
		}
	}
	if diff := cmp.Diff(1, c.runs("k")); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

// A key must not run again after the node that knew it has gone.
func TestRepeatedKeyRunsOnceAfterItsNodeHasGone(t *testing.T) {
	c := startCluster(t, 3)
	_, home := c.book(t, 0, "k")
	index := int(home[1] - '0')
	c.members[index].stop()
	left := append(c.members[:index:index], c.members[index+1:]...)
	remaining := &cluster{log: c.log, members: left}
	remaining.await(t, "two targets", func(s *btoperator.Status) bool { return s.Assignments[0].Shares[0].Targets == 2 })
	remaining.book(t, 0, "k")
	if diff := cmp.Diff(1, c.runs("k")); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}
