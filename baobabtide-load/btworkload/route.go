// Package btworkload simulates callers: it sends requests to the nodes of a
// deployment and checks every response.
package btworkload

import (
	"strconv"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Route configures the requests that callers send to one route.
type Route struct {
	Route             string // name of the route
	Service           string
	Method            string
	Path              string
	RequestsPerSecond float64
	Keyed             bool          `json:",omitempty"` // send an Idempotency-Key, and retry a request without a final response
	Size              int           `json:",omitempty"` // bytes of the response's body, 0 for a short one
	BodySize          int           `json:",omitempty"` // bytes of the request's body
	Timeout           time.Duration // of the caller for one attempt
	Paths             int           `json:",omitempty"` // number of paths below Path that the requests are spread over, 0 for Path alone
	Crashes           bool          `json:",omitempty"` // the requests crash the backend servers that run them; their outcomes are not counted
	DirectShare       float64       `json:",omitempty"` // share of requests sent directly to a backend server, for comparison
}

// Check returns an error for the first field that is invalid.
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

// path returns the path of a request. The index chooses one of Paths.
func (r *Route) path(index uint64) string {
	if r.Paths <= 0 {
		return r.Path
	}
	return r.Path + "/" + strconv.FormatUint(index>>32%uint64(r.Paths), 10) // the low bits choose the node
}
