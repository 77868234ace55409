// Package btsettings holds the settings of a node. Each section has a file of
// its own; the defaults of all sections stand in defaults.go.
package btsettings

import (
	"fmt"
	"net"
	"os"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

// Settings are the contents of a node's settings file.
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
}

// Check reports the first field that breaks a rule.
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
	} {
		if err := section.check(); err != nil {
			return baobabtide.Within(section.name, err)
		}
	}
	return nil
}

// Decode reads settings. Fields that the text does not name keep their
// defaults.
func Decode(data []byte) (*Settings, error) {
	s := Default()
	if err := btcodec.DecodeJSONInto(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Load reads a settings file.
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

// checkAddress reports a host:port that can't be used.
func checkAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return baobabtide.Fieldf(field, "%q is not host:port", address)
	}
	return nil
}

// checkOptionalAddress is checkAddress for a field that may be empty.
func checkOptionalAddress(field, address string) error {
	if address == "" {
		return nil
	}
	return checkAddress(field, address)
}
