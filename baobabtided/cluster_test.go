package main

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btcaller"
	"github.com/baobabtide/baobabtide/btfixture"
	"github.com/baobabtide/baobabtide/btnode"
	"github.com/baobabtide/baobabtide/btoperator"
	"github.com/baobabtide/baobabtide/btsettings"
)

const (
	customer    = "c"
	service     = "s"
	patience    = 20 * time.Second
	checkPeriod = 20 * time.Millisecond
)

// member is one node of a cluster with the backend server beside it.
type member struct {
	settings *btsettings.Settings
	backend  *btbackendstandin.Server
	operator *btoperator.Client
	stop     func() // ends the node in a planned way and waits for it
}

// cluster is a few nodes in one process, with stand-ins.
type cluster struct {
	log     *btlogstandin.Log
	members []*member
}

func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startCluster starts nodes that all know the contract of one customer and
// version v1 of one service.
func startCluster(t *testing.T, count int) *cluster {
	t.Helper()
	c := &cluster{log: btlogstandin.New(10_000, 400)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, stopLog := btlogstandin.NewServer(c.log)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(stopLog)
	seed := address(t)
	for i := range count {
		peer := seed
		if i > 0 {
			peer = address(t)
		}
		c.members = append(c.members, startMember(t, i, peer, seed, listener.Addr().String()))
	}
	c.publish(t, 0, baobabtide.Record{Contract: btfixture.Contract(customer, service)})
	c.publish(t, 0, baobabtide.Record{Release: &baobabtide.Release{Service: service, Version: "v1"}})
	c.await(t, "targets of all nodes", func(s *btoperator.Status) bool {
		return len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == count
	})
	return c
}

func startMember(t *testing.T, index int, peer, seed, log string) *member {
	t.Helper()
	s := btsettings.Default()
	s.Node = btsettings.Node{Name: fmt.Sprintf("n%d", index), Zone: fmt.Sprintf("z%d", index)}
	s.Caller.Listen, s.Caller.DefaultCustomer = address(t), customer
	s.Backend.Listen, s.Operator.Listen = address(t), address(t)
	s.Peer.Listen, s.Peer.Seeds = peer, []string{seed}
	s.Platform.Addresses = []string{log}
	s.TLS.Plaintext = true
	node, free, err := btnode.New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := node.Run(ctx); err != nil {
			t.Errorf("node n%d: %v", index, err)
		}
	}()
	backend, stopBackend, err := btbackendstandin.Start(btbackendstandin.Spec{
		Name: s.Node.Name + "-v1", Service: service, Version: "v1", Listen: address(t),
		Announce: s.Backend.Listen, Slots: 5, Connections: 20, Work: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	m := &member{settings: s, backend: backend, operator: btoperator.NewClient(s.Operator.Listen, nil)}
	m.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(func() {
		m.stop()
		stopBackend()
		free()
	})
	return m
}

// publish publishes a record through one node.
func (c *cluster) publish(t *testing.T, through int, r baobabtide.Record) baobabtide.AuditEntry {
	t.Helper()
	if r.ID == "" {
		r.ID = fmt.Sprintf("id-%d", time.Now().UnixNano())
	}
	r.Actor = "operator"
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		result, err := c.members[through].operator.Publish(ctx, &r)
		if err == nil {
			return result.Entry
		}
		last = err
		time.Sleep(checkPeriod)
	}
	t.Fatalf("publish %s: %v", r.Kind(), last)
	return baobabtide.AuditEntry{}
}

// await waits until all members' own view satisfies a condition.
func (c *cluster) await(t *testing.T, what string, done func(*btoperator.Status) bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for _, m := range c.members {
		for {
			status, err := m.operator.Status(context.Background())
			if err == nil && done(status) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: not reached at %s, %+v, %v", what, m.settings.Node.Name, status, err)
			}
			time.Sleep(checkPeriod)
		}
	}
}

// book sends a booking with a key to one node. It returns the status and the
// name of the node that answered.
func (c *cluster) book(t *testing.T, through int, key string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.members[through].settings.Caller.Listen + "/" + service)
	req.Header.Set(btcaller.HeaderKey, key)
	if err := fasthttp.DoTimeout(req, resp, patience); err != nil {
		t.Fatalf("book: %v", err)
	}
	return resp.StatusCode(), string(resp.Header.Peek(btcaller.HeaderNode))
}

// runs counts the executions of a key on all backend servers.
func (c *cluster) runs(key string) int {
	count := 0
	for _, m := range c.members {
		for _, run := range m.backend.Report().Runs {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}
