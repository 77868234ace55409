package btconfig

import (
	"fmt"
	"slices"
	"sort"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

// RejectReason classifies why a record had no effect.
type RejectReason string

// Reasons of a rejection.
const (
	RejectInvalid   RejectReason = "invalid"   // malformed, too large or rejected by its Check method
	RejectRevision  RejectReason = "revision"  // the expected revision is not the current one, or the publisher's is too old
	RejectDuplicate RejectReason = "duplicate" // an earlier record has the same ID
	RejectConflict  RejectReason = "conflict"  // contradicts the state, such as a running rollout
)

// RejectError is the rejection of a record, with its reason.
type RejectError struct {
	Reason  RejectReason
	Message string
}

// Error returns the reason and the message, as the audit log keeps them.
func (e *RejectError) Error() string { return string(e.Reason) + ": " + e.Message }

// reject returns a RejectError with a formatted message.
func reject(reason RejectReason, format string, args ...any) *RejectError {
	return &RejectError{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Fold returns the state after one entry of the log and leaves s unchanged. A
// record that is rejected changes nothing but the offset and the audit log. For
// an entry at or below the state's offset Fold returns s.
func Fold(s *State, entry baobabtide.Entry) *State {
	if entry.Offset <= s.Offset {
		return s
	}
	next := s.clone()
	next.Offset = entry.Offset
	audit := baobabtide.AuditEntry{Offset: entry.Offset, Time: entry.Time.UTC(), Kind: "Invalid", Sum: entry.Sum}
	rec, err := decodeRecord(entry.Data)
	if err != nil {
		audit.Reason = reject(RejectInvalid, "%v", err).Error()
		next.Audit = s.Audit.Append(audit)
		return next
	}
	audit.ID, audit.Actor, audit.Kind, audit.Subject = rec.ID, rec.Actor, rec.Kind(), rec.Subject()
	if first, ok := s.Audit.Find(rec.ID); ok {
		audit.ID = ""
		audit.Before, audit.After = first.Before, first.After
		audit.Reason = reject(RejectDuplicate, "ID %q was decided at offset %d", rec.ID, first.Offset).Error()
		next.Audit = s.Audit.Append(audit)
		return next
	}
	audit.Before = s.revision(rec)
	if rejection := next.apply(rec, entry); rejection != nil {
		next = s.clone()
		next.Offset = entry.Offset
		audit.After = audit.Before
		audit.Reason = rejection.Error()
	} else {
		audit.Accepted = true
		audit.After = entry.Offset
		if rec.Outcome != nil {
			audit.Reason = string(rec.Outcome.Result) + ": " + rec.Outcome.Reason
		}
	}
	next.Audit = s.Audit.Append(audit)
	next.reconcileOutcomes()
	return next
}

// decodeRecord decodes a record and checks its size and its fields.
func decodeRecord(data []byte) (*baobabtide.Record, error) {
	if len(data) > baobabtide.MaxRecordSize {
		return nil, fmt.Errorf("record of %d bytes exceeds %d", len(data), baobabtide.MaxRecordSize)
	}
	return btcodec.DecodeJSON[baobabtide.Record](data)
}

// revision returns the current revision of a record's subject: the offset of the
// record that set it, 0 for none.
func (s *State) revision(rec *baobabtide.Record) baobabtide.Offset {
	switch {
	case rec.Contract != nil:
		return s.Contracts[rec.Contract.Customer].Revision
	case rec.Release != nil:
		return s.Services[rec.Release.Service].Revision
	case rec.Outcome != nil:
		return rec.Outcome.Rollout
	default:
		return 0
	}
}

// apply makes the changes of a record in s, which must be a clone, or returns why
// the record is rejected. After a rejection s may be changed in part.
func (s *State) apply(rec *baobabtide.Record, entry baobabtide.Entry) *RejectError {
	if current := s.revision(rec); rec.Expected != nil && *rec.Expected != current {
		return reject(RejectRevision, "%s %q is at revision %d, not %d", rec.Kind(), rec.Subject(), current, *rec.Expected)
	}
	switch {
	case rec.Contract != nil:
		return s.applyContract(rec.Contract, entry.Offset)
	case rec.Release != nil:
		return s.applyRelease(rec.Release, entry)
	case rec.Outcome != nil:
		return s.applyOutcome(rec.Outcome, entry)
	default:
		return nil
	}
}

// applyContract puts a contract in force and drops the assignments of services
// that it no longer names.
func (s *State) applyContract(c *baobabtide.Contract, offset baobabtide.Offset) *RejectError {
	if current := s.Contracts[c.Customer].Contract.Revision; c.Revision < current {
		return reject(RejectRevision, "the publisher's revision %d is older than %d, which is in force", c.Revision, current)
	}
	inContract := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		inContract[c.Services[i].Service] = true
		if rejection := s.assignContract(c.Customer, &c.Services[i]); rejection != nil {
			return rejection
		}
	}
	for key, a := range s.Assignments {
		if a.Customer != c.Customer || inContract[a.Service] || a.Current == baobabtide.AnyVersion {
			continue
		}
		if a.Running() {
			return reject(RejectConflict, "a rollout of service %q runs, the contract can't drop it", a.Service)
		}
		delete(s.Assignments, key)
	}
	s.Contracts[c.Customer] = ContractState{Revision: offset, Contract: *c}
	return nil
}

// assignContract rejects terms that do not allow the versions in use. If the customer
// has no assignment for the service yet, it adds one with the newest version that the
// terms allow.
func (s *State) assignContract(customer string, terms *baobabtide.ServiceTerms) *RejectError {
	key := AssignmentKey(customer, terms.Service)
	a, ok := s.Assignments[key]
	if terms.Unversioned {
		if !ok {
			s.Assignments[key] = baobabtide.Assignment{Customer: customer, Service: terms.Service, Current: baobabtide.AnyVersion}
		}
		return nil
	}
	if ok {
		if !terms.Allows(a.Current) {
			return reject(RejectConflict, "version %q of service %q carries the traffic and is not allowed", a.Current, terms.Service)
		}
		if a.Running() && !terms.Allows(a.Rollout.To) {
			return reject(RejectConflict, "version %q of service %q is being rolled out and is not allowed", a.Rollout.To, terms.Service)
		}
		return nil
	}
	versions := s.Services[terms.Service].Versions
	for i := len(versions) - 1; i >= 0; i-- {
		if terms.Allows(versions[i]) {
			s.Assignments[key] = baobabtide.Assignment{Customer: customer, Service: terms.Service, Current: versions[i]}
			return nil
		}
	}
	return nil
}

// applyRelease starts a rollout for each customer that a release applies to and
// adds the version to those of the service.
func (s *State) applyRelease(r *baobabtide.Release, entry baobabtide.Entry) *RejectError {
	if r.Terms != nil {
		return s.applyUnversioned(r, entry)
	}
	customers, rejection := s.releaseCustomers(r)
	if rejection != nil {
		return rejection
	}
	for _, customer := range customers {
		key := AssignmentKey(customer, r.Service)
		a := s.Assignments[key]
		if a.Running() {
			return reject(RejectConflict, "the rollout of version %q to customer %q runs", a.Rollout.To, customer)
		}
		if a.Current == r.Version {
			return reject(RejectConflict, "version %q already carries the traffic of customer %q", r.Version, customer)
		}
		s.Assignments[key] = s.startRollout(a, customer, r, entry)
	}
	service := s.Services[r.Service]
	service.Revision = entry.Offset
	if !slices.Contains(service.Versions, r.Version) {
		service.Versions = append(slices.Clone(service.Versions), r.Version)
	}
	s.Services[r.Service] = service
	return nil
}

// applyUnversioned starts rollouts of an unversioned service under the release's
// own terms. They replace running ones, whose versions are taken back. A release that a restored log
// has kept, or that was written again, starts nothing; it is rejected if a later one is known.
func (s *State) applyUnversioned(r *baobabtide.Release, entry baobabtide.Entry) *RejectError {
	former := 0
	for _, customer := range r.Customers {
		key := AssignmentKey(customer, r.Service)
		a := s.Assignments[key]
		rollout := &baobabtide.Rollout{
			Offset:   entry.Offset,
			Customer: customer,
			Service:  r.Service,
			From:     baobabtide.AnyVersion,
			To:       r.Version,
			Started:  entry.Time.UTC(),
			Terms:    *r.Terms,
			Sum:      entry.Sum,
		}
		switch s.relation(&a, rollout) {
		case formerRelease:
			former++
			continue
		case sameRelease:
			a.Rollout = moveRollout(a.Rollout, entry.Offset)
			s.Assignments[key] = a
			continue
		}
		if a.Rollout != nil {
			replace(a.Rollout, rollout)
		}
		if a.Current == baobabtide.AnyVersion && a.Running() && !isUnseen(a.Rollout, rollout) {
			s.Outcomes, _ = insertOutcome(s.Outcomes, replacedOutcome(customer, r.Service, a.Rollout.Offset, a.Rollout.To, a.Rollout.Sum))
		}
		s.Assignments[key] = baobabtide.Assignment{Customer: customer, Service: r.Service, Current: baobabtide.AnyVersion, Rollout: rollout}
	}
	if former > 0 && former == len(r.Customers) {
		return reject(RejectDuplicate, "version %q was released before the log was restored, and a later one since", r.Version)
	}
	return nil
}

// releaseCustomers returns the customers that a release applies to: those that it
// names, or else all whose contracts allow the version, sorted. It rejects a
// release that a named customer's contract or every contract forbids.
func (s *State) releaseCustomers(r *baobabtide.Release) ([]string, *RejectError) {
	if len(r.Customers) > 0 {
		for _, customer := range r.Customers {
			terms, ok := s.Terms(customer, r.Service)
			if !ok {
				return nil, reject(RejectConflict, "customer %q has no contract for service %q", customer, r.Service)
			}
			if !terms.Allows(r.Version) {
				return nil, reject(RejectConflict, "the contract of customer %q does not allow version %q", customer, r.Version)
			}
		}
		return r.Customers, nil
	}
	var customers []string
	for customer := range s.Contracts {
		if terms, ok := s.Terms(customer, r.Service); ok && terms.Allows(r.Version) {
			customers = append(customers, customer)
		}
	}
	if len(customers) == 0 {
		return nil, reject(RejectConflict, "no contract allows version %q of service %q", r.Version, r.Service)
	}
	sort.Strings(customers)
	return customers, nil
}

// startRollout returns the assignment with a rollout to the released version. If the
// customer's traffic has no version yet, the rollout is completed at once.
func (s *State) startRollout(a baobabtide.Assignment, customer string, r *baobabtide.Release, entry baobabtide.Entry) baobabtide.Assignment {
	terms, _ := s.Terms(customer, r.Service)
	rollout := &baobabtide.Rollout{
		Offset:   entry.Offset,
		Customer: customer,
		Service:  r.Service,
		From:     a.Current,
		To:       r.Version,
		Started:  entry.Time.UTC(),
		Terms:    terms.Rollout,
	}
	if a.Current != "" {
		return baobabtide.Assignment{Customer: customer, Service: r.Service, Current: a.Current, Rollout: rollout}
	}
	rollout.Result = baobabtide.Completed
	rollout.Reason = "first version"
	rollout.Ended = entry.Time.UTC()
	return baobabtide.Assignment{Customer: customer, Service: r.Service, Current: r.Version, Rollout: rollout}
}

// applyOutcome ends a rollout. The record is rejected unless it names the latest
// rollout of the customer and service and that rollout still runs.
func (s *State) applyOutcome(o *baobabtide.OutcomeRecord, entry baobabtide.Entry) *RejectError {
	key := AssignmentKey(o.Customer, o.Service)
	a, ok := s.Assignments[key]
	if !ok || a.Rollout == nil || a.Rollout.Offset != o.Rollout {
		return reject(RejectConflict, "rollout %d is not the latest of %s", o.Rollout, key)
	}
	if a.Rollout.Result != "" {
		return reject(RejectConflict, "rollout %d ended as %s", o.Rollout, a.Rollout.Result)
	}
	ended := *a.Rollout
	ended.Result = o.Result
	ended.Reason = o.Reason
	ended.Ended = entry.Time.UTC()
	ended.Evidence = o.Evidence
	a.Rollout = &ended
	switch {
	case a.Current == baobabtide.AnyVersion:
		s.Outcomes, _ = insertOutcome(s.Outcomes, o) // reconcileOutcomes works out the version in force
	case o.Result == baobabtide.Completed:
		a.Current = ended.To
	}
	s.Assignments[key] = a
	return nil
}
