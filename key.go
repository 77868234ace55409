package baobabtide

import "context"

// KeyState is what a node remembers of a key.
type KeyState uint8

// States of a key.
const (
	KeyFree    KeyState = iota // not known
	KeyInDoubt                 // begun, the outcome is not known
	KeyDone                    // the backend server answered
)

// Answer is a stored answer to a keyed request.
type Answer struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// KeyRecord is what one node tells another of a key.
type KeyRecord struct {
	Key     string   `cbor:"1,keyasint"` // btledger.KeyName
	Attempt string   `cbor:"2,keyasint"`
	State   KeyState `cbor:"3,keyasint,omitempty"`
	Answer  *Answer  `cbor:"4,keyasint,omitempty"` // nil where it is not known or too large to keep
}

// Check reports the first field that breaks a rule.
func (r *KeyRecord) Check() error {
	if r.Key == "" || r.Attempt == "" {
		return Fieldf("Key, Attempt", "one is empty")
	}
	if r.State > KeyDone {
		return Fieldf("State", "%d is unknown", r.State)
	}
	return nil
}

// KeyPartner is the node that remembers a key together with its home, so that a
// repeat does not run again after one of the two has gone.
type KeyPartner interface {
	// Reserve notes at the partner that an attempt is about to begin. It
	// returns what the partner knows of the key from another attempt.
	Reserve(ctx context.Context, req *Request, record KeyRecord) (KeyRecord, error)
	// Resolve tells the partner how the attempt ended. KeyFree gives the key
	// back.
	Resolve(req *Request, record KeyRecord)
}
