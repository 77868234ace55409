package btsettings

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

const maxLease = time.Minute // longest default lease of a backend server

// Backend holds the settings of the interface on which the node receives the
// announcements of the backend servers beside it.
type Backend struct {
	Listen  string // host:port for announcements, preferably on the loopback interface
	Service string `json:",omitempty"` // service of the backend server beside the node, empty to accept any
	Address string `json:",omitempty"` // host:port of the backend server beside the node, empty to accept any

	// Lease applies to announcements that hold none. A backend server is removed after
	// this time without an announcement.
	Lease time.Duration `json:",omitzero"`
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (b *Backend) Check() error {
	if err := checkAddress("Listen", b.Listen); err != nil {
		return err
	}
	if b.Lease < 0 || b.Lease > maxLease {
		return baobabtide.Fieldf("Lease", "%s, 0s to %s are allowed", b.Lease, maxLease)
	}
	return checkOptionalAddress("Address", b.Address)
}
