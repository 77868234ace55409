package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["release-name"] = releaseName }

// releaseName: the targets of a service are replaced one after the other by targets of another version. The service
// must be served afterwards, whatever the version is called.
func releaseName(w *World) int {
	const drain, stable = 2 * time.Second, 3 * time.Second
	version := "2.1"
	if w.Trouble {
		version = "release/2.1"
	}
	routes := []Route{{Name: "first", Host: "mesh.example", PathPrefix: "/first/", Kind: "idempotent", TimeoutMS: 2000, AimMS: 600, Service: "archive", MaxAttempts: 2}}
	w.Store.PutConfig(1, []string{"archive", "dossier"}, routes)
	places := []Place{{"archive", "x"}, {"archive", "y"}, {"dossier", "x"}, {"dossier", "y"}}
	if err := w.Build(places, nil); err != nil {
		return w.fail("start: %v", err)
	}
	w.Store.PutConfig(4, []string{"archive", "dossier"}, append(routes, Route{
		Name: "later", Host: "mesh.example", PathPrefix: "/later/", Kind: "idempotent", TimeoutMS: 2000, AimMS: 600, Service: "dossier", MaxAttempts: 2,
	}))
	w.Record.Note("configuration 4 adds the route /later/")
	time.Sleep(2 * time.Second)
	first, later := w.measure(4 * time.Second)
	w.Record.Note("before the release: %s on the first route, %s on the later one", first, later)
	if later.served == 0 {
		return w.fail("the later route is not served before the release")
	}
	for i := 2; i < 4; i++ {
		if err := w.Add(places[i], func(t *Target) { t.Version = version }); err != nil {
			return w.fail("release: %v", err)
		}
		w.Record.Note("%s with %s of version %q is added", w.Nodes[i+2].Name, w.Targets[i+2].ID, version)
		time.Sleep(4 * time.Second)
		w.leave(w.Nodes[i], w.Targets[i], drain)
	}
	time.Sleep(stable + 2*time.Second)
	first, later = w.measure(8 * time.Second)
	w.Record.Note("after the release: %s on the first route, %s on the later one", first, later)
	fmt.Printf("first %s, later %s\n", first, later)
	for _, line := range w.Nodes[4].LogLines("heartbeat") {
		w.Record.Note("log of %s: %.300s", w.Nodes[4].Name, line)
		break
	}
	if first.sent < 20 || later.sent < 20 {
		return w.fail("too few requests")
	}
	if 4*later.served*first.sent < first.served*later.sent {
		return broken
	}
	return held
}

// leave lets a target leave as planned, and stops its machine afterwards.
func (w *World) leave(n *Node, t *Target, drain time.Duration) {
	t.SetState("draining")
	if !t.Beat(n.Control) {
		w.Record.Note("%s got no acknowledgement of its draining", t.ID)
	}
	time.Sleep(drain + 500*time.Millisecond)
	t.Deregister(n.Control)
	t.Stop()
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.Exited():
	case <-time.After(6 * time.Second):
		n.Kill()
	}
	w.Record.Note("%s has left with its machine", t.ID)
}

// share counts requests.
type share struct{ sent, served int }

func (s share) String() string { return fmt.Sprintf("%d of %d served", s.served, s.sent) }

// measure sends requests on both routes from the first two machines for a time.
func (w *World) measure(d time.Duration) (share, share) {
	var first, later share
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, r := range []struct {
			path  string
			count *share
		}{{"/first/1", &first}, {"/later/1", &later}} {
			status, _ := w.Record.Send(w.Nodes[r.count.sent%2], http.MethodGet, "mesh.example", r.path, nil, 2*time.Second)
			r.count.sent++
			if status == http.StatusOK {
				r.count.served++
			}
		}
	}
	return first, later
}
