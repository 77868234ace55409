package baobabtide

import "time"

// AccountStatus is the state of the limit of one account on one node.
type AccountStatus struct {
	Customer          string        `cbor:"1,keyasint"`
	Account           string        `cbor:"2,keyasint"`
	RequestsPerSecond float64       `cbor:"3,keyasint"` // limit over all nodes
	Burst             float64       `cbor:"4,keyasint"`
	Share             float64       `cbor:"5,keyasint"`                             // of the limit that the node may use
	Admit             float64       `cbor:"6,keyasint"`                             // fraction of its requests that the node admits
	Use               float64       `cbor:"7,keyasint"`                             // demand over all nodes divided by the limit, 0 if unknown
	Demand            float64       `cbor:"8,keyasint"`                             // requests per second on the node
	Age               time.Duration `cbor:"9,keyasint"`                             // since a coordinator last set the share, -1 for never
	Admitted          int64         `cbor:"10,keyasint"`                            // requests that the node's process admitted and that were not refused later
	Refused           int64         `cbor:"11,keyasint,omitempty" json:",omitzero"` // requests that it refused for the limit
}
