package main

import (
	"net/http"
	"time"
)

func init() { cases["leave-kill"] = leaveKill }

// leaveKill: a server says that it leaves, the node beside it acknowledges that and is killed. The restarted
// node must send it nothing later than drainMs after the acknowledgement.
func leaveKill(w *World) int {
	const drain, stable = 2500 * time.Millisecond, 3 * time.Second
	w.LinkMegabits = 100
	w.Store.PutConfig(1, []string{"a", "b"}, []Route{
		{Name: "ra", Host: "a.example", PathPrefix: "/a/", Kind: "idempotent", TimeoutMS: 2000, AimMS: 600, Service: "a", MaxAttempts: 2},
	})
	places := []Place{{"a", "x"}, {"a", "x"}, {"a", "y"}, {"a", "y"}, {"b", "x"}, {"b", "y"}}
	if err := w.Build(places, nil); err != nil {
		return w.fail("start: %v", err)
	}
	stop := make(chan struct{})
	clients := w.Nodes[4:]
	load := w.Load(clients, 4*time.Millisecond, stop, func(n *Node) {
		w.Record.Send(n, http.MethodGet, "a.example", "/a/x", nil, 4*time.Second)
	})
	time.Sleep(5 * time.Second)
	node, leaver := w.Nodes[0], w.Targets[0]
	if !leaver.Deregister(node.Control) {
		return w.fail("the leaving was not acknowledged")
	}
	acknowledged := time.Now()
	if w.Trouble {
		node.Kill()
	}
	w.Record.Note("%s has acknowledged that %s leaves", node.Name, leaver.ID)
	started := time.Time{}
	if w.Trouble {
		time.Sleep(500 * time.Millisecond)
		if err := node.Start(); err != nil {
			return w.fail("restart: %v", err)
		}
		started = node.Started
		w.Record.Note("%s is started again", node.Name)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	load.Wait()
	late := 0
	last := time.Duration(0)
	for _, e := range w.Record.Events() {
		if e.What == "arrived" && e.Target == leaver {
			last = e.At.Sub(acknowledged)
		}
		if e.What == "arrived" && e.Target == leaver && e.At.Sub(acknowledged) > drain && e.At.Sub(started) > stable {
			late++
		}
	}
	w.Record.Note("the last request reached %s %.3f s after the acknowledgement; %d were late", leaver.ID, last.Seconds(), late)
	println("last", last.String(), "since start", acknowledged.Add(last).Sub(started).String(), "late", late)
	if late > 0 {
		return broken
	}
	return held
}
