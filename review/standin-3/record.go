package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Event is something that a client or a server has seen.
type Event struct {
	At   time.Time
	What string // sent, arrived, run, answered, note
	ID   string
	Text string

	Target *Target
	Status int
}

// Record holds what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	began  time.Time
	events []Event
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{began: time.Now()} }

func (r *Record) add(e Event) {
	e.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Arrived records that a request has reached a target.
func (r *Record) Arrived(id string, t *Target) {
	r.add(Event{What: "arrived", ID: id, Target: t, Text: t.ID})
}

// Ran records that a target began to work on a request.
func (r *Record) Ran(id string, t *Target, body int) {
	r.add(Event{What: "run", ID: id, Target: t, Text: fmt.Sprintf("%s, body of %d bytes", t.ID, body)})
}

// Note records anything else.
func (r *Record) Note(format string, args ...any) {
	r.add(Event{What: "note", Text: fmt.Sprintf(format, args...)})
}

// Events returns the events so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	events := r.Events()
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	for _, e := range events {
		status := ""
		if e.Status != 0 {
			status = " " + strconv.Itoa(e.Status)
		}
		fmt.Fprintf(f, "%9.4f %-8s %s%s %s\n", e.At.Sub(r.began).Seconds(), e.What, e.ID, status, e.Text)
	}
	return nil
}

// NewID returns an ID for a request.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Send sends a request over a new connection, as a client beside a node, and records the answer.
func (r *Record) Send(node *Node, method, host, path string, body io.Reader, deadline time.Duration) (int, string) {
	id := NewID()
	req, err := http.NewRequest(method, "http://"+node.Outbound+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Baobabtide-Request-Id", id)
	req.Header.Set("X-Baobabtide-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	client := http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r.add(Event{What: "sent", ID: id, Text: method + " " + path + " to " + node.Name})
	resp, err := client.Do(req)
	if err != nil {
		r.add(Event{What: "answered", ID: id, Text: "no answer: " + err.Error()})
		return 0, id
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	text := string(data)
	if err != nil {
		text += " (incomplete: " + err.Error() + ")"
	}
	r.add(Event{What: "answered", ID: id, Status: resp.StatusCode, Text: text + " " + resp.Header.Get("Baobabtide-Reason")})
	return resp.StatusCode, id
}
