package baobabtide

import "context"

// KeyState is the state of an idempotency key at a node.
type KeyState uint8

// States of a key.
const (
	KeyFree    KeyState = iota // no attempt is known
	KeyInDoubt                 // an attempt has begun, but it is not known whether it ran
	KeyDone                    // the backend server responded
)

// Answer is the stored response to a request with an idempotency key. It is sent to
// repeats of the request.
type Answer struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// KeyRecord is the state of a key as nodes exchange it.
type KeyRecord struct {
	Key     string   `cbor:"1,keyasint"` // as btledger.KeyName returns it
	Attempt string   `cbor:"2,keyasint"` // attempt that the state belongs to
	State   KeyState `cbor:"3,keyasint,omitempty"`
	Answer  *Answer  `cbor:"4,keyasint,omitempty"` // nil if unknown or too large to store
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (r *KeyRecord) Check() error {
	if r.Key == "" || r.Attempt == "" {
		return Fieldf("Key, Attempt", "one is empty")
	}
	if r.State > KeyDone {
		return Fieldf("State", "%d is unknown", r.State)
	}
	return nil
}

// KeyPartner is the node that stores the state of a key in addition to the key's
// home node, so that a repeated request does not run again after one of the two
// has failed.
type KeyPartner interface {
	// Reserve stores at the partner that an attempt is about to begin. It
	// returns the state of the key if the partner has one from another attempt,
	// KeyFree if not. After an error the attempt must not begin.
	Reserve(ctx context.Context, req *Request, record KeyRecord) (KeyRecord, error)
	// Resolve stores at the partner how the attempt ended. KeyFree releases the
	// key.
	Resolve(req *Request, record KeyRecord)
}
