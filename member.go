package baobabtide

// Status is what a node's fellow members hold of it. Higher values override
// lower ones within an incarnation.
type Status uint8

// Member states.
const (
	Alive Status = iota
	Suspect
	Failed
	Left
)

// String returns the status as it stands in logs and on the operators' API.
func (s Status) String() string { return statusNames[min(s, Left)] }

// TargetState is the state of a backend server as its node announces it.
type TargetState uint8

// Target states.
const (
	TargetStarting TargetState = iota
	TargetReady
	TargetDraining
)

// String returns the state as it stands on the operators' API.
func (s TargetState) String() string { return targetStateNames[min(s, TargetDraining)] }

// Target is one backend server as its node announces it.
type Target struct {
	Name        string      `cbor:"1,keyasint" json:"Name"`
	Service     string      `cbor:"2,keyasint" json:"Service"`
	Version     string      `cbor:"3,keyasint" json:"Version"`
	State       TargetState `cbor:"4,keyasint,omitempty" json:"State"`
	Slots       int         `cbor:"5,keyasint" json:"Slots"`
	Connections int         `cbor:"6,keyasint" json:"Connections"`
	Incarnation uint64      `cbor:"7,keyasint" json:"Incarnation"`
}

// TargetRef addresses a target through the node beside it.
type TargetRef struct {
	Node        string
	Address     string // peer address of the node
	Process     uint64 // start of the node's process that announced the target
	Name        string
	Incarnation uint64
}

// Member is one node as it is known to its fellow members. Only the node
// itself changes what it announces; the others may only raise Status.
type Member struct {
	Name        string   `cbor:"1,keyasint" json:"Name"`
	Zone        string   `cbor:"2,keyasint" json:"Zone"`
	Region      string   `cbor:"3,keyasint,omitempty" json:"Region"`
	PeerAddress string   `cbor:"4,keyasint" json:"PeerAddress"`
	Incarnation uint64   `cbor:"5,keyasint" json:"Incarnation"` // rises with each start and each refutation
	Sequence    uint64   `cbor:"6,keyasint" json:"Sequence"`    // rises with each change within an incarnation
	Status      Status   `cbor:"7,keyasint,omitempty" json:"Status"`
	Accusers    []string `cbor:"8,keyasint,omitempty" json:"Accusers,omitempty"` // sorted, without repeats
	Targets     []Target `cbor:"9,keyasint,omitempty" json:"Targets,omitempty"`
	Process     uint64   `cbor:"10,keyasint,omitempty" json:"Process,omitempty"` // differs with each start of the node's process
}

// Bounds on what a member may announce.
const (
	maxNameLength    = 128
	maxTargets       = 64
	maxAccusers      = 8
	maxSlots         = 1 << 16
	maxAddressLength = 256
)

// Check reports the first field that breaks a rule.
func (m *Member) Check() error {
	if m.Name == "" || len(m.Name) > maxNameLength {
		return Fieldf("Name", "%q, 1 to %d bytes", m.Name, maxNameLength)
	}
	if m.Zone == "" || len(m.Zone) > maxNameLength {
		return Fieldf("Zone", "%q, 1 to %d bytes", m.Zone, maxNameLength)
	}
	if len(m.PeerAddress) > maxAddressLength {
		return Fieldf("PeerAddress", "%d bytes exceed %d", len(m.PeerAddress), maxAddressLength)
	}
	if m.Status > Left {
		return Fieldf("Status", "%d, unknown", m.Status)
	}
	if len(m.Targets) > maxTargets {
		return Fieldf("Targets", "%d exceed %d", len(m.Targets), maxTargets)
	}
	if len(m.Accusers) > maxAccusers {
		return Fieldf("Accusers", "%d exceed %d", len(m.Accusers), maxAccusers)
	}
	for i := range m.Targets {
		if err := m.Targets[i].Check(); err != nil {
			return WithinIndex("Targets", i, err)
		}
	}
	return nil
}

// Check reports the first field that breaks a rule.
func (t *Target) Check() error {
	if t.Name == "" || len(t.Name) > maxNameLength {
		return Fieldf("Name", "%q, 1 to %d bytes", t.Name, maxNameLength)
	}
	if t.Service == "" || len(t.Service) > maxNameLength {
		return Fieldf("Service", "%q, 1 to %d bytes", t.Service, maxNameLength)
	}
	if t.Version == "" || len(t.Version) > maxNameLength {
		return Fieldf("Version", "%q, 1 to %d bytes", t.Version, maxNameLength)
	}
	if t.State > TargetDraining {
		return Fieldf("State", "%d, unknown", t.State)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return Fieldf("Slots", "%d, 1 to %d", t.Slots, maxSlots)
	}
	if t.Connections < 0 || t.Connections > maxSlots {
		return Fieldf("Connections", "%d, 0 to %d", t.Connections, maxSlots)
	}
	return nil
}
