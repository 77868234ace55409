package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	Target, ID, Path, Caller, Tenant string
	Start                            time.Time
	BodyBytes                        int
	Expected                         string
}

// target is a stand-in for an application target beside a node.
type target struct {
	id, service, version, address, control, zone string
	slots                                        int
	work                                         func(r *http.Request) time.Duration
	fails                                        func() bool // whether a run fails, nil for never
	book                                         *record

	born     time.Time
	server   *http.Server
	mu       sync.Mutex
	state    string
	sequence int
	running  int
	stopped  chan struct{}
}

func (t *target) start() error {
	t.born, t.state, t.stopped = time.Now(), "ready", make(chan struct{})
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

// signature is what the target signs an answer with.
func (t *target) signature(id string) string { return "sig-" + t.id + "-" + id }

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Baobabtide-Request-Id")
	t.mu.Lock()
	load, state := t.running, t.state
	t.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Baobabtide-Instance-Id", t.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		w.Header().Set("X-Baobabtide-Request-Id", id)
	}
	w.Header().Set("X-Baobabtide-Server-Load", fmt.Sprintf("%d,0,%d", load, t.slots))
	expected := r.Header.Get("X-Baobabtide-Target-Instance")
	switch {
	case expected != "" && expected != t.id:
		w.Header().Set("X-Baobabtide-Instance-Id", t.id)
		w.Header().Set("X-Baobabtide-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Baobabtide-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case load >= t.slots:
		w.Header().Set("X-Baobabtide-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	entry := run{Target: t.id, ID: id, Path: r.URL.RequestURI(), Caller: r.Header.Get("X-Baobabtide-Caller-Service"), Start: time.Now(), BodyBytes: len(body), Expected: expected}
	t.book.addRun(entry)
	deadline := 24 * time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Baobabtide-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	work := t.work(r)
	select {
	case <-time.After(min(work, deadline)):
	case <-r.Context().Done(): // most targets drop a request when its connection closes
		t.book.printf("run of %s at %s dropped after %d ms: its connection was closed", id, t.id, time.Since(entry.Start).Milliseconds())
		return
	}
	w.Header().Set("X-Baobabtide-Response-Signature", t.signature(id))
	w.Header().Set("Content-Type", "text/plain")
	if work > deadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if t.fails != nil && t.fails() {
		t.book.addBad(t.id)
		t.book.printf("run of %s at %s failed, 500", id, t.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	t.book.printf("run of %s at %s ended whole after %d ms", id, t.id, time.Since(entry.Start).Milliseconds())
	_, _ = io.WriteString(w, "done "+id)
}

type beat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"coldRemainingMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// nextBeat returns the body of the next heartbeat.
func (t *target) nextBeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	data, _ := json.Marshal(beat{t.service, t.address, t.zone, t.version, t.slots, t.state, 0, t.sequence, t.born.UnixMilli()})
	return data
}

// post sends a message to the node beside the target and reports whether it was acknowledged.
func (t *target) post(call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.control+"/instances/"+t.id+"/"+call, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beats sends a heartbeat every 1.5 s until the target is stopped, sooner after one that failed.
func (t *target) beats() {
	for {
		pause := 1500 * time.Millisecond
		if !t.post("heartbeat", t.nextBeat()) {
			pause = 300 * time.Millisecond
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// setState sets the state that the next heartbeats tell.
func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// stopBeats ends the heartbeats.
func (t *target) stopBeats() { close(t.stopped) }

// end ends the target as its process's end does.
func (t *target) end() {
	t.book.printf("%s ends", t.id)
	t.stopBeats()
	_ = t.server.Close()
}
