// Command standin3 plays the cases of the third review: it starts the project's nodes as processes of their own
// and stands in for the platform's store, the backend servers and the clients.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// Results of a case, the exit status.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases holds the cases by name.
var cases = map[string]func(w *World) int{}

// World is a small deployment.
type World struct {
	Trouble bool
	Record  *Record
	Store   *Store
	Nodes   []*Node
	Targets []*Target

	*Deployment
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(unable)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(unable)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(w *World) int, record string) int {
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", Record: NewRecord()}
	result := unable
	defer func() {
		for _, n := range w.Nodes {
			if n.process != nil {
				n.Kill()
			}
		}
		if os.Getenv("KEEP") == "" && w.Deployment != nil {
			_ = os.RemoveAll(w.Folder)
		}
	}()
	var err error
	if w.Store, err = StartStore("127.0.0.1"); err == nil {
		w.Deployment, err = NewDeployment(w.Store.Address)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	result = play(w)
	text := map[int]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[result]
	w.Record.Note("result: %s", text)
	if err := w.Record.Write(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	fmt.Println(text)
	if os.Getenv("KEEP") != "" {
		fmt.Println(w.Folder)
	}
	return result
}

// Place names a machine: the service of its backend server and its zone.
type Place struct{ Service, Zone string }

// Build starts a node and a target on each machine, and waits until all nodes are ready. The configuration must
// have been written before.
func (w *World) Build(places []Place, prepare func(*Target)) error {
	for _, p := range places {
		if err := w.Add(p, prepare); err != nil {
			return err
		}
	}
	if err := AwaitReady(w.Nodes, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// Add adds a machine with a node and a target.
func (w *World) Add(p Place, prepare func(*Target)) error {
	number := strconv.Itoa(len(w.Nodes) + 1)
	ip := "127.0.10." + number
	t := &Target{ID: "i-" + NewID()[:8], Service: p.Service, Version: "v1", Zone: p.Zone, Slots: 6, Work: 20 * time.Millisecond, Record: w.Record}
	if prepare != nil {
		prepare(t)
	}
	if err := t.Start(ip); err != nil {
		return err
	}
	n, err := w.NewNode("node-"+p.Zone+"-"+number, p.Zone, p.Service, ip, t.Address)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	w.Nodes, w.Targets = append(w.Nodes, n), append(w.Targets, t)
	go t.BeatUntil(n.Control)
	return nil
}

// Load sends requests from nodes at a steady rate until stop is closed.
func (w *World) Load(nodes []*Node, every time.Duration, stop chan struct{}, send func(n *Node)) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				group.Go(func() { send(nodes[i%len(nodes)]) })
			}
		}
	})
	return &group
}

// fail reports why a case could not run.
func (w *World) fail(format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	w.Record.Note("%s", text)
	fmt.Fprintln(os.Stderr, text)
	return unable
}
