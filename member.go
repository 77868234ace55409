package baobabtide

import (
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Status is the liveness of a node as the other members see it. Within an
// incarnation, higher values override lower ones.
type Status uint8

// Member states.
const (
	Alive   Status = iota
	Suspect        // accused of not responding, may refute it
	Failed         // considered crashed or unreachable
	Left           // stopped as planned
)

// String returns the status as logs and the operator API show it.
func (s Status) String() string { return statusNames[min(s, Left)] }

// TargetState is the state of a backend server as its node announces it.
type TargetState uint8

// Target states.
const (
	TargetStarting TargetState = iota // not ready for requests yet
	TargetReady                       // accepts requests
	TargetDraining                    // accepts no new requests
)

// String returns the state as the operator API shows it.
func (s TargetState) String() string { return targetStateNames[min(s, TargetDraining)] }

// Target is one backend server as its node announces it.
type Target struct {
	Name        string      `cbor:"1,keyasint" json:"Name"`
	Service     string      `cbor:"2,keyasint" json:"Service"`
	Version     string      `cbor:"3,keyasint" json:"Version"`
	State       TargetState `cbor:"4,keyasint,omitempty" json:"State"`
	Slots       int         `cbor:"5,keyasint" json:"Slots"`       // largest number of requests that it runs at the same time
	Connections int         `cbor:"6,keyasint" json:"Connections"` // largest number of open connections, 0 for no limit
	Incarnation uint64      `cbor:"7,keyasint" json:"Incarnation"` // differs with each start of the backend server
}

// ServerRateLimit is the rate limit that a backend server names in its responses.
type ServerRateLimit struct {
	Server    string    `cbor:"1,keyasint" json:"Server"`
	PerSecond float64   `cbor:"2,keyasint" json:"PerSecond"` // requests that the server accepts from all nodes together
	Since     time.Time `cbor:"3,keyasint" json:"Since"`     // when the server first named this limit, by the clock of the node beside it
}

// TargetRef identifies a target and the node beside it, through which requests
// reach it.
type TargetRef struct {
	Node        string // name of the node
	Address     string // peer address of the node
	Process     uint64 // Member.Process of the node at the announcement
	Name        string
	Incarnation uint64
}

// Member is a node as the other members know it. Only the node itself changes
// what it announces; the others may only raise its Status.
type Member struct {
	Name        string   `cbor:"1,keyasint" json:"Name"`
	Zone        string   `cbor:"2,keyasint" json:"Zone"`
	Region      string   `cbor:"3,keyasint,omitempty" json:"Region"`
	PeerAddress string   `cbor:"4,keyasint" json:"PeerAddress"`
	Incarnation uint64   `cbor:"5,keyasint" json:"Incarnation"` // increases with each start and each refutation of a suspicion
	Sequence    uint64   `cbor:"6,keyasint" json:"Sequence"`    // increases with each change within an incarnation
	Status      Status   `cbor:"7,keyasint,omitempty" json:"Status"`
	Accusers    []string `cbor:"8,keyasint,omitempty" json:"Accusers,omitempty"` // members that suspect the node; sorted, without duplicates
	Targets     []Target `cbor:"9,keyasint,omitempty" json:"Targets,omitempty"`
	Process     uint64   `cbor:"10,keyasint,omitempty" json:"Process,omitempty"` // differs with each start of the node's process

	// Departed are backend servers that have departed from the node lately, MaxDepartures at most.
	// The next process of the node gets them back, so that no late announcement returns one.
	Departed []Departure `cbor:"11,keyasint,omitempty" json:"Departed,omitempty"`

	// LogDown says that the platform's log does not answer the node's reads. Other members read
	// it in its place.
	LogDown bool `cbor:"12,keyasint,omitempty" json:"LogDown,omitempty"`
}

// Largest numbers of targets and of departures in a Member.
const (
	MaxTargets    = 64
	MaxDepartures = 16
)

// Departure identifies a backend server that has departed.
type Departure struct {
	Name        string `cbor:"1,keyasint" json:"Name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Incarnation"` // the latest that has departed
}

// Check returns a FieldError for the first field that is invalid.
func (d *Departure) Check() error {
	if d.Name == "" || len(d.Name) > maxNameLength {
		return Fieldf("Name", "%q, 1 to %d bytes are allowed", d.Name, maxNameLength)
	}
	return nil
}

// Bounds on the fields of a Member and a Target.
const (
	maxNameLength    = 128
	maxAccusers      = 8
	maxSlots         = 1 << 16
	maxAddressLength = 256
)

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (m *Member) Check() error {
	if m.Name == "" || len(m.Name) > maxNameLength {
		return Fieldf("Name", "%q, 1 to %d bytes are allowed", m.Name, maxNameLength)
	}
	if m.Zone == "" || len(m.Zone) > maxNameLength {
		return Fieldf("Zone", "%q, 1 to %d bytes are allowed", m.Zone, maxNameLength)
	}
	if len(m.PeerAddress) > maxAddressLength {
		return Fieldf("PeerAddress", "%d bytes exceed %d", len(m.PeerAddress), maxAddressLength)
	}
	if m.Status > Left {
		return Fieldf("Status", "%d is unknown", m.Status)
	}
	if len(m.Accusers) > maxAccusers {
		return Fieldf("Accusers", "%d exceed %d", len(m.Accusers), maxAccusers)
	}
	if err := CheckEach("Targets", m.Targets, MaxTargets); err != nil {
		return err
	}
	return CheckEach("Departed", m.Departed, MaxDepartures)
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (t *Target) Check() error {
	if t.Name == "" || len(t.Name) > maxNameLength {
		return Fieldf("Name", "%q, 1 to %d bytes are allowed", t.Name, maxNameLength)
	}
	if t.Service == "" || len(t.Service) > maxNameLength {
		return Fieldf("Service", "%q, 1 to %d bytes are allowed", t.Service, maxNameLength)
	}
	if t.Version == "" || len(t.Version) > maxNameLength {
		return Fieldf("Version", "%q, 1 to %d bytes are allowed", t.Version, maxNameLength)
	}
	if t.State > TargetDraining {
		return Fieldf("State", "%d is unknown", t.State)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return Fieldf("Slots", "%d, 1 to %d are allowed", t.Slots, maxSlots)
	}
	if t.Connections < 0 || t.Connections > maxSlots {
		return Fieldf("Connections", "%d, 0 to %d are allowed", t.Connections, maxSlots)
	}
	return nil
}

// CheckAddress returns a FieldError unless an address is host:port with a host and a port
// from 1 to 65535, at most 256 bytes long and without spaces and control characters.
func CheckAddress(field, address string) error {
	if len(address) > maxAddressLength {
		return Fieldf(field, "%d bytes exceed %d", len(address), maxAddressLength)
	}
	if strings.ContainsFunc(address, func(c rune) bool { return unicode.IsSpace(c) || !unicode.IsGraphic(c) }) {
		return Fieldf(field, "%q holds a space or a control character", address)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return Fieldf(field, "%q is not host:port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Fieldf(field, "%q, port %q is not 1 to 65535", address, port)
	}
	return nil
}
