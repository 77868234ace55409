package btbackend

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	youngAge      = 5 * time.Second         // age of a server at the start of a node up to which its departure can't have been acknowledged before
	confirmPause  = 700 * time.Millisecond  // least time from the first announcement to the one that confirms a server; late ones may arrive together
	confirmWindow = 3500 * time.Millisecond // in which a restored server stays ready until it is confirmed, for two announcements, about 1.5 s apart
	startWindow   = 3 * time.Second         // after the start of a node in which one announcement is enough, as it may know no server yet
)

// Server is an announced backend server.
type Server struct {
	Announcement Announcement
	Expires      time.Time // end of the lease
	ColdUntil    time.Time // end of the time in which the server is cold

	// Unconfirmed is the arrival of the first announcement of a server that may have departed before
	// the registry began, zero once another one has confirmed the server.
	Unconfirmed time.Time
	readyUntil  time.Time // until then an unconfirmed server may be ready, afterwards it is starting
	restored    bool      // not announced to this registry yet
	wasDraining bool      // an earlier process knew it as draining, and it is until it is confirmed
}

// Registry holds the backend servers beside a node with their leases. The zero
// value is empty. All methods are safe for concurrent use.
type Registry struct {
	// Began is the start of the node's process. An earlier process may have acknowledged the departure of a
	// server that started before, so a single announcement, which may be a late one, makes it ready only
	// during the start of the node. Zero if there was no earlier process.
	Began time.Time

	mu       sync.Mutex
	servers  map[string]Server    // by name
	departed map[string]departure // by name, servers that were draining or gone when they were removed
	leaving  map[string]uint64    // by name, incarnation of the server that said in a response that it is about to stop
	changed  chan struct{}        // closed with the next change, nil if nobody waits
}

// departure is the latest incarnation of a server that was draining or gone when
// it was removed. Late announcements of this or an earlier incarnation don't add
// the server again.
type departure struct {
	incarnation uint64
	expires     time.Time // the departure is forgotten after this time
}

// Announce records an announcement, whose lease begins at now. It returns false for one
// that is outdated: of an older incarnation, an earlier sequence or a departed
// incarnation of the server, or of a server whose address a later incarnation has
// taken over. An announcement that the server is gone removes the server.
func (r *Registry) Announce(a Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.superseded(&a) {
		if departing := a.Gone || a.State == baobabtide.TargetDraining; departing && r.servers[a.Name].Announcement.Incarnation < a.Incarnation {
			r.recordDeparture(a.Name, a.Incarnation, now) // the successor at its address may be removed first
		}
		return false
	}
	if r.servers == nil {
		r.servers = make(map[string]Server)
	}
	old, known := r.servers[a.Name]
	if a.Gone {
		r.deregister(a.Name, a.Incarnation, now)
		return true
	}
	r.removePredecessors(&a, now)
	if !known && len(r.servers) >= baobabtide.MaxTargets {
		return false // peers would refuse this node's whole record
	}
	former := old
	if known && old.Announcement.Incarnation != a.Incarnation {
		r.remove(a.Name, now)
		former = Server{}
	}
	if leaving, ok := r.leaving[a.Name]; ok && leaving == a.Incarnation {
		a.State = baobabtide.TargetDraining
	}
	r.servers[a.Name] = r.record(&a, &former, now)
	if !known || !sameContent(&old.Announcement, &a) {
		r.notifyChanged()
	}
	return true
}

// record returns the server that an announcement describes, given what is known of its incarnation, the
// zero value for nothing. If the server is not confirmed, it sets the announcement's state to draining or
// starting.
func (r *Registry) record(a *Announcement, known *Server, now time.Time) Server {
	s := Server{Expires: now.Add(a.Lease), ColdUntil: now.Add(a.Cold), Unconfirmed: r.unconfirmed(a, known, now)}
	if !s.Unconfirmed.IsZero() {
		s.wasDraining = known.leftBefore()
		switch {
		case s.wasDraining: // ready only once it is confirmed
			a.State = baobabtide.TargetDraining
		case known.restored:
			s.readyUntil = now.Add(confirmWindow)
		case known.Announcement.Name == "":
			s.readyUntil = r.Began.Add(startWindow)
		default:
			s.readyUntil = known.readyUntil
		}
		if a.State == baobabtide.TargetReady && !now.Before(s.readyUntil) {
			a.State = baobabtide.TargetStarting
		}
	}
	s.Announcement = *a
	return s
}

