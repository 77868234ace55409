package btsettings

import "github.com/baobabtide/baobabtide"

const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 16 << 30
)

// Caller holds the address of the interface for callers and the limits on their
// requests.
type Caller struct {
	Listen          string // host:port
	MaxHeaderBytes  int    // of a request
	MaxBodyBytes    int    // of a request
	MaxConnections  int    // open connections of callers
	DefaultCustomer string // customer of requests without a customer header, empty to refuse them
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (c *Caller) Check() error {
	if err := checkAddress("Listen", c.Listen); err != nil {
		return err
	}
	if c.MaxHeaderBytes < minHeaderBytes || c.MaxHeaderBytes > maxHeaderBytes {
		return baobabtide.Fieldf("MaxHeaderBytes", "%d, %d to %d are allowed", c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	}
	if c.MaxBodyBytes < 1 || c.MaxBodyBytes > maxBodyBytes {
		return baobabtide.Fieldf("MaxBodyBytes", "%d, 1 to %d are allowed", c.MaxBodyBytes, maxBodyBytes)
	}
	if c.MaxConnections < 1 {
		return baobabtide.Fieldf("MaxConnections", "%d is less than 1", c.MaxConnections)
	}
	return nil
}
