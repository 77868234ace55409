package btbackend

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Server is one announced backend server.
type Server struct {
	Announcement Announcement
	Expires      time.Time
}

// Registry holds the leases of the backend servers beside a node. The zero
// value is empty. All methods are safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	servers map[string]Server
	changed chan struct{} // replaced with each change, nil before the first Changed
}

// Announce takes in an announcement. One of an older incarnation than the
// known one is ignored.
func (r *Registry) Announce(a Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.servers[a.Name]
	if known && a.Incarnation < old.Announcement.Incarnation {
		return false
	}
	if r.servers == nil {
		r.servers = make(map[string]Server)
	}
	if a.Gone {
		delete(r.servers, a.Name)
	} else {
		r.servers[a.Name] = Server{Announcement: a, Expires: now.Add(a.Lease)}
	}
	if !known || a.Gone || old.Announcement != a {
		r.signal()
	}
	return true
}

// Expire drops the servers whose lease has ended.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.servers {
		if now.After(s.Expires) {
			delete(r.servers, name)
			r.signal()
		}
	}
}

// Drop forgets a server whose node could not connect to it.
func (r *Registry) Drop(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.servers[name]; ok && s.Announcement.Incarnation == incarnation {
		delete(r.servers, name)
		r.signal()
	}
}

func (r *Registry) signal() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changed returns a channel that is closed with the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Servers returns the announced servers ordered by name.
func (r *Registry) Servers() []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := make([]Server, 0, len(r.servers))
	for _, s := range r.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b Server) int {
		return strings.Compare(a.Announcement.Name, b.Announcement.Name)
	})
	return servers
}

// Targets returns what the node announces of its backend servers.
func (r *Registry) Targets() []baobabtide.Target {
	servers := r.Servers()
	targets := make([]baobabtide.Target, 0, len(servers))
	for i := range servers {
		targets = append(targets, servers[i].Announcement.Target())
	}
	return targets
}
