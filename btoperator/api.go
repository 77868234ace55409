// Package btoperator provides the operator API, which every node serves as JSON
// over HTTP, and a client for it.
package btoperator

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Paths of the API.
const (
	pathPublish   = "/v1/records"
	pathStatus    = "/v1/status"
	pathContracts = "/v1/contracts"
	pathVersions  = "/v1/versions"
	pathAudit     = "/v1/audit"
	pathDrain     = "/v1/drain"
	pathAccounts  = "/v1/accounts"

	pathQuarantine = "/v1/quarantine"
	pathClear      = "/v1/quarantine/clear"
)

// Node is the operator API of a node.
type Node interface {
	// Publish appends a record to the log and waits until the node has applied
	// it. It returns the audit entry of the record, which may be a rejection.
	Publish(ctx context.Context, record *baobabtide.Record) (*PublishResult, error)
	// Status returns the state of all assignments and nodes.
	Status(ctx context.Context) (*Status, error)
	// Contracts returns the contracts in force.
	Contracts(ctx context.Context) (*Contracts, error)
	// Accounts returns the client accounts of the contracts in force.
	Accounts(ctx context.Context) (*Accounts, error)
	// Versions returns the released versions of each service.
	Versions(ctx context.Context) (*Versions, error)
	// Audit returns the audit entries that the node retains, oldest first.
	Audit(ctx context.Context) (*Audit, error)
	// Drain starts the planned stop of a node and returns without waiting for
	// its end.
	Drain(ctx context.Context, req *DrainRequest) (*DrainResult, error)
	// Quarantine returns the requests under which backend servers crashed.
	Quarantine(ctx context.Context) (*Quarantine, error)
	// Clear lets quarantined requests run again, on all nodes.
	Clear(ctx context.Context, req *ClearRequest) (*ClearResult, error)
}

// PublishResult holds the audit entry of a published record.
type PublishResult struct {
	Entry baobabtide.AuditEntry
}

// Contracts holds the contracts in force, ordered by customer.
type Contracts struct {
	Contracts []Contract
}

// Contract holds a contract with its revision.
type Contract struct {
	Revision baobabtide.Offset
	Contract baobabtide.Contract
}

// Accounts holds the client accounts that a node knows, ordered by customer and name.
type Accounts struct {
	Node     string            // node that reports the accounts
	Offset   baobabtide.Offset // of the configuration in force on that node
	Accounts []Account
}

// Account holds a client account with its customer.
type Account struct {
	Customer string
	baobabtide.Account
}

// Versions holds the released versions, ordered by service.
type Versions struct {
	Services []ServiceVersions
}

// ServiceVersions holds the released versions of a service.
type ServiceVersions struct {
	Service  string
	Revision baobabtide.Offset
	Versions []string
}

// Audit holds the entries of the audit log, oldest first.
type Audit struct {
	Entries []baobabtide.AuditEntry
}

// Status holds the state of the system as one node sees it.
type Status struct {
	Node        string            // node that reports the status
	Offset      baobabtide.Offset // of the configuration in force on that node
	LogUp       bool              // that node can reach the log
	Assignments []AssignmentStatus
	Nodes       []NodeStatus
}

// AssignmentStatus holds the state of one customer's traffic to one service.
type AssignmentStatus struct {
	Customer string
	Service  string
	Shares   []VersionShare
	Target   string                     `json:",omitempty"` // version that the latest rollout introduces
	Ended    time.Time                  `json:",omitzero"`  // end of the latest rollout, by the log's clock
	Phase    string                     `json:",omitempty"` // of the running rollout
	Started  time.Time                  `json:",omitzero"`  // start of the latest rollout
	Deadline time.Time                  `json:",omitzero"`  // of the latest rollout
	Result   baobabtide.Result          `json:",omitempty"` // of the latest rollout
	Reason   string                     `json:",omitempty"` // of the result or the phase
	Rollout  baobabtide.Offset          `json:",omitempty"` // of the latest rollout
	Held     string                     `json:",omitempty"` // assigned version if it has no known target, empty otherwise
	Evidence []baobabtide.RouteEvidence `json:",omitempty"` // for the latest rollout
}

