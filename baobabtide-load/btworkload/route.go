// Package btworkload drives callers against the nodes of a deployment and
// checks every answer.
package btworkload

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

// Route is one kind of request that callers send.
type Route struct {
	Route             string // name in the results
	Service           string
	Method            string
	Path              string
	RequestsPerSecond float64
	Keyed             bool          `json:",omitempty"` // with an Idempotency-Key, repeated by the caller where that is safe
	Size              int           `json:",omitempty"` // bytes of the answer, 0 for a short one
	BodySize          int           `json:",omitempty"` // bytes of the request's body
	Timeout           time.Duration // that the caller waits
	DirectShare       float64       `json:",omitempty"` // share sent straight to a backend server, for comparison
}

// Check reports the first field that breaks a rule.
func (r *Route) Check() error {
	if r.Route == "" || r.Service == "" || r.Method == "" || r.Path == "" {
		return baobabtide.Fieldf("Route, Service, Method, Path", "one is empty")
	}
	if r.RequestsPerSecond <= 0 {
		return baobabtide.Fieldf("RequestsPerSecond", "%g is not positive", r.RequestsPerSecond)
	}
	if r.Timeout <= 0 {
		return baobabtide.Fieldf("Timeout", "%s is not positive", r.Timeout)
	}
	if r.DirectShare < 0 || r.DirectShare >= 1 {
		return baobabtide.Fieldf("DirectShare", "%g, 0 to below 1 are allowed", r.DirectShare)
	}
	return nil
}
