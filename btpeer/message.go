// Package btpeer carries gossip, requests and operators' questions between
// nodes over gRPC with a CBOR codec.
package btpeer

import (
	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btrollout"
)

// Bounds on a message.
const (
	maxMembers  = 1 << 14
	maxReports  = 1 << 12
	maxMessage  = 64 << 20 // bytes of one gRPC message
	maxBodyPart = 64 << 10 // bytes of body in one frame
)

// Gossip is one message between neighbors. Every part is optional.
type Gossip struct {
	Hello     *Hello                  `cbor:"1,keyasint,omitempty"` // first message of a connection
	Heartbeat *Heartbeat              `cbor:"2,keyasint,omitempty"`
	Members   []baobabtide.Member     `cbor:"3,keyasint,omitempty"`
	Statuses  []btmember.StatusUpdate `cbor:"4,keyasint,omitempty"`
	Digests   []uint64                `cbor:"5,keyasint,omitempty"` // of the membership's buckets
	Repair    *Repair                 `cbor:"6,keyasint,omitempty"`
	Pull      *Pull                   `cbor:"7,keyasint,omitempty"`
	Links     []byte                  `cbor:"8,keyasint,omitempty"` // btconfig.EncodeLinks
	State     []byte                  `cbor:"9,keyasint,omitempty"` // btconfig.EncodeState
	Reports   []btrollout.Report      `cbor:"10,keyasint,omitempty"`
	Trips     []btrollout.Trip        `cbor:"11,keyasint,omitempty"`
	Wanted    []string                `cbor:"12,keyasint,omitempty"` // members whose records the sender lacks

	Outcomes []baobabtide.OutcomeRecord `cbor:"13,keyasint,omitempty"` // that are kept apart from the configuration's log
	Former   []baobabtide.Target        `cbor:"14,keyasint,omitempty"` // announced by the former process of the node that is told
}

// Hello names the node at the other end of a connection.
type Hello struct {
	Node string `cbor:"1,keyasint"`
}

// Heartbeat is a sign of life and a summary of what the sender knows.
type Heartbeat struct {
	Offset baobabtide.Offset `cbor:"1,keyasint"` // configuration version
	Digest uint64            `cbor:"2,keyasint"` // of the membership
}

// Repair says how much the sender knows of the members of the buckets in which
// two nodes differ.
type Repair struct {
	Buckets  []int              `cbor:"1,keyasint"`
	Versions []btmember.Version `cbor:"2,keyasint"`
}

// Pull asks for the configuration after an offset.
type Pull struct {
	After baobabtide.Offset `cbor:"1,keyasint"`
}

// Check reports the first field that breaks a rule.
func (g *Gossip) Check() error {
	if len(g.Members) > maxMembers {
		return baobabtide.Fieldf("Members", "%d exceed %d", len(g.Members), maxMembers)
	}
	for i := range g.Members {
		if err := g.Members[i].Check(); err != nil {
			return baobabtide.WithinIndex("Members", i, err)
		}
	}
	for i := range g.Statuses {
		if err := g.Statuses[i].Check(); err != nil {
			return baobabtide.WithinIndex("Statuses", i, err)
		}
	}
	for i := range g.Former {
		if err := g.Former[i].Check(); err != nil {
			return baobabtide.WithinIndex("Former", i, err)
		}
	}
	if g.Repair != nil && len(g.Repair.Versions) > maxMembers {
		return baobabtide.Fieldf("Repair.Versions", "%d exceed %d", len(g.Repair.Versions), maxMembers)
	}
	if len(g.Wanted) > maxMembers {
		return baobabtide.Fieldf("Wanted", "%d exceed %d", len(g.Wanted), maxMembers)
	}
	if len(g.Reports) > maxReports || len(g.Trips) > maxReports {
		return baobabtide.Fieldf("Reports, Trips", "%d and %d exceed %d", len(g.Reports), len(g.Trips), maxReports)
	}
	return nil
}

// RequestFrame is one part of a forwarded request. The first has a Head, the
// last has Last set.
type RequestFrame struct {
	Head *RequestHead `cbor:"1,keyasint,omitempty"`
	Body []byte       `cbor:"2,keyasint,omitempty"`
	Last bool         `cbor:"3,keyasint,omitempty"`
}

// RequestHead is a forwarded request without its body.
type RequestHead struct {
	Attempt           string                   `cbor:"1,keyasint"`
	Target            string                   `cbor:"2,keyasint"` // name of the backend server
	TargetIncarnation uint64                   `cbor:"3,keyasint"`
	Customer          string                   `cbor:"4,keyasint"`
	Service           string                   `cbor:"5,keyasint"`
	Route             string                   `cbor:"6,keyasint"`
	Key               string                   `cbor:"7,keyasint,omitempty"`
	Idempotent        bool                     `cbor:"8,keyasint,omitempty"`
	Priority          int                      `cbor:"9,keyasint,omitempty"`
	Rollout           baobabtide.Offset        `cbor:"10,keyasint,omitempty"`
	Method            string                   `cbor:"11,keyasint"`
	Path              string                   `cbor:"12,keyasint"`
	Header            []baobabtide.HeaderField `cbor:"13,keyasint,omitempty"`
	BodyLength        int64                    `cbor:"14,keyasint"`
	TimeoutMicros     int64                    `cbor:"15,keyasint"` // time left at sending
	Depth             int                      `cbor:"16,keyasint,omitempty"`
	Retried           bool                     `cbor:"17,keyasint,omitempty"`
	Version           string                   `cbor:"18,keyasint,omitempty"`
	ID                string                   `cbor:"19,keyasint,omitempty"`
	Origin            string                   `cbor:"20,keyasint,omitempty"`
	Host              string                   `cbor:"21,keyasint,omitempty"`
	ObjectiveMicros   int64                    `cbor:"22,keyasint,omitempty"` // left at sending, 0 for none
	Late              bool                     `cbor:"23,keyasint,omitempty"`
}

