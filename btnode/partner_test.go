package btnode

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btpeer"
	"github.com/baobabtide/baobabtide/btroute"
)

// slowPartner is a node that handles calls only after release is closed.
type slowPartner struct {
	btpeer.Node
	release chan struct{}
}

func (p slowPartner) ReserveKey(key baobabtide.KeyRecord) baobabtide.KeyRecord {
	<-p.release
	return key
}

func (p slowPartner) ResolveKey(baobabtide.KeyRecord) { <-p.release }

func (p slowPartner) Drain(string) int {
	<-p.release
	return 0
}

func (p slowPartner) Info() btpeer.Info {
	<-p.release
	return btpeer.Info{}
}

// nodeWithPartner returns a node whose partner of every key is a slowPartner, a function
// that stops the node, and the partner's release.
func nodeWithPartner(t *testing.T) (*Node, func(), chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	partner := slowPartner{release: make(chan struct{})}
	server, stopServer := btpeer.NewServer(partner, nil, &btpeer.ByteCounter{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(stopServer)
	n, stop := servingNode(t, btfixture.NewListener(), btfixture.NewListener())
	members := btfixture.Members(1, 1, 1, "v1")
	members[0].PeerAddress = listener.Addr().String()
	state := &btconfig.State{
		Offset:      1,
		Contracts:   map[string]btconfig.ContractState{"c": {Contract: *btfixture.Contract("c", "service-0")}},
		Assignments: map[string]baobabtide.Assignment{"c/service-0": {Customer: "c", Service: "service-0", Current: "v1"}},
	}
	n.routes.Store(btroute.Build(state, members, btroute.Locality{Node: "n", Zone: "zone-0"}, nil))
	return n, stop, partner.release
}

func keyedRequest() *baobabtide.Request {
	return &baobabtide.Request{Customer: "c", Service: "service-0", Key: "k", Deadline: time.Now().Add(time.Minute)}
}

// A request with a key is not refused because the link to the partner is full: it was
// when the partner did not answer within 500 ms.
func TestReserveAtSlowPartner(t *testing.T) {
	n, stop, release := nodeWithPartner(t)
	defer stop()
	time.AfterFunc(700*time.Millisecond, func() { close(release) })
	key := baobabtide.KeyRecord{Key: "k", Attempt: "a"}
	got, err := keyPartner{n}.Reserve(context.Background(), keyedRequest(), key)
	if diff := cmp.Diff(key, got); diff != "" || err != nil {
		t.Errorf("error %v, record (-want +got):\n%s", err, diff)
	}
}

// A partner that is slow to store results doesn't keep the node from handling gossip.
func TestSlowPartnerDoesNotBlockGossip(t *testing.T) {
	n, stop, release := nodeWithPartner(t)
	defer stop()
	defer close(release)
	handled := make(chan struct{})
	go func() {
		for range 2 * workerCount {
			keyPartner{n}.Resolve(keyedRequest(), baobabtide.KeyRecord{Key: "k", Attempt: "a"})
		}
		n.submit(func() { close(handled) })
	}()
	select {
	case <-handled:
	case <-time.After(time.Second):
		t.Error("a message was not handled within 1 s")
	}
}

// A node that stops doesn't exit before the partner has stored the results.
func TestStopWaitsForPartner(t *testing.T) {
	n, stop, release := nodeWithPartner(t)
	keyPartner{n}.Resolve(keyedRequest(), baobabtide.KeyRecord{Key: "k", Attempt: "a"})
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	select {
	case <-n.drained:
		t.Error("the node was drained before the partner had stored the result")
	case <-time.After(defaultNotice + 500*time.Millisecond):
	}
	close(release)
	<-stopped
}

// Nodes that are slow to report their status don't keep a node from handling gossip.
func TestSlowStatusDoesNotBlockGossip(t *testing.T) {
	n, stop, release := nodeWithPartner(t)
	defer stop()
	defer close(release)
	members := btfixture.Members(2*workerCount, 1, 1, "v1")
	for i := range members {
		members[i].PeerAddress = keyPartner{n}.address(keyedRequest())
	}
	n.members.table.Merge(btmember.Delta{Members: members}, time.Now())
	go n.nodeStatuses(context.Background())
	time.Sleep(100 * time.Millisecond) // until all calls wait; too short a wait can only hide the fault
	handled := make(chan struct{})
	go n.submit(func() { close(handled) })
	select {
	case <-handled:
	case <-time.After(time.Second):
		t.Error("a message was not handled within 1 s")
	}
}

// An operator's drain of a node that doesn't answer may have begun; one of a node that
// refuses the connection has not.
func TestDrainOfSilentNode(t *testing.T) {
	n, stop, release := nodeWithPartner(t)
	defer stop()
	defer close(release)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	members := btfixture.Members(2, 1, 1, "v1")
	members[0].PeerAddress = keyPartner{n}.address(keyedRequest())
	members[1].PeerAddress = closed.Addr().String()
	n.members.table.Merge(btmember.Delta{Members: members}, time.Now())
	for i, want := range []btoperator.ErrorCode{btoperator.CodeUncertain, btoperator.CodeUnavailable} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := operators{n}.Drain(ctx, &btoperator.DrainRequest{Node: members[i].Name})
		cancel()
		var got *btoperator.Error
		if !errors.As(err, &got) {
			t.Fatalf("error %v", err)
		}
		if diff := cmp.Diff(want, got.Code); diff != "" {
			t.Errorf("%s: code (-want +got):\n%s", members[i].Name, diff)
		}
	}
}