// unconfirmed returns Server.Unconfirmed after an announcement.
func (r *Registry) unconfirmed(a *Announcement, known *Server, now time.Time) time.Time {
	isFirst := known.Announcement.Name == "" || known.restored
	switch {
	case !known.leftBefore() && !r.mayHaveDeparted(a):
		return time.Time{}
	case isFirst:
		return now
	case (a.Sequence > known.Announcement.Sequence || a.Sequence == 0) && now.Sub(known.Unconfirmed) >= confirmPause:
		return time.Time{}
	default:
		return known.Unconfirmed
	}
}

// leftBefore reports whether an earlier process of the node knew the server as draining, and no later
// announcement has confirmed it.
func (s *Server) leftBefore() bool {
	return s.wasDraining || (s.restored && s.Announcement.State == baobabtide.TargetDraining)
}

// mayHaveDeparted reports whether an earlier process of the node may have acknowledged the departure of
// the server that sent an announcement. A server without sequences can't be told from one that is new.
func (r *Registry) mayHaveDeparted(a *Announcement) bool {
	return !r.Began.IsZero() && a.Sequence > 1 && a.Incarnation < uint64(r.Began.Add(-youngAge).UnixMilli())
}

// MarkLeaving records that an incarnation of a server has said in a response that it is about
// to stop. It counts as draining from then on, whatever it announces.
func (r *Registry) MarkLeaving(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[name]
	if !ok || s.Announcement.Incarnation != incarnation {
		return
	}
	if r.leaving == nil {
		r.leaving = make(map[string]uint64)
	}
	r.leaving[name] = incarnation
	if s.Announcement.State != baobabtide.TargetDraining {
		s.Announcement.State = baobabtide.TargetDraining
		r.servers[name] = s
		r.notifyChanged()
	}
}

// Restore records an announcement that an earlier process of the node received. It
// returns false, without any effect, if the registry is not empty.
func (r *Registry) Restore(a Announcement, now time.Time) bool {
	r.mu.Lock()
	known := len(r.servers) > 0 || len(r.departed) > 0
	r.mu.Unlock()
	if known || !r.Announce(a, now) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.servers[a.Name]; ok {
		s.restored = true
		r.servers[a.Name] = s
	}
	return true
}

// superseded reports whether an announcement is outdated, see Announce.
func (r *Registry) superseded(a *Announcement) bool {
	if old, ok := r.servers[a.Name]; ok && !a.Gone {
		if a.Incarnation < old.Announcement.Incarnation {
			return true
		}
		if a.Incarnation == old.Announcement.Incarnation && a.Sequence < old.Announcement.Sequence {
			return true
		}
	}
	if gone, ok := r.departed[a.Name]; ok && a.Incarnation <= gone.incarnation {
		return !a.Gone
	}
	for name, other := range r.servers {
		if name != a.Name && other.Announcement.Address == a.Address && a.Incarnation < other.Announcement.Incarnation {
			return true
		}
	}
	return false
}

// removePredecessors removes the other servers with the address of an announcement.
func (r *Registry) removePredecessors(a *Announcement, now time.Time) {
	for name, other := range r.servers {
		if name != a.Name && other.Announcement.Address == a.Address {
			r.remove(name, now)
		}
	}
}

// remove removes a server. It records the departure of one that was draining.
func (r *Registry) remove(name string, now time.Time) {
	a := r.servers[name].Announcement
	delete(r.servers, name)
	delete(r.leaving, name)
	if a.State == baobabtide.TargetDraining {
		r.recordDeparture(name, a.Incarnation, now)
	}
	r.notifyChanged()
}

