// Package btsettings holds the settings of a node. Each section has its own
// file; defaults.go holds the defaults of all sections.
package btsettings

import (
	"fmt"
	"net"
	"os"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

// Settings holds the contents of a node's settings file.
type Settings struct {
	Node     Node
	Caller   Caller
	Backend  Backend
	Peer     Peer
	Platform Platform
	Terms    Terms
	Operator Operator
	Metrics  Metrics
	TLS      TLS
	Log      Log
	Limits   Limits

	Placement Placement `json:",omitempty"`
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (s *Settings) Check() error {
	for _, section := range []struct {
		name  string
		check func() error
	}{
		{"Node", s.Node.Check},
		{"Caller", s.Caller.Check},
		{"Backend", s.Backend.Check},
		{"Peer", s.Peer.Check},
		{"Platform", s.Platform.Check},
		{"Terms", s.Terms.Check},
		{"Operator", s.Operator.Check},
		{"Metrics", s.Metrics.Check},
		{"TLS", s.TLS.Check},
		{"Log", s.Log.Check},
		{"Limits", s.Limits.Check},
		{"Placement", s.Placement.Check},
	} {
		if err := section.check(); err != nil {
			return baobabtide.Within(section.name, err)
		}
	}
	return nil
}

// Decode decodes settings from JSON and checks them. Fields that are not in the text
// have their defaults. Invalid settings are reported as a FieldError.
func Decode(data []byte) (*Settings, error) {
	s := Default()
	if err := btcodec.DecodeJSONInto(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Load reads, decodes and checks a settings file. It fails if the file can't be read, and
// with a wrapped FieldError if its contents are invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// checkAddress returns a FieldError if an address is not host:port.
func checkAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return baobabtide.Fieldf(field, "%q is not host:port", address)
	}
	return nil
}

// checkOptionalAddress returns a FieldError if an address is neither empty nor host:port.
func checkOptionalAddress(field, address string) error {
	if address == "" {
		return nil
	}
	return checkAddress(field, address)
}
