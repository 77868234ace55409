// Package btpeer implements the protocol between nodes: gossip, forwarded requests
// and operators' queries, over gRPC with CBOR-encoded messages.
package btpeer

import (
	"cmp"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btmember"
	"github.com/baobabtide/baobabtide/btquarantine"
	"github.com/baobabtide/baobabtide/btrollout"
)

// Limits of a message.
const (
	maxMembers  = 1 << 14  // members, versions or wanted names in a gossip message
	maxReports  = 1 << 12  // reports, and as many trips, in a gossip message
	maxEntries  = 1 << 14  // quarantine entries in a gossip message
	maxMessage  = 64 << 20 // bytes of one gRPC message
	maxBodyPart = 64 << 10 // bytes of body in one frame

	maxWaitMicros = int64(24 * time.Hour / time.Microsecond)
)

// Gossip is a message on a gossip connection. Every field is optional.
type Gossip struct {
	Hello     *Hello                  `cbor:"1,keyasint,omitempty"` // only in the first message of a connection
	Heartbeat *Heartbeat              `cbor:"2,keyasint,omitempty"`
	Members   []baobabtide.Member     `cbor:"3,keyasint,omitempty"`
	Statuses  []btmember.StatusUpdate `cbor:"4,keyasint,omitempty"`
	Digests   []uint64                `cbor:"5,keyasint,omitempty"` // of the buckets of the sender's membership table
	Repair    *Repair                 `cbor:"6,keyasint,omitempty"`
	Pull      *Pull                   `cbor:"7,keyasint,omitempty"`
	Links     []byte                  `cbor:"8,keyasint,omitempty"` // encoded by btconfig.EncodeLinks
	State     []byte                  `cbor:"9,keyasint,omitempty"` // encoded by btconfig.EncodeState
	Reports   []btrollout.Report      `cbor:"10,keyasint,omitempty"`
	Trips     []btrollout.Trip        `cbor:"11,keyasint,omitempty"`
	Wanted    []string                `cbor:"12,keyasint,omitempty"` // names of members whose records the sender requests

	Outcomes []baobabtide.OutcomeRecord `cbor:"13,keyasint,omitempty"` // stored outside the configuration log
	Former   []baobabtide.Target        `cbor:"14,keyasint,omitempty"` // targets that the previous process of the receiving node announced

	Quarantine []btquarantine.Entry `cbor:"15,keyasint,omitempty"`

	FormerDeparted []baobabtide.Departure `cbor:"16,keyasint,omitempty"` // backend servers that had departed from the previous process of the receiving node
}

// Hello identifies the node that sends it.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	Live int    `cbor:"2,keyasint,omitempty"` // number of live members that the sender knows, including itself
}

// Heartbeat shows that the sender is alive and summarizes its configuration and
// membership.
type Heartbeat struct {
	Offset baobabtide.Offset `cbor:"1,keyasint"` // of the sender's configuration
	Digest uint64            `cbor:"2,keyasint"` // of the sender's membership table

	Revision uint64 `cbor:"3,keyasint,omitempty"` // of the sender's configuration, as btconfig.State.Revision returns it
}

// Repair lists the versions of the sender's records in the buckets in which two
// nodes differ.
type Repair struct {
	Buckets  []int              `cbor:"1,keyasint"`
	Versions []btmember.Version `cbor:"2,keyasint"`
}

// Pull requests the configuration entries after an offset, or the whole configuration.
type Pull struct {
	After baobabtide.Offset `cbor:"1,keyasint"`
	Whole bool              `cbor:"2,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (g *Gossip) Check() error {
	err := cmp.Or(
		baobabtide.CheckEach("Members", g.Members, maxMembers),
		baobabtide.CheckEach("Statuses", g.Statuses, maxMembers),
		baobabtide.CheckEach("Former", g.Former, maxMembers),
		baobabtide.CheckEach("FormerDeparted", g.FormerDeparted, maxMembers),
		baobabtide.CheckEach("Quarantine", g.Quarantine, maxEntries),
	)
	if err != nil {
		return err
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

// RequestFrame is one part of a forwarded request. The first frame has a Head, the
// last one has Last set.
type RequestFrame struct {
	Head *RequestHead `cbor:"1,keyasint,omitempty"`
	Body []byte       `cbor:"2,keyasint,omitempty"`
	Last bool         `cbor:"3,keyasint,omitempty"`
}

// RequestHead is a forwarded request without its body. Its fields are those of
// baobabtide.Request, with times relative to the time of sending.
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
	TimeoutMicros     int64                    `cbor:"15,keyasint"` // from sending to the deadline
	Depth             int                      `cbor:"16,keyasint,omitempty"`
	Retried           bool                     `cbor:"17,keyasint,omitempty"`
	Version           string                   `cbor:"18,keyasint,omitempty"`
	ID                string                   `cbor:"19,keyasint,omitempty"`
	Origin            string                   `cbor:"20,keyasint,omitempty"`
	Host              string                   `cbor:"21,keyasint,omitempty"`
	ObjectiveMicros   int64                    `cbor:"22,keyasint,omitempty"` // from sending to the objective, 0 for none
	Late              bool                     `cbor:"23,keyasint,omitempty"`
	RateLimit         float64                  `cbor:"24,keyasint,omitempty"`
	Digest            baobabtide.Digest        `cbor:"25,keyasint,omitempty"`
	MaxWaitMicros     int64                    `cbor:"26,keyasint,omitempty"` // 0 for no limit
	Account           string                   `cbor:"27,keyasint,omitempty"`
	AccountUse        float64                  `cbor:"28,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (h *RequestHead) Check() error {
	if h.Attempt == "" {
		return baobabtide.Fieldf("Attempt", "empty")
	}
	if h.Method == "" || h.Path == "" {
		return baobabtide.Fieldf("Method, Path", "empty")
	}
	if h.RateLimit < 0 || math.IsNaN(h.RateLimit) {
		return baobabtide.Fieldf("RateLimit", "%v is not a rate", h.RateLimit)
	}
	if h.Priority < 0 || h.Priority > baobabtide.MaxRequestPriority {
		return baobabtide.Fieldf("Priority", "%d, 0 to %d are allowed", h.Priority, baobabtide.MaxRequestPriority)
	}
	if h.Account != "" {
		if err := baobabtide.CheckAccountName("Account", h.Account); err != nil {
			return err
		}
	}
	if h.AccountUse < 0 || math.IsNaN(h.AccountUse) {
		return baobabtide.Fieldf("AccountUse", "%v is not a ratio", h.AccountUse)
	}
	if h.MaxWaitMicros < 0 || h.MaxWaitMicros > maxWaitMicros {
		return baobabtide.Fieldf("MaxWaitMicros", "%d, 0 to %d are allowed", h.MaxWaitMicros, maxWaitMicros)
	}
	return nil
}

