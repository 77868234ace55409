// Package btbackend speaks with the backend servers beside a node: it takes
// their announcements and sends them requests over HTTP/1.1.
package btbackend

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

// Paths of the announcement interface.
const (
	AnnouncePath = "/v1/announce"
)

// Bounds on an announcement.
const (
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Announcement is what a backend server says of itself. It repeats it before
// the lease ends.
type Announcement struct {
	Name        string
	Service     string
	Version     string
	Address     string                 // host:port for requests
	State       baobabtide.TargetState // starting, ready or draining
	Slots       int                    // requests at once
	Connections int                    // open connections at most, 0 for no limit
	Incarnation uint64                 // differs from that of a predecessor of the same name
	Sequence    uint64                 `json:",omitempty"` // rises with each announcement of an incarnation, 0 for no order
	Cold        time.Duration          `json:",omitzero"`  // time for which the server is still slow after its start
	Lease       time.Duration
	Gone        bool `json:",omitempty"` // the server stops now
}

// Check reports the first field that breaks a rule.
func (a *Announcement) Check() error {
	target := a.Target()
	if err := target.Check(); err != nil {
		return err
	}
	if a.Address == "" {
		return baobabtide.Fieldf("Address", "empty")
	}
	if a.Cold < 0 {
		return baobabtide.Fieldf("Cold", "%s is negative", a.Cold)
	}
	if a.Lease < minLease || a.Lease > maxLease {
		return baobabtide.Fieldf("Lease", "%s, %s to %s are allowed", a.Lease, minLease, maxLease)
	}
	return nil
}

// Target returns what the node tells other nodes.
func (a *Announcement) Target() baobabtide.Target {
	return baobabtide.Target{
		Name:        a.Name,
		Service:     a.Service,
		Version:     a.Version,
		State:       a.State,
		Slots:       a.Slots,
		Connections: a.Connections,
		Incarnation: a.Incarnation,
	}
}

// Headers between a node and a backend server.
const (
	// HeaderTimeout tells a backend server how much time is left, in
	// milliseconds.
	HeaderTimeout = "Baobabtide-Timeout"
	// HeaderDepth counts the calls above this one. A backend server passes it
	// on with the calls that it makes.
	HeaderDepth = "Baobabtide-Depth"
	// HeaderRetried marks a request that a node has already retried.
	HeaderRetried = "Baobabtide-Retried"
	// HeaderAttempt names the attempt.
	HeaderAttempt = "Baobabtide-Attempt"
	// HeaderShed marks a backend server's 503 as given before the request ran.
	HeaderShed = "Baobabtide-Shed"
)

// HeaderNames are the names under which a node and a backend server exchange
// what the product needs to know, in canonical case. A header whose name is
// empty is neither read nor sent.
type HeaderNames struct {
	Timeout   string // milliseconds left
	Depth     string
	Retried   string
	Attempt   string
	Origin    string // service beside the node that took the request from its caller
	Expected  string // name of the backend server that is meant
	Shed      string // on an answer: the request has not run
	RequestID string // sent by the caller, repeated in the answer
}

// DefaultNames are the product's own header names.
func DefaultNames() HeaderNames {
	return HeaderNames{
		Timeout: HeaderTimeout,
		Depth:   HeaderDepth,
		Retried: HeaderRetried,
		Attempt: HeaderAttempt,
		Shed:    HeaderShed,
	}
}