// VersionShare holds a version's share of an assignment's traffic.
type VersionShare struct {
	Version string
	Share   float64 // 0 to 1
	Targets int     // number of targets that run the version
}

// NodeStatus holds the state of one node. The fields that the node reports itself
// are zero unless Reachable is set.
type NodeStatus struct {
	Name         string
	Zone         string
	Status       baobabtide.Status
	Reachable    bool
	Offset       baobabtide.Offset   `json:",omitempty"`
	InForceSince time.Time           `json:",omitzero"`  // when the configuration came into force, by the node's clock
	Peers        int                 `json:",omitempty"` // number of gossip connections
	Members      int                 `json:",omitempty"` // number of live nodes that the node knows, including itself
	Reader       bool                `json:",omitempty"` // the node reads the log
	LogUp        bool                `json:",omitempty"`
	Draining     bool                `json:",omitempty"`
	Held         []string            `json:",omitempty"`
	Targets      []baobabtide.Target `json:",omitempty"`
	Cost         NodeCost

	RateLimits []baobabtide.ServerRateLimit `json:",omitempty"` // that the backend servers beside the node name

	Accounts    []baobabtide.AccountStatus `json:",omitempty"` // those with the largest limits
	Coordinator bool                       `json:",omitempty"` // the node coordinates the limits of accounts for its zone
}

// NodeCost holds the resources that a node has used since it started, and its
// resident memory.
type NodeCost struct {
	ControlBytesIn  int64         // gossip received
	ControlBytesOut int64         // gossip sent
	ProcessorTime   time.Duration // of the process
	ResidentBytes   int64
	LogReads        int64
	LogAppends      int64
}

// DrainRequest asks for the planned stop of a node.
type DrainRequest struct {
	Node   string
	Reason string `json:",omitempty"`
	Actor  string // operator, for the audit log
}

// Check returns an error for the first field that is invalid.
func (r *DrainRequest) Check() error {
	if r.Node == "" {
		return baobabtide.Fieldf("Node", "empty")
	}
	return nil
}

// DrainResult holds the state of a node when its stop has begun.
type DrainResult struct {
	Node     string
	InFlight int  // requests in progress on the node
	Recorded bool // the stop was appended to the log
}

// Quarantine holds the requests under which backend servers crashed, as one node knows them,
// with the most crashes first.
type Quarantine struct {
	Requests []QuarantinedRequest
}

// QuarantinedRequest describes all requests with one digest.
type QuarantinedRequest struct {
	Digest  baobabtide.Digest
	Service string
	Method  string
	Path    string // without the query, cut to 256 bytes
	Refused bool   // such requests are refused; otherwise too few servers crashed
	Since   time.Time
	Crashed []string // backend servers that crashed, a few of them if there are many
}

// ClearRequest asks to let requests run again.
type ClearRequest struct {
	Digest baobabtide.Digest
	Reason string `json:",omitempty"`
	Actor  string // operator, for the audit log
}

// Check returns an error for the first field that is invalid.
func (r *ClearRequest) Check() error {
	if r.Digest == (baobabtide.Digest{}) {
		return baobabtide.Fieldf("Digest", "empty")
	}
	return nil
}

// ClearResult tells whether the audit log holds that requests were cleared.
type ClearResult struct {
	Recorded bool
}

// ErrorBody is the JSON body of every response with a status other than 200.
type ErrorBody struct {
	Code    ErrorCode
	Message string
}

// ErrorCode classifies an error of the API.
type ErrorCode string

// Error codes.
const (
	CodeInvalid     ErrorCode = "invalid"     // the request is invalid
	CodeNotFound    ErrorCode = "not-found"   // the path or the named object does not exist
	CodeUnavailable ErrorCode = "unavailable" // the request had no effect and can be retried
	CodeUncertain   ErrorCode = "uncertain"   // the request may have taken effect; repeat it with the same record ID
)

// Error is an error of the API.
type Error struct {
	Code ErrorCode
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Code, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