// Check returns an error for the first invalid field.
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

// ResponseFrame is one part of a forwarded response. The first frame has a Head or a
// Refusal, the last one has Last set.
type ResponseFrame struct {
	Head    *ResponseHead `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal      `cbor:"2,keyasint,omitempty"`
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Last    bool          `cbor:"4,keyasint,omitempty"`
}

// ResponseHead is a forwarded response without its body. Its fields are those of
// baobabtide.Response.
type ResponseHead struct {
	Status  int                      `cbor:"1,keyasint"`
	Header  []baobabtide.HeaderField `cbor:"2,keyasint,omitempty"`
	Length  int64                    `cbor:"3,keyasint"`
	Version string                   `cbor:"4,keyasint,omitempty"`
	Load    baobabtide.Load          `cbor:"5,keyasint"`

	Excused    bool  `cbor:"7,keyasint,omitempty"`
	TookMicros int64 `cbor:"6,keyasint"` // time until the backend server began its response
}

// Refusal reports why a request got no response. Its fields are those of
// baobabtide.RequestError.
type Refusal struct {
	Verdict          baobabtide.Verdict `cbor:"1,keyasint"`
	Reason           baobabtide.Reason  `cbor:"2,keyasint"`
	RetryAfterMicros int64              `cbor:"3,keyasint,omitempty"`
	Message          string             `cbor:"4,keyasint,omitempty"`
	Load             baobabtide.Load    `cbor:"5,keyasint"`
	Reached          bool               `cbor:"6,keyasint,omitempty"`
	Crashed          bool               `cbor:"7,keyasint,omitempty"`
}

// Check returns an error for the first invalid field.
func (f *ResponseFrame) Check() error {
	if f.Refusal != nil && f.Refusal.Verdict > baobabtide.Ran {
		return baobabtide.Fieldf("Refusal.Verdict", "%d is unknown", f.Refusal.Verdict)
	}
	if f.Head != nil {
		if err := baobabtide.CheckStatus(f.Head.Status); err != nil {
			return baobabtide.Within("Head", err)
		}
	}
	return nil
}

// SettleRequest asks whether an attempt has run.
type SettleRequest struct {
	Attempt string `cbor:"1,keyasint"`
	Process uint64 `cbor:"2,keyasint"` // process that the attempt was sent to; another one does not know its attempts
}

// SettleResponse is the response to a SettleRequest.
type SettleResponse struct {
	Verdict baobabtide.Verdict `cbor:"1,keyasint"`
}

// ResolveResponse acknowledges the outcome of a reserved key's attempt.
type ResolveResponse struct{}

// PingRequest checks whether a node responds on a connection.
type PingRequest struct{}

// PingResponse is the response to a PingRequest.
type PingResponse struct{}

// InfoRequest requests the status of a node.
type InfoRequest struct{}

// Info is the status of a node.
type Info struct {
	Node        string            `cbor:"1,keyasint"`
	Zone        string            `cbor:"2,keyasint"`
	Offset      baobabtide.Offset `cbor:"3,keyasint"`
	Peers       int               `cbor:"4,keyasint"` // number of gossip connections
	Members     int               `cbor:"5,keyasint"` // number of known live members
	Reader      bool              `cbor:"6,keyasint"` // the node reads the log
	LogUp       bool              `cbor:"7,keyasint"` // the last call to the log succeeded
	Draining    bool              `cbor:"8,keyasint"`
	InForceAt   int64             `cbor:"9,keyasint"`  // Unix time in microseconds at which the configuration came into force
	ControlIn   int64             `cbor:"10,keyasint"` // bytes of gossip received
	ControlOut  int64             `cbor:"11,keyasint"` // bytes of gossip sent
	Held        []string          `cbor:"12,keyasint,omitempty"`
	ControlNano int64             `cbor:"13,keyasint"` // processor time of the process in nanoseconds
	Resident    int64             `cbor:"14,keyasint"` // bytes of resident memory
	LogReads    int64             `cbor:"15,keyasint"`
	LogAppends  int64             `cbor:"16,keyasint"`

	RateLimits []baobabtide.ServerRateLimit `cbor:"17,keyasint,omitempty"` // of the backend servers beside the node

	Accounts    []baobabtide.AccountStatus `cbor:"18,keyasint,omitempty"` // those with the largest limits
	Coordinator bool                       `cbor:"19,keyasint,omitempty"` // the node coordinates the limits of accounts for its zone
}

// DrainRequest tells a node to drain its requests and stop.
type DrainRequest struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// DrainResponse is sent once the node admits no new requests. InFlight is the number
// of requests that are still running.
type DrainResponse struct {
	InFlight int `cbor:"1,keyasint"`
}
