package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline-leave"] = pipelineLeave }

// attempt is what was seen of one request.
type attempt struct {
	mu      sync.Mutex
	arrived time.Time // at a target, zero for never
	ended   time.Time // of its run
	lasts   time.Duration
	left    time.Time // when its client closed the connection, zero for never
}

// attempts holds what was seen of all requests, by ID.
type attempts struct{ sync.Map }

func (a *attempts) of(id string) *attempt {
	v, _ := a.LoadOrStore(id, &attempt{})
	return v.(*attempt) //nolint:forcetypeassert // nothing else is stored
}

// workTime draws the time that a request takes: a long-tailed distribution with a mean and a maximum.
func workTime(mean, spread, most float64) time.Duration {
	ms := mean * math.Exp(rand.NormFloat64()*spread-spread*spread/2)
	return time.Duration(min(ms, most) * float64(time.Millisecond))
}

// pipelineLeave: clients of one machine send further requests before the first has been answered, and some of them
// leave before their deadline. The targets must not get or go on with their requests half a second later.
func pipelineLeave(w *World) int {
	const (
		clients = 41  // on one machine: 164 in a zone of 4 machines
		depth   = 3   // requests on a connection before the first answer
		share   = 0.3 // of the clients leave
		leaveMS = 600 // at most, half the objective
		grace   = 500 * time.Millisecond
	)
	seen := &attempts{}
	w.Store.PutConfig(1, []string{"board", "desk"}, []Route{
		{Name: "look", Host: "look.example", PathPrefix: "/look/", Kind: "idempotent", TimeoutMS: 3000, AimMS: 1200, Priority: 2, Service: "board", MaxAttempts: 2},
	})
	places := []Place{{"board", "x"}, {"board", "x"}, {"board", "y"}, {"board", "y"}, {"board", "y"}, {"desk", "x"}}
	err := w.Build(places, func(t *Target) {
		t.Slots = 12
		t.Handler = func(rw http.ResponseWriter, r *http.Request, t *Target) bool {
			id := r.Header.Get("X-Baobabtide-Request-Id")
			a := seen.of(id)
			lasts := workTime(420, 0.8, 2500)
			a.mu.Lock()
			a.arrived, a.lasts = time.Now(), lasts
			a.mu.Unlock()
			w.Record.Ran(id, t, 0)
			select {
			case <-time.After(lasts):
			case <-r.Context().Done():
			}
			a.mu.Lock()
			a.ended = time.Now()
			a.mu.Unlock()
			if r.Context().Err() != nil {
				return true
			}
			rw.Header().Set("X-Baobabtide-Response-Signature", "sig-"+id)
			_, _ = io.WriteString(rw, "run "+id)
			return true
		}
	})
	if err != nil {
		return w.fail("start: %v", err)
	}
	node := w.Nodes[len(w.Nodes)-1]
	until := time.Now().Add(25 * time.Second)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for time.Now().Before(until) {
				leave := time.Duration(0)
				if w.Trouble && rand.Float64() < share {
					leave = time.Duration(rand.IntN(leaveMS)+1) * time.Millisecond
				}
				w.pipeline(node, seen, depth, leave)
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(4 * time.Second)
	return w.judgeGone(seen, grace)
}

// pipeline sends requests on one connection, reads the answers and closes it, after leave if that is not 0.
func (w *World) pipeline(node *Node, seen *attempts, depth int, leave time.Duration) {
	c, err := net.DialTimeout("tcp", node.Outbound, time.Second)
	if err != nil {
		w.Record.Note("no connection to %s: %v", node.Name, err)
		return
	}
	defer c.Close()
	ids := make([]string, depth)
	var text strings.Builder
	for i := range ids {
		ids[i] = NewID()
		fmt.Fprintf(&text, "GET /look/%s HTTP/1.1\r\nHost: look.example\r\nX-Baobabtide-Request-Id: %s\r\nX-Baobabtide-Deadline-Ms: 6000\r\n\r\n", ids[i], ids[i])
	}
	began := time.Now()
	for _, id := range ids {
		w.Record.add(Event{What: "sent", ID: id, Text: "to " + node.Name})
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return
	}
	until := began.Add(6500 * time.Millisecond)
	if leave > 0 {
		until = began.Add(leave)
	}
	_ = c.SetDeadline(until)
	reader := bufio.NewReader(c)
	for i, id := range ids {
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			_ = c.Close()
			for _, rest := range ids[i:] {
				a := seen.of(rest)
				a.mu.Lock()
				a.left = time.Now()
				a.mu.Unlock()
				w.Record.add(Event{What: "left", ID: rest, Text: err.Error()})
			}
			return
		}
		w.Record.add(Event{What: "answered", ID: id, Status: resp.StatusCode, Text: resp.Header.Get("Baobabtide-Reason")})
	}
}

// judgeGone applies the rule GONE: more than a few requests reach a target over half a second after the client has
// left, or targets are at work half a second later on more than a quarter of those that would have lasted so long.
func (w *World) judgeGone(seen *attempts, grace time.Duration) int {
	const few, leastLong = 10, 20
	left, late, long, atWork := 0, 0, 0, 0
	seen.Range(func(id, v any) bool {
		a := v.(*attempt) //nolint:forcetypeassert // nothing else is stored
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.left.IsZero() {
			return true
		}
		left++
		limit := a.left.Add(grace)
		switch {
		case a.arrived.IsZero():
		case a.arrived.After(limit):
			late++
			w.Record.Note("%s reached a target %.3f s after its client had left", id, a.arrived.Sub(a.left).Seconds())
		case a.arrived.Add(a.lasts).After(limit):
			long++
			if a.ended.IsZero() || a.ended.After(limit) {
				atWork++
			}
		}
		return true
	})
	w.Record.Note("%d requests of clients that left; %d reached a target over %s later; of %d that would have lasted so long, targets were at work on %d", left, late, grace, long, atWork)
	fmt.Printf("%d left, %d late, %d of %d at work\n", left, late, atWork, long)
	if late > few || (long >= leastLong && 4*atWork > long) {
		return broken
	}
	return held
}
