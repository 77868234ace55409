package btsettings

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

const maxLease = time.Minute

// Backend says where the backend servers beside the node announce themselves.
type Backend struct {
	Listen  string        // host:port, best on the loopback interface
	Service string        `json:",omitempty"` // that the backend server beside the node serves, empty for any
	Address string        `json:",omitempty"` // host:port of the backend server beside the node, empty for any
	Lease   time.Duration `json:",omitzero"`  // time without an announcement after which a backend server is gone, where the announcement does not say
}

// Check reports the first field that breaks a rule.
func (b *Backend) Check() error {
	if err := checkAddress("Listen", b.Listen); err != nil {
		return err
	}
	if b.Lease < 0 || b.Lease > maxLease {
		return baobabtide.Fieldf("Lease", "%s, 0s to %s are allowed", b.Lease, maxLease)
	}
	return checkOptionalAddress("Address", b.Address)
}
