// Package btbackend is a node's interface to the backend servers beside it: it
// receives their announcements and sends them requests over HTTP/1.1.
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
	maxCold  = time.Hour
)

// Announcement describes a backend server. The server repeats it before the lease
// ends.
type Announcement struct {
	Name        string
	Service     string
	Version     string
	Address     string                 // host:port for requests
	State       baobabtide.TargetState // starting, ready or draining
	Slots       int                    // requests that run concurrently
	Connections int                    // open connections at most, 0 for no limit
	Incarnation uint64                 // higher with each start under the same name
	Sequence    uint64                 `json:",omitempty"` // higher with each announcement of an incarnation, always 0 if unordered
	Cold        time.Duration          `json:",omitzero"`  // remaining time in which the server is cold: it responds slowly and tolerates few requests
	Lease       time.Duration          // from the arrival of the announcement
	Gone        bool                   `json:",omitempty"` // the server is stopping and must be removed
}

// Check returns an error for the first field that is invalid.
func (a *Announcement) Check() error {
	target := a.Target()
	if err := target.Check(); err != nil {
		return err
	}
	// A peer refuses the whole message that holds a name with invalid UTF-8.
	for _, name := range []struct{ field, value string }{{"Name", a.Name}, {"Service", a.Service}, {"Version", a.Version}} {
		if err := baobabtide.CheckName(name.field, name.value); err != nil {
			return err
		}
	}
	if err := baobabtide.CheckAddress("Address", a.Address); err != nil {
		return err
	}
	if a.Cold < 0 || a.Cold > maxCold {
		return baobabtide.Fieldf("Cold", "%s, 0s to %s are allowed", a.Cold, maxCold)
	}
	if a.Lease < minLease || a.Lease > maxLease {
		return baobabtide.Fieldf("Lease", "%s, %s to %s are allowed", a.Lease, minLease, maxLease)
	}
	return nil
}

// Target returns the backend server as the node announces it to other nodes.
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

// Names of the headers between a node and a backend server.
const (
	// HeaderTimeout holds the time left until the request's deadline, in
	// milliseconds.
	HeaderTimeout = "Baobabtide-Timeout"
	// HeaderDepth holds the depth of the calls that the backend server makes for
	// the request. The server sends it unchanged with them.
	HeaderDepth = "Baobabtide-Depth"
	// HeaderRetried marks a request that a node has already retried.
	HeaderRetried = "Baobabtide-Retried"
	// HeaderAttempt holds the ID of the attempt, which is unique per attempt. A response
	// that repeats it is never taken for the response to another request.
	HeaderAttempt = "Baobabtide-Attempt"
	// HeaderShed marks a response, normally a 503, to a request that was not run.
	HeaderShed = "Baobabtide-Shed"
	// HeaderRateLimit on a response holds the requests per second, a decimal number,
	// that the backend server accepts from all nodes together. It applies until a
	// response without the header.
	HeaderRateLimit = "Baobabtide-Rate-Limit"
	// HeaderLeaving with the value 1 marks a response of a backend server that is about
	// to stop and accepts no new requests.
	HeaderLeaving = "Baobabtide-Leaving"
	// HeaderAccount holds the name of the client account that the request belongs to. Requests
	// without an account have no such header, whatever the caller sent.
	HeaderAccount = "Baobabtide-Account"
)

const leavingValue = "1"

// HeaderNames holds the names of the headers between a node and a backend server,
// in canonical case. A header whose name is empty is neither read nor sent.
type HeaderNames struct {
	Timeout   string // time left until the deadline, in milliseconds
	Depth     string
	Retried   string
	Attempt   string
	Origin    string // service beside the node that received the request from its caller
	Expected  string // name of the backend server that the request is for
	Shed      string // on a response: the request was not run
	RateLimit string // on a response: requests per second that the server accepts
	Leaving   string // on a response: the server is about to stop
	Load      string // on a response: load of the server, not passed on
	RequestID string // sent by the caller, repeated in the response
	Account   string // name of the client account
}

// DefaultNames returns the header names that are declared in this package.
func DefaultNames() HeaderNames {
	return HeaderNames{
		Timeout: HeaderTimeout,
		Depth:   HeaderDepth,
		Retried: HeaderRetried,
		Attempt: HeaderAttempt,
		Shed:    HeaderShed,

		RateLimit: HeaderRateLimit,
		Leaving:   HeaderLeaving,
		Account:   HeaderAccount,
	}
}
