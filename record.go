package baobabtide

import (
	"fmt"
	"slices"
	"time"
)

// Record is one complete change of the configuration in the log. Exactly one of
// Contract, Release, Outcome, Drain and Clear is set.
type Record struct {
	ID       string         // chosen by the publisher; a later record with the same ID has no effect
	Actor    string         // who published the record
	Expected *Offset        `json:",omitempty"` // revision of the subject that the change is based on, nil for any
	Contract *Contract      `json:",omitempty"`
	Release  *Release       `json:",omitempty"`
	Outcome  *OutcomeRecord `json:",omitempty"`
	Drain    *DrainRecord   `json:",omitempty"`
	Clear    *ClearRecord   `json:",omitempty"`
}

// Release starts a rollout: the move of customers' traffic to a version of a service.
type Release struct {
	Service   string
	Version   string
	Customers []string `json:",omitempty"` // empty for every customer whose contract allows the version

	// Terms replaces the rollout terms of the contract, which need not name the
	// service yet. A release with Terms replaces a running rollout of the service.
	Terms *RolloutTerms `json:",omitempty"`
}

// Result is the outcome of a rollout.
type Result string

// Results of a rollout. The empty string means that it has not ended.
const (
	Completed Result = "Completed" // the new version has the traffic
	Reverted  Result = "Reverted"  // the old version has the traffic again
)

// OutcomeRecord ends a rollout. Only the first one for a rollout is accepted.
type OutcomeRecord struct {
	Rollout  Offset // offset of the release
	Customer string
	Service  string
	Version  string `json:",omitempty"` // version that the rollout moved traffic to
	Result   Result
	Reason   string
	Evidence []RouteEvidence `json:",omitempty"`
	Sum      uint64          `json:"-" cbor:"Sum,omitempty"` // of the release's Entry, 0 if it is not known
}

// RolloutStart is the start time of a rollout, for nodes that start while it runs.
type RolloutStart struct {
	Rollout  Offset // offset of the release
	Customer string
	Service  string
	Version  string // version that the rollout moves traffic to
	Started  time.Time
	Sum      uint64 // of the release's Entry, 0 if it is not known
}

// DrainRecord records the planned stop of a node in the audit log. It changes no
// configuration.
type DrainRecord struct {
	Node   string
	Reason string `json:",omitempty"`
}

// ClearRecord records in the audit log that an operator has cleared requests that were
// quarantined. It changes no configuration.
type ClearRecord struct {
	Digest Digest // of the requests
	Reason string `json:",omitempty"`
}

// Counts holds the numbers of requests to one version on one route.
type Counts struct {
	Requests int `cbor:"1,keyasint"`
	Failures int `cbor:"2,keyasint,omitempty"` // requests that failed or were slow
}

// RouteEvidence holds the counts of the old and the new version on one route.
type RouteEvidence struct {
	Route string `cbor:"1,keyasint"`
	Old   Counts `cbor:"2,keyasint"`
	New   Counts `cbor:"3,keyasint"`
}

// AuditEntry describes a record of the log and whether it was accepted.
type AuditEntry struct {
	Offset   Offset
	Time     time.Time
	ID       string
	Actor    string
	Kind     string // as Record.Kind returns it
	Subject  string // as Record.Subject returns it
	Sum      uint64 `json:"-" cbor:"Sum,omitempty"` // as in the Entry
	Before   Offset // revision of the subject before the record
	After    Offset // revision of the subject after it, equal to Before if it was rejected
	Accepted bool
	Reason   string `json:",omitempty"` // why the record was rejected, or the result and reason of an accepted outcome
}

// Rollout is the move of one customer's traffic for one service to another version.
type Rollout struct {
	Offset   Offset // offset of the release
	Customer string
	Service  string
	From     string    // version that had the traffic before
	To       string    // version that the traffic moves to
	Started  time.Time // by the log's clock
	Terms    RolloutTerms
	Former   []Offset        `json:",omitempty"`                // of the same release in earlier epochs of the log, in increasing order
	Sum      uint64          `json:"-" cbor:"Sum,omitempty"`    // of the release's Entry
	Unseen   []FormerRollout `json:"-" cbor:"Unseen,omitempty"` // rollouts of earlier epochs that it has replaced, and whose releases had not come in a later one
	Result   Result          `json:",omitempty"`                // empty while the rollout runs
	Reason   string          `json:",omitempty"`
	Ended    time.Time       `json:",omitzero"` // by the log's clock
	Evidence []RouteEvidence `json:",omitempty"`
}

// FormerRollout identifies a rollout of an earlier epoch of the log.
type FormerRollout struct {
	Offsets []Offset // of the release, in increasing order
	Sum     uint64   // of the release's Entry
}

// Is reports whether a rollout of the same customer and service is this one, by the offset and the sum of its
// release, 0 if that is not known, and the version that it moves traffic to. A release that a restored log has
// kept has the number that it had in the epochs before.
func (r *Rollout) Is(offset Offset, version string, sum uint64) bool {
	if r.Offset == offset || slices.Contains(r.Former, offset) {
		return true
	}
	return r.Offset.Epoch() != offset.Epoch() && r.Offset.Number() == offset.Number() && r.To == version && (r.Sum == 0 || sum == 0 || r.Sum == sum)
}

// Deadline returns the time by which the rollout must end.
func (r *Rollout) Deadline() time.Time { return r.Started.Add(r.Terms.CompleteWithin) }

// Bounds on the fields of a record.
const (
	maxRecordIDLength = 64
	maxReasonLength   = 1024
	maxCustomers      = 4096
	// MaxRecordSize is the size of the largest encoded record, in bytes.
	MaxRecordSize = 8 << 20
)

