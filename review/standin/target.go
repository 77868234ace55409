package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatPeriod = 1500 * time.Millisecond
	coldTime        = 3 * time.Second
	targetQueue     = 52
)

// run is one request that a target began to work on.
type run struct {
	at                  time.Time
	id, target, service string
	version, caller     string
	method, path        string
	bad                 bool
}

// target is a stand-in for an application target. Its fields are set before start.
type target struct {
	id, service, version, zone string
	address, control           string
	slots                      int
	work                       time.Duration
	badShare                   func(since time.Duration) float64 // share of failures, by the time since start; nil for none

	rec     *recorder
	born    time.Time
	slot    chan struct{}
	waiting atomic.Int64
	server  *http.Server

	mu       sync.Mutex
	state    string // as the heartbeats say
	sequence int
	silent   bool // sends no heartbeats
	runs     []run
}

// start listens and begins to send heartbeats until ctx ends.
func (t *target) start(ctx context.Context) error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.born, t.state = time.Now(), "ready"
	t.slot = make(chan struct{}, t.slots)
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			t.heartbeat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatPeriod):
			}
		}
	}()
	t.rec.event("target", t.id, t.service, t.version, "starts at", t.address)
	return nil
}

// stop ends the target at once.
func (t *target) stop() {
	t.setSilent()
	_ = t.server.Close()
	t.rec.event("target", t.id, "stops")
}

func (t *target) setSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
}

// beat is the body of a heartbeat.
type beat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMS   int64  `json:"coldRemainingMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// nextBeat returns the next heartbeat.
func (t *target) nextBeat() beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	cold := max(0, coldTime-time.Since(t.born))
	return beat{t.service, t.address, t.zone, t.version, t.slots, t.state, cold.Milliseconds(), t.sequence, t.born.UnixMilli()}
}

// heartbeat sends a heartbeat unless the target is silent.
func (t *target) heartbeat() bool {
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	return !silent && t.send("heartbeat", t.nextBeat())
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send calls the node beside the target and reports whether it acknowledged.
func (t *target) send(call string, body any) bool {
	data, _ := json.Marshal(body)
	resp, err := controlClient.Post("http://"+t.control+"/instances/"+t.id+"/"+call, "application/json", bytes.NewReader(data))
	if err != nil {
		t.rec.event(call, t.id, string(data), err)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	t.rec.event(call, t.id, string(data), resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// drain reports the target as draining until it is acknowledged, and returns the time of that.
func (t *target) drain() time.Time {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	for !t.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	return time.Now()
}

// deregister reports that the target leaves until it is acknowledged, and returns the time of that.
func (t *target) deregister() time.Time {
	t.setSilent()
	for !t.send("deregister", map[string]int64{"born": t.born.UnixMilli()}) {
		time.Sleep(200 * time.Millisecond)
	}
	return time.Now()
}

// all returns the runs so far.
func (t *target) all() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Baobabtide-Server-Load", fmt.Sprintf("%d,%d,%d", len(t.slot), t.waiting.Load(), t.slots))
	h.Set("Keep-Alive", "timeout=10")
	id := r.Header.Get("X-Baobabtide-Request-Id")
	if id != "" {
		h.Set("X-Baobabtide-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		h.Set("X-Baobabtide-Instance-Id", t.id)
		return
	}
	if expected := r.Header.Get("X-Baobabtide-Target-Instance"); expected != "" && expected != t.id {
		h.Set("X-Baobabtide-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.waiting.Add(1) > targetQueue {
		t.waiting.Add(-1)
		refuse(w)
		return
	}
	select {
	case t.slot <- struct{}{}:
		t.waiting.Add(-1)
	case <-r.Context().Done():
		t.waiting.Add(-1)
		refuse(w)
		return
	}
	defer func() { <-t.slot }()
	t.execute(w, r, id)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("X-Baobabtide-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// execute runs a request.
func (t *target) execute(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	now := time.Now()
	done := run{
		at: now, id: id, target: t.id, service: t.service, version: t.version,
		caller: r.Header.Get("X-Baobabtide-Caller-Service"), method: r.Method, path: r.RequestURI,
	}
	done.bad = t.badShare != nil && rand.Float64() < t.badShare(now.Sub(t.born))
	t.mu.Lock()
	t.runs = append(t.runs, done)
	t.mu.Unlock()
	t.rec.eventAt(now, "run", id, "at", t.id, t.service, t.version, "bad:", done.bad)
	work := t.work
	if now.Sub(t.born) < coldTime {
		work *= 2
	}
	select {
	case <-time.After(time.Duration(float64(work) * (0.75 + rand.Float64()/2))):
	case <-r.Context().Done():
	}
	w.Header().Set("X-Baobabtide-Response-Signature", t.id+"."+id)
	body := []byte("answer to " + id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if done.bad {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}
