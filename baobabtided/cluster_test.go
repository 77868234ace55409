package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
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
	customer     = "c"
	service      = "s"
	testTimeout  = 20 * time.Second // longest wait for an expected event
	pollInterval = 20 * time.Millisecond
)

// member is a node of a cluster and the stand-in for the backend server beside it.
type member struct {
	settings *btsettings.Settings
	backend  *btbackendstandin.Server
	operator *btoperator.Client
	drain    func() // begins a planned stop of the node and waits until it has finished
}

// cluster is a number of nodes in one process, with stand-ins for the log and the
// backend servers.
type cluster struct {
	log     *btlogstandin.Log
	members []*member
}

// Ports on the loopback address of each node. They are below the ephemeral ports,
// which the kernel assigns to outgoing connections.
const (
	lockPort = 7000 + iota
	callerPort
	backendPort
	operatorPort
	peerPort
	serverPort
	metricsPort
	readyPort
)

// nextAddress counts the addresses that were tried, so that no two tests use the same
// one, which would let them connect to each other's nodes.
var nextAddress atomic.Uint32

// reserveLoopback returns a loopback address and reserves it until the test ends.
func reserveLoopback(t *testing.T) string {
	t.Helper()
	for range 1 << 16 {
		n := (uint32(os.Getpid()) + nextAddress.Add(1)) % (1 << 16)
		ip := fmt.Sprintf("127.251.%d.%d", n>>8, n&0xff)
		lock, err := net.Listen("tcp", hostPort(ip, lockPort))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return ip
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

// hostPort returns host:port.
func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startCluster starts nodes and publishes a contract of one customer and version v1
// of one service. It returns once every node knows the backend servers of all nodes.
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
	seed := ""
	for i := range count {
		ip := reserveLoopback(t)
		if i == 0 {
			seed = hostPort(ip, peerPort)
		}
		c.members = append(c.members, startMember(t, i, ip, seed, listener.Addr().String()))
	}
	c.publish(t, 0, baobabtide.Record{Contract: btfixture.Contract(customer, service)})
	c.publish(t, 0, baobabtide.Record{Release: &baobabtide.Release{Service: service, Version: "v1"}})
	c.waitFor(t, "targets of all nodes", func(s *btoperator.Status) bool {
		return len(s.Assignments) == 1 && s.Assignments[0].Shares[0].Targets == count
	})
	return c
}

// startMember starts a node in a zone of its own, with the stand-in for a backend
// server beside it. Both stop at the end of the test.
func startMember(t *testing.T, index int, ip, seed, log string) *member {
	t.Helper()
	s := btsettings.Default()
	s.Node = btsettings.Node{Name: fmt.Sprintf("n%d", index), Zone: fmt.Sprintf("z%d", index)}
	s.Caller.Listen, s.Caller.DefaultCustomer = hostPort(ip, callerPort), customer
	s.Backend.Listen, s.Operator.Listen = hostPort(ip, backendPort), hostPort(ip, operatorPort)
	s.Peer.Listen, s.Peer.Seeds = hostPort(ip, peerPort), []string{seed}
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
		Name: s.Node.Name + "-v1", Service: service, Version: "v1", Listen: hostPort(ip, serverPort),
		Announce: s.Backend.Listen, Slots: 5, Connections: 20, Work: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	m := &member{settings: s, backend: backend, operator: btoperator.NewClient(s.Operator.Listen, nil)}
	m.drain = func() {
		cancel()
		<-ended
	}
	t.Cleanup(func() {
		m.drain()
		stopBackend()
		free()
	})
	return m
}

// publish publishes a record through the node with an index and returns its audit
// entry. It retries until a call succeeds.
func (c *cluster) publish(t *testing.T, through int, r baobabtide.Record) baobabtide.AuditEntry {
	t.Helper()
	if r.ID == "" {
		r.ID = fmt.Sprintf("id-%x", rand.Uint64())
	}
	r.Actor = "operator"
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		result, err := c.members[through].operator.Publish(ctx, &r)
		if err == nil {
			return result.Entry
		}
		lastErr = err
		time.Sleep(pollInterval)
	}
	t.Fatalf("publish %s: %v", r.Kind(), lastErr)
	return baobabtide.AuditEntry{}
}

// waitFor waits until the status that each member returns satisfies a condition.
func (c *cluster) waitFor(t *testing.T, description string, done func(*btoperator.Status) bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, m := range c.members {
		for {
			status, err := m.operator.Status(context.Background())
			if err == nil && done(status) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: not reached at %s, %+v, %v", description, m.settings.Node.Name, status, err)
			}
			time.Sleep(pollInterval)
		}
	}
}

// postWithKey sends a POST request with an idempotency key to the node with an
// index. It returns the status and the name of the node beside the backend server that
// responded.
func (c *cluster) postWithKey(t *testing.T, through int, key string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.members[through].settings.Caller.Listen + "/" + service)
	req.Header.Set(btcaller.HeaderKey, key)
	if err := fasthttp.DoTimeout(req, resp, testTimeout); err != nil {
		t.Fatalf("post: %v", err)
	}
	return resp.StatusCode(), string(resp.Header.Peek(btcaller.HeaderNode))
}

// countRuns returns how often the requests with a key ran, on all backend servers.
func (c *cluster) countRuns(key string) int {
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
