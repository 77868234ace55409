package baobabtide

import (
	"encoding/hex"
	"fmt"
)

// Digest identifies requests that are the same: those of one customer with the same method,
// target and body, and the same host if their route is that of a host. The zero value means that it is not known.
type Digest [16]byte

// String returns the digest as logs and the operator API show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest %q does not have %d digits", text, hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest %q: %w", text, err)
	}
	return nil
}
