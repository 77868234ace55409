// Package btoperator is the interface between operators and nodes: JSON over
// HTTP, served by every node.
package btoperator

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabtide/baobabtide"
)

// Paths of the interface.
const (
	pathPublish   = "/v1/records"
	pathStatus    = "/v1/status"
	pathContracts = "/v1/contracts"
	pathVersions  = "/v1/versions"
	pathAudit     = "/v1/audit"
	pathDrain     = "/v1/drain"
)

// Node answers operators.
type Node interface {
	// Publish appends a record to the log and waits until it was folded.
	Publish(ctx context.Context, record *baobabtide.Record) (*PublishResult, error)
	// Status describes the configuration in force and all nodes.
	Status(ctx context.Context) (*Status, error)
	// Contracts returns the contracts in force.
	Contracts(ctx context.Context) (*Contracts, error)
	// Versions returns what was released of each service.
	Versions(ctx context.Context) (*Versions, error)
	// Audit returns what became of the records that are remembered.
	Audit(ctx context.Context) (*Audit, error)
	// Drain stops a node in a planned way.
	Drain(ctx context.Context, req *DrainRequest) (*DrainResult, error)
}

// PublishResult says what became of a record.
type PublishResult struct {
	Entry baobabtide.AuditEntry
}

// Contracts is the answer to a question for contracts.
type Contracts struct {
	Contracts []Contract
}

// Contract is a contract with its revision.
type Contract struct {
	Revision baobabtide.Offset
	Contract baobabtide.Contract
}

// Versions is the answer to a question for versions.
type Versions struct {
	Services []ServiceVersions
}

// ServiceVersions lists what was released of one service.
type ServiceVersions struct {
	Service  string
	Revision baobabtide.Offset
	Versions []string
}

// Audit is the answer to a question for the audit trail, oldest entry first.
type Audit struct {
	Entries []baobabtide.AuditEntry
}

// Status is what a node knows of the system.
type Status struct {
	Node        string // node that answered
	Offset      baobabtide.Offset
	LogUp       bool
	Assignments []AssignmentStatus
	Nodes       []NodeStatus
}

// AssignmentStatus describes one customer's traffic on one service.
type AssignmentStatus struct {
	Customer string
	Service  string
	Shares   []VersionShare
	Target   string                     `json:",omitempty"` // version of the latest rollout
	Ended    time.Time                  `json:",omitzero"`  // of the latest rollout, by the log's clock
	Phase    string                     `json:",omitempty"` // of the running rollout
	Started  time.Time                  `json:",omitzero"`
	Deadline time.Time                  `json:",omitzero"`
	Result   baobabtide.Result          `json:",omitempty"` // of the latest rollout
	Reason   string                     `json:",omitempty"`
	Rollout  baobabtide.Offset          `json:",omitempty"`
	Held     string                     `json:",omitempty"` // assigned version without a known target
	Evidence []baobabtide.RouteEvidence `json:",omitempty"`
}

// VersionShare is the share of traffic that a version carries.
type VersionShare struct {
	Version string
	Share   float64 // 0 to 1
	Targets int
}

// NodeStatus describes one node.
type NodeStatus struct {
	Name         string
	Zone         string
	Status       baobabtide.Status
	Reachable    bool
	Offset       baobabtide.Offset   `json:",omitempty"`
	InForceSince time.Time           `json:",omitzero"` // of the version, by the node's clock
	Peers        int                 `json:",omitempty"`
	Members      int                 `json:",omitempty"`
	Reader       bool                `json:",omitempty"`
	LogUp        bool                `json:",omitempty"`
	Draining     bool                `json:",omitempty"`
	Held         []string            `json:",omitempty"`
	Targets      []baobabtide.Target `json:",omitempty"`
	Cost         NodeCost
}

// NodeCost is what a node has used since it started.
type NodeCost struct {
	ControlBytesIn  int64
	ControlBytesOut int64
	ProcessorTime   time.Duration
	ResidentBytes   int64
	LogReads        int64
	LogAppends      int64
}

// DrainRequest names the node to stop.
type DrainRequest struct {
	Node   string
	Reason string `json:",omitempty"`
	Actor  string
}

// Check reports the first field that breaks a rule.
func (r *DrainRequest) Check() error {
	if r.Node == "" {
		return baobabtide.Fieldf("Node", "empty")
	}
	return nil
}

// DrainResult says how far the stop has got.
type DrainResult struct {
	Node     string
	InFlight int  // requests still running
	Recorded bool // the audit trail has the stop
}

// ErrorBody is the body of every answer other than 200.
type ErrorBody struct {
	Code    ErrorCode
	Message string
}

// ErrorCode classifies an error of the interface.
type ErrorCode string

// Error codes.
const (
	CodeInvalid     ErrorCode = "invalid"     // the request breaks a rule
	CodeNotFound    ErrorCode = "not-found"   // what the request names does not exist
	CodeUnavailable ErrorCode = "unavailable" // nothing was done, try again
	CodeUncertain   ErrorCode = "uncertain"   // it may have been done, repeat with the same ID
)

// Error is an error of the interface.
type Error struct {
	Code ErrorCode
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Code, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
