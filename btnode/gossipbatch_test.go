package btnode

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btrollout"
)

// TestOnlyRecordsWait guards against messages that are delayed although a node waits for them, such
// as pulls, trips and heartbeats with a new configuration, also if a field is added to Gossip.
func TestOnlyRecordsWait(t *testing.T) {
	records := map[string]bool{"Members": true, "Statuses": true, "Reports": true}
	if canWait(&btpeer.Gossip{}) {
		t.Error("an empty message may wait")
	}
	for i := range reflect.TypeFor[btpeer.Gossip]().NumField() {
		m := btpeer.Gossip{Members: []baobabtide.Member{{Name: "a"}}}
		field := reflect.ValueOf(&m).Elem().Field(i)
		if field.Kind() == reflect.Pointer {
			field.Set(reflect.New(field.Type().Elem()))
		} else {
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		}
		name := reflect.TypeFor[btpeer.Gossip]().Field(i).Name
		if got := canWait(&m); got != records[name] {
			t.Errorf("a message with %s may wait: %t", name, got)
		}
	}
}

// TestBatchKeepsLatestRecords guards against batches that lose a record, or that carry each of the
// records that a member sent while the batch waited.
func TestBatchKeepsLatestRecords(t *testing.T) {
	member := func(name string, sequence uint64) baobabtide.Member {
		return baobabtide.Member{Name: name, Sequence: sequence}
	}
	report := func(node string, offset baobabtide.Offset, requests int) btrollout.Report {
		return btrollout.Report{Rollout: btrollout.ID{Offset: offset}, Node: node, Routes: []baobabtide.RouteEvidence{{New: baobabtide.Counts{Requests: requests}}}}
	}
	status := func(name string) btmember.StatusUpdate { return btmember.StatusUpdate{Name: name} }
	var b gossipBatch
	for _, m := range []btpeer.Gossip{
		{Members: []baobabtide.Member{member("a", 1), member("b", 1)}},
		{Statuses: []btmember.StatusUpdate{status("c")}, Reports: []btrollout.Report{report("a", 1, 5)}},
		{Members: []baobabtide.Member{member("a", 2)}, Reports: []btrollout.Report{report("a", 1, 7), report("a", 2, 1), report("b", 1, 1)}},
		{Statuses: []btmember.StatusUpdate{status("d")}},
	} {
		b.add(&m)
	}
	want := &btpeer.Gossip{
		Members:  []baobabtide.Member{member("a", 2), member("b", 1)},
		Statuses: []btmember.StatusUpdate{status("c"), status("d")},
		Reports:  []btrollout.Report{report("a", 1, 7), report("a", 2, 1), report("b", 1, 1)},
	}
	if diff := cmp.Diff(want, b.take()); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff((*btpeer.Gossip)(nil), b.take()); diff != "" {
		t.Errorf("batch after it was taken (-want +got):\n%s", diff)
	}
}

// TestBatchDropsWhatTheOtherEndHas guards against records that cross an edge in both directions:
// reports on a rollout took 12 MB a second between the zones of 83 nodes.
func TestBatchDropsWhatTheOtherEndHas(t *testing.T) {
	report := func(requests int) btrollout.Report {
		return btrollout.Report{Node: "a", Routes: []baobabtide.RouteEvidence{{New: baobabtide.Counts{Requests: requests}}}}
	}
	var b gossipBatch
	b.add(&btpeer.Gossip{
		Members:  []baobabtide.Member{{Name: "old", Sequence: 1}, {Name: "new", Sequence: 3}, {Name: "accused", Sequence: 1, Status: baobabtide.Suspect}},
		Statuses: []btmember.StatusUpdate{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}},
		Reports:  []btrollout.Report{report(5)},
	})
	b.drop(&btpeer.Gossip{
		Members:  []baobabtide.Member{{Name: "old", Sequence: 2}, {Name: "new", Sequence: 2}, {Name: "accused", Sequence: 1}},
		Statuses: []btmember.StatusUpdate{{Name: "a", Incarnation: 1}},
		Reports:  []btrollout.Report{report(4)},
	})
	want := &btpeer.Gossip{
		Members:  []baobabtide.Member{{Name: "new", Sequence: 3}, {Name: "accused", Sequence: 1, Status: baobabtide.Suspect}},
		Statuses: []btmember.StatusUpdate{{Name: "b", Incarnation: 1}},
		Reports:  []btrollout.Report{report(5)},
	}
	b.drop(&btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{}})
	if diff := cmp.Diff(want.Members, b.message.Members); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, b.take()); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
	b.add(&btpeer.Gossip{Reports: []btrollout.Report{report(5)}})
	b.drop(&btpeer.Gossip{Reports: []btrollout.Report{report(5)}})
	if diff := cmp.Diff((*btpeer.Gossip)(nil), b.take()); diff != "" {
		t.Errorf("batch whose only record the other end has (-want +got):\n%s", diff)
	}
}

// TestSendKeepsOrder guards against a heartbeat or a trip that overtakes the records before it, and
// against records that stay in the batch.
func TestSendKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &edge{queue: make(chan *btpeer.Gossip, 4), batches: true, cancel: func(error) {}}
		member := func(name string) *btpeer.Gossip { return &btpeer.Gossip{Members: []baobabtide.Member{{Name: name}}} }
		e.send(member("a"))
		e.send(member("b"))
		e.send(&btpeer.Gossip{Heartbeat: &btpeer.Heartbeat{}})
		e.send(member("c"))
		if len(e.queue) != 2 {
			t.Fatalf("%d messages queued, want the batch and the heartbeat", len(e.queue))
		}
		if diff := cmp.Diff([]baobabtide.Member{{Name: "a"}, {Name: "b"}}, (<-e.queue).Members); diff != "" {
			t.Errorf("first batch (-want +got):\n%s", diff)
		}
		<-e.queue
		time.Sleep(batchDelay)
		synctest.Wait()
		if diff := cmp.Diff(member("c"), <-e.queue); diff != "" {
			t.Errorf("second batch (-want +got):\n%s", diff)
		}
	})
}
