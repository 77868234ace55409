package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Target is a stand-in for a backend server: it runs requests, and tells the node beside it that it lives.
type Target struct {
	ID, Service, Version, Zone, Address string

	Slots   int
	Work    time.Duration
	Handler func(w http.ResponseWriter, r *http.Request, t *Target) bool // may replace the answer
	Record  *Record

	born     int64
	sequence int
	mu       sync.Mutex
	state    string // ready or draining; empty if it says nothing
	running  atomic.Int32
	ended    atomic.Bool
	listener net.Listener
	server   *http.Server
}

// Start serves requests on a free port of an address.
func (t *Target) Start(ip string) error {
	return t.StartAt(fmt.Sprintf("%s:%d", ip, freePort(ip)))
}

// StartAt serves requests on an address.
func (t *Target) StartAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.listener, t.Address, t.born, t.state = l, l.Addr().String(), time.Now().UnixMilli(), "ready"
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

// Stop ends the target with its connections.
func (t *Target) Stop() {
	t.ended.Store(true)
	_ = t.server.Close()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Baobabtide-Instance-Id", t.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Baobabtide-Request-Id")
	if id != "" {
		w.Header().Set("X-Baobabtide-Request-Id", id)
	}
	if expected := r.Header.Get("X-Baobabtide-Target-Instance"); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.Record.Arrived(id, t)
	if int(t.running.Add(1)) > t.Slots {
		t.running.Add(-1)
		w.Header().Set("X-Baobabtide-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	if t.Handler != nil && t.Handler(w, r, t) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.Record.Ran(id, t, len(body))
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Baobabtide-Response-Signature", "sig-"+id)
	text := "run " + id + " at " + t.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// Beat sends a heartbeat to a node and reports whether it was acknowledged.
func (t *Target) Beat(control string) bool {
	t.mu.Lock()
	state := t.state
	t.sequence++
	sequence := t.sequence
	t.mu.Unlock()
	return call(control, "/instances/"+t.ID+"/heartbeat", map[string]any{
		"service": t.Service, "address": t.Address, "zone": t.Zone, "version": t.Version, "slots": t.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": sequence, "born": t.born,
	}) == http.StatusOK
}

// BeatUntil sends heartbeats until the target says no more.
func (t *Target) BeatUntil(control string) {
	for !t.ended.Load() {
		t.mu.Lock()
		silent := t.state == ""
		t.mu.Unlock()
		if silent {
			return
		}
		t.Beat(control)
		time.Sleep(1500 * time.Millisecond)
	}
}

// SetState sets what the target says of itself, empty for nothing more.
func (t *Target) SetState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// Deregister tells a node that the target leaves, and reports whether that was acknowledged.
func (t *Target) Deregister(control string) bool {
	t.SetState("")
	return call(control, "/instances/"+t.ID+"/deregister", map[string]any{"born": t.born}) == http.StatusOK
}