// Check reports the first field that breaks a rule.
func (h *RequestHead) Check() error {
	if h.Attempt == "" {
		return baobabtide.Fieldf("Attempt", "empty")
	}
	if h.Method == "" || h.Path == "" {
		return baobabtide.Fieldf("Method, Path", "empty")
	}
	return nil
}

// Check reports the first field that breaks a rule.
func (f *RequestFrame) Check() error {
	if len(f.Body) > maxBodyPart {
		return baobabtide.Fieldf("Body", "%d bytes exceed %d", len(f.Body), maxBodyPart)
	}
	if f.Head == nil {
		return nil
	}
	if err := f.Head.Check(); err != nil {
		return baobabtide.Within("Head", err)
	}
	return nil
}

// ResponseFrame is one part of a forwarded answer. The first has a Head or a
// Refusal, the last has Last set.
type ResponseFrame struct {
	Head    *ResponseHead `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal      `cbor:"2,keyasint,omitempty"`
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Last    bool          `cbor:"4,keyasint,omitempty"`
}

// ResponseHead is a forwarded answer without its body.
type ResponseHead struct {
	Status  int                      `cbor:"1,keyasint"`
	Header  []baobabtide.HeaderField `cbor:"2,keyasint,omitempty"`
	Length  int64                    `cbor:"3,keyasint"`
	Version string                   `cbor:"4,keyasint,omitempty"`
	Load    baobabtide.Load          `cbor:"5,keyasint"`

	Excused    bool  `cbor:"7,keyasint,omitempty"`
	TookMicros int64 `cbor:"6,keyasint"` // that the backend server took to begin its answer
}

// Refusal says why a request got no answer.
type Refusal struct {
	Verdict          baobabtide.Verdict `cbor:"1,keyasint"`
	Reason           baobabtide.Reason  `cbor:"2,keyasint"`
	RetryAfterMicros int64              `cbor:"3,keyasint,omitempty"`
	Message          string             `cbor:"4,keyasint,omitempty"`
	Load             baobabtide.Load    `cbor:"5,keyasint"`
	Reached          bool               `cbor:"6,keyasint,omitempty"`
}

// Check reports the first field that breaks a rule.
func (f *ResponseFrame) Check() error {
	if f.Refusal != nil && f.Refusal.Verdict > baobabtide.Ran {
		return baobabtide.Fieldf("Refusal.Verdict", "%d is unknown", f.Refusal.Verdict)
	}
	if f.Head != nil && (f.Head.Status < 100 || f.Head.Status > 999) {
		return baobabtide.Fieldf("Head.Status", "%d is no HTTP status", f.Head.Status)
	}
	return nil
}

// SettleRequest asks what became of an attempt.
type SettleRequest struct {
	Attempt string `cbor:"1,keyasint"`
	Process uint64 `cbor:"2,keyasint"` // start of the process that the attempt was sent to; a later one proves nothing
}

// SettleResponse answers a SettleRequest.
type SettleResponse struct {
	Verdict baobabtide.Verdict `cbor:"1,keyasint"`
}

// ResolveResponse answers the end of a key's attempt.
type ResolveResponse struct{}

// PingRequest asks for a sign of life.
type PingRequest struct{}

// PingResponse is one.
type PingResponse struct{}

// InfoRequest asks a node about itself.
type InfoRequest struct{}

// Info is what a node says about itself.
type Info struct {
	Node        string            `cbor:"1,keyasint"`
	Zone        string            `cbor:"2,keyasint"`
	Offset      baobabtide.Offset `cbor:"3,keyasint"`
	Peers       int               `cbor:"4,keyasint"` // gossip connections
	Members     int               `cbor:"5,keyasint"` // live members known
	Reader      bool              `cbor:"6,keyasint"` // reads the log
	LogUp       bool              `cbor:"7,keyasint"` // its last call to the log succeeded
	Draining    bool              `cbor:"8,keyasint"`
	InForceAt   int64             `cbor:"9,keyasint"`  // Unix time in microseconds at which the version came into force
	ControlIn   int64             `cbor:"10,keyasint"` // bytes of gossip received
	ControlOut  int64             `cbor:"11,keyasint"` // bytes of gossip sent
	Held        []string          `cbor:"12,keyasint,omitempty"`
	ControlNano int64             `cbor:"13,keyasint"` // processor time of the process
	Resident    int64             `cbor:"14,keyasint"` // bytes of resident memory
	LogReads    int64             `cbor:"15,keyasint"`
	LogAppends  int64             `cbor:"16,keyasint"`
}

// DrainRequest tells a node to stop in a planned way.
type DrainRequest struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// DrainResponse answers once the node takes no new work.
type DrainResponse struct {
	InFlight int `cbor:"1,keyasint"`
}