// Check returns an error for the first field that is invalid, nil if none is. The
// error is or wraps a FieldError.
func (r *Record) Check() error {
	if r.ID == "" || len(r.ID) > maxRecordIDLength {
		return Fieldf("ID", "%q, 1 to %d bytes are allowed", r.ID, maxRecordIDLength)
	}
	if r.Actor == "" || len(r.Actor) > maxNameLength {
		return Fieldf("Actor", "%q, 1 to %d bytes are allowed", r.Actor, maxNameLength)
	}
	return r.checkBody()
}

// checkBody checks the one of Contract, Release, Outcome, Drain and Clear that is set. It
// returns an error unless there is exactly one.
func (r *Record) checkBody() error {
	bodies := 0
	for _, body := range []struct {
		name  string
		set   bool
		check func() error
	}{
		{"Contract", r.Contract != nil, r.Contract.Check},
		{"Release", r.Release != nil, r.Release.Check},
		{"Outcome", r.Outcome != nil, r.Outcome.Check},
		{"Drain", r.Drain != nil, r.Drain.Check},
		{"Clear", r.Clear != nil, r.Clear.Check},
	} {
		if !body.set {
			continue
		}
		bodies++
		if err := body.check(); err != nil {
			return fmt.Errorf("%s.%w", body.name, err)
		}
	}
	if bodies != 1 {
		return Fieldf("Contract, Release, Outcome, Drain, Clear", "%d are set, 1 is needed", bodies)
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (r *Release) Check() error {
	if err := CheckName("Service", r.Service); err != nil {
		return err
	}
	if err := CheckName("Version", r.Version); err != nil {
		return err
	}
	if len(r.Customers) > maxCustomers {
		return Fieldf("Customers", "%d exceed %d", len(r.Customers), maxCustomers)
	}
	if r.Terms != nil {
		if err := r.Terms.Check(); err != nil {
			return Within("Terms", err)
		}
		if len(r.Customers) == 0 {
			return Fieldf("Customers", "empty, Terms need them")
		}
	}
	for i, c := range r.Customers {
		if err := CheckName(fmt.Sprintf("Customers[%d]", i), c); err != nil {
			return err
		}
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (o *OutcomeRecord) Check() error {
	if o.Rollout == 0 {
		return Fieldf("Rollout", "0 is no offset")
	}
	if err := CheckName("Customer", o.Customer); err != nil {
		return err
	}
	if err := CheckName("Service", o.Service); err != nil {
		return err
	}
	if o.Version != "" {
		if err := CheckName("Version", o.Version); err != nil {
			return err
		}
	}
	if o.Result != Completed && o.Result != Reverted {
		return Fieldf("Result", "%q is neither %q nor %q", o.Result, Completed, Reverted)
	}
	if len(o.Reason) > maxReasonLength {
		return Fieldf("Reason", "%d bytes exceed %d", len(o.Reason), maxReasonLength)
	}
	if len(o.Evidence) > maxEvidence {
		return Fieldf("Evidence", "%d routes exceed %d", len(o.Evidence), maxEvidence)
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (s *RolloutStart) Check() error {
	if s.Rollout == 0 {
		return Fieldf("Rollout", "0 is no offset")
	}
	for _, name := range []struct{ field, value string }{{"Customer", s.Customer}, {"Service", s.Service}, {"Version", s.Version}} {
		if err := CheckName(name.field, name.value); err != nil {
			return err
		}
	}
	return nil
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (d *DrainRecord) Check() error {
	if len(d.Reason) > maxReasonLength {
		return Fieldf("Reason", "%d bytes exceed %d", len(d.Reason), maxReasonLength)
	}
	return CheckName("Node", d.Node)
}

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (c *ClearRecord) Check() error {
	if len(c.Reason) > maxReasonLength {
		return Fieldf("Reason", "%d bytes exceed %d", len(c.Reason), maxReasonLength)
	}
	if c.Digest == (Digest{}) {
		return Fieldf("Digest", "empty")
	}
	return nil
}

// Kind returns the name of the one field that is set: Contract, Release, Outcome,
// Drain or Clear.
func (r *Record) Kind() string {
	switch {
	case r.Contract != nil:
		return "Contract"
	case r.Release != nil:
		return "Release"
	case r.Outcome != nil:
		return "Outcome"
	case r.Clear != nil:
		return "Clear"
	default:
		return "Drain"
	}
}

// Subject returns the name of the object that the record changes: a customer, a
// service, customer and service joined by a slash, a node, or a digest.
func (r *Record) Subject() string {
	switch {
	case r.Contract != nil:
		return r.Contract.Customer
	case r.Release != nil:
		return r.Release.Service
	case r.Outcome != nil:
		return r.Outcome.Customer + "/" + r.Outcome.Service
	case r.Drain != nil:
		return r.Drain.Node
	case r.Clear != nil:
		return r.Clear.Digest.String()
	default:
		return ""
	}
}

// Assignment is the version of a service that gets a customer's traffic, with the
// latest rollout.
type Assignment struct {
	Customer string
	Service  string
	Current  string   // version that gets the traffic, the old one while a rollout runs, or AnyVersion
	Rollout  *Rollout `json:",omitempty"` // latest rollout, nil before the first
	InForce  string   `json:",omitempty"` // version of the latest completed rollout, for AnyVersion only; empty before the first
	Refused  []string `json:",omitempty"` // versions that were reverted and get no traffic, for AnyVersion only; without InForce
}

// AnyVersion is the current version of an unversioned service: the one in force, or
// before any is, all announced versions except those that a rollout moves traffic to
// or has reverted.
const AnyVersion = "*"

// Running reports whether there is a rollout that has not ended.
func (a *Assignment) Running() bool { return a.Rollout != nil && a.Rollout.Result == "" }