// recordDeparture remembers for maxLease that an incarnation of a server has
// departed.
func (r *Registry) recordDeparture(name string, incarnation uint64, now time.Time) {
	if r.departed == nil {
		r.departed = make(map[string]departure)
	}
	r.departed[name] = departure{incarnation: max(incarnation, r.departed[name].incarnation), expires: now.Add(maxLease)}
}

// Departures returns the servers that have departed lately, ordered by name, the newest ones if
// there are more than baobabtide.MaxDepartures.
func (r *Registry) Departures() []baobabtide.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	departures := make([]baobabtide.Departure, 0, len(r.departed))
	for name, gone := range r.departed {
		departures = append(departures, baobabtide.Departure{Name: name, Incarnation: gone.incarnation})
	}
	slices.SortFunc(departures, func(a, b baobabtide.Departure) int {
		return r.departed[b.Name].expires.Compare(r.departed[a.Name].expires)
	})
	departures = departures[:min(len(departures), baobabtide.MaxDepartures)]
	slices.SortFunc(departures, func(a, b baobabtide.Departure) int { return strings.Compare(a.Name, b.Name) })
	return departures
}

// RestoreDepartures records departures that an earlier process of the node acknowledged, and
// removes the servers that late announcements have brought back.
func (r *Registry) RestoreDepartures(departures []baobabtide.Departure, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range departures {
		r.deregister(d.Name, d.Incarnation, now)
	}
}

// deregister records the departure of an incarnation and removes the server, unless
// a later incarnation of it has announced itself.
func (r *Registry) deregister(name string, incarnation uint64, now time.Time) {
	if old, known := r.servers[name]; known && old.Announcement.Incarnation <= incarnation {
		r.remove(name, now)
	}
	before, known := r.departed[name]
	r.recordDeparture(name, incarnation, now)
	if !known || before.incarnation < incarnation {
		r.notifyChanged() // the neighbors keep departures for the node's next process
	}
}

// sameContent reports whether two announcements are equal apart from their sequence and name
// no cold time, whose end each one moves.
func sameContent(a, b *Announcement) bool {
	first, second := *a, *b
	first.Sequence, second.Sequence = 0, 0
	return first == second && a.Cold == 0
}

// Expire removes the servers whose lease has ended by now, and the departures
// that need no longer be remembered. Ready servers that should have been confirmed by
// now are starting again.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.servers {
		switch {
		case now.After(s.Expires):
			r.remove(name, now)
		case !s.Unconfirmed.IsZero() && !now.Before(s.readyUntil) && s.Announcement.State == baobabtide.TargetReady:
			s.Announcement.State = baobabtide.TargetStarting
			r.servers[name] = s
			r.notifyChanged()
		}
	}
	for name, gone := range r.departed {
		if now.After(gone.expires) {
			delete(r.departed, name)
		}
	}
}

// Drop removes an incarnation of a server to which the node could not connect.
func (r *Registry) Drop(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.servers[name]; ok && s.Announcement.Incarnation == incarnation {
		r.remove(name, time.Now())
	}
}

// notifyChanged closes the channel of Changed.
func (r *Registry) notifyChanged() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changed returns a channel that is closed with the next change of the servers or the departures. A
// repeated announcement that differs only in its sequence is no change, unless the server is
// cold or was so at the last one.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Servers returns the announced servers ordered by name, including those whose lease
// has ended since the last Expire.
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

// Targets returns the backend servers, ordered by name, as the node announces them
// to other nodes.
func (r *Registry) Targets() []baobabtide.Target {
	servers := r.Servers()
	targets := make([]baobabtide.Target, 0, len(servers))
	for i := range servers {
		targets = append(targets, servers[i].Announcement.Target())
	}
	return targets
}

// Deregister removes a server that is gone and records its departure. An
// incarnation of 0 means unknown: it stands for the announced incarnation or, if
// the name is not known, for all incarnations up to now in Unix milliseconds.
func (r *Registry) Deregister(name string, incarnation uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation == 0 {
		incarnation = uint64(now.UnixMilli())
		if old, known := r.servers[name]; known {
			incarnation = old.Announcement.Incarnation
		}
	}
	r.deregister(name, incarnation, now)
}
