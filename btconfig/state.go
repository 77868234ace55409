// Package btconfig folds the records of the platform's log into the current
// configuration. Every node folds the same records with the same pure function,
// so all nodes accept and reject the same ones.
package btconfig

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabtide/baobabtide"
)

// State is the configuration at one offset of the log. It is immutable: Fold
// returns a new State that shares the unchanged parts.
type State struct {
	Offset      baobabtide.Offset                `cbor:"1,keyasint"`
	Contracts   map[string]ContractState         `cbor:"2,keyasint,omitempty"` // by customer
	Services    map[string]ServiceState          `cbor:"3,keyasint,omitempty"` // by service
	Assignments map[string]baobabtide.Assignment `cbor:"4,keyasint,omitempty"` // by AssignmentKey
	Audit       AuditLog                         `cbor:"5,keyasint,omitempty"`
	Outcomes    []baobabtide.OutcomeRecord       `cbor:"6,keyasint,omitempty"` // of unversioned services, ordered by compareOutcomes; they come from the outcome log or by gossip
}

// ContractState holds a customer's contract and its revision.
type ContractState struct {
	Revision baobabtide.Offset   `cbor:"1,keyasint"` // offset of the record that set it
	Contract baobabtide.Contract `cbor:"2,keyasint"`
}

// ServiceState lists the released versions of a service.
type ServiceState struct {
	Revision baobabtide.Offset `cbor:"1,keyasint"` // offset of the last accepted release
	Versions []string          `cbor:"2,keyasint"` // in order of first release, without repeats
}

// AssignmentKey returns the key of a customer's service in State.Assignments.
func AssignmentKey(customer, service string) string { return customer + "/" + service }

// Terms returns a customer's terms for a service and whether the customer has a
// contract that names the service.
func (s *State) Terms(customer, service string) (*baobabtide.ServiceTerms, bool) {
	c, ok := s.Contracts[customer]
	if !ok {
		return nil, false
	}
	for i := range c.Contract.Services {
		if c.Contract.Services[i].Service == service {
			return &c.Contract.Services[i], true
		}
	}
	return nil, false
}

// Running returns the rollouts that have not ended, ordered by offset.
func (s *State) Running() []baobabtide.Rollout {
	var running []baobabtide.Rollout
	for _, a := range s.Assignments {
		if a.Running() {
			running = append(running, *a.Rollout)
		}
	}
	slices.SortFunc(running, compareRollouts)
	return running
}

// compareRollouts orders rollouts by offset, then by assignment key.
func compareRollouts(a, b baobabtide.Rollout) int {
	if a.Offset != b.Offset {
		return cmp.Compare(a.Offset, b.Offset)
	}
	return slices.Compare([]byte(AssignmentKey(a.Customer, a.Service)), []byte(AssignmentKey(b.Customer, b.Service)))
}

// clone returns a copy whose maps may be changed.
func (s *State) clone() *State {
	c := &State{
		Offset:      s.Offset,
		Contracts:   maps.Clone(s.Contracts),
		Services:    maps.Clone(s.Services),
		Assignments: maps.Clone(s.Assignments),
		Audit:       s.Audit,
		Outcomes:    s.Outcomes,
	}
	if c.Contracts == nil {
		c.Contracts = make(map[string]ContractState)
	}
	if c.Services == nil {
		c.Services = make(map[string]ServiceState)
	}
	if c.Assignments == nil {
		c.Assignments = make(map[string]baobabtide.Assignment)
	}
	return c
}

const (
	auditChunkSize  = 64   // entries in one chunk, the largest number that Append copies
	maxAuditEntries = 4096 // about three days at 1,300 changes a day
)

// AuditLog holds the newest audit entries. Append returns a new value and
// copies no more than one chunk.
type AuditLog struct {
	Chunks [][]baobabtide.AuditEntry `cbor:"1,keyasint,omitempty"` // each of 1 to auditChunkSize entries
}

// Append returns a log with one more entry. Once it would exceed maxAuditEntries,
// it drops the oldest chunk.
func (l AuditLog) Append(e baobabtide.AuditEntry) AuditLog {
	chunks := slices.Clone(l.Chunks)
	last := len(chunks) - 1
	if last >= 0 && len(chunks[last]) < auditChunkSize {
		chunks[last] = append(slices.Clone(chunks[last]), e)
	} else {
		chunks = append(chunks, []baobabtide.AuditEntry{e})
	}
	if len(chunks) > maxAuditEntries/auditChunkSize {
		chunks = chunks[1:]
	}
	return AuditLog{Chunks: chunks}
}

// Find returns the entry with a record's ID and whether there is one.
func (l AuditLog) Find(id string) (baobabtide.AuditEntry, bool) {
	for i := len(l.Chunks) - 1; i >= 0; i-- {
		for j := len(l.Chunks[i]) - 1; j >= 0; j-- {
			if l.Chunks[i][j].ID == id {
				return l.Chunks[i][j], true
			}
		}
	}
	return baobabtide.AuditEntry{}, false
}

// covers reports whether the log holds all entries from an offset on.
func (l AuditLog) covers(offset baobabtide.Offset) bool {
	if len(l.Chunks) < maxAuditEntries/auditChunkSize {
		return true
	}
	return l.Chunks[0][0].Offset <= offset
}

// hasSum reports whether there is an entry of an epoch of the log with a sum, which is not 0.
func (l AuditLog) hasSum(epoch uint32, sum uint64) bool {
	return l.contains(func(e baobabtide.AuditEntry) bool { return e.Sum == sum && e.Offset.Epoch() == epoch })
}

// hasSumBefore reports whether there is an entry before an offset with a sum, which is not 0.
func (l AuditLog) hasSumBefore(offset baobabtide.Offset, sum uint64) bool {
	return l.contains(func(e baobabtide.AuditEntry) bool { return e.Sum == sum && e.Offset < offset })
}

func (l AuditLog) contains(matches func(baobabtide.AuditEntry) bool) bool {
	return slices.ContainsFunc(l.Chunks, func(chunk []baobabtide.AuditEntry) bool { return slices.ContainsFunc(chunk, matches) })
}

// At returns the entry of the record at an offset and whether there is one.
func (l AuditLog) At(offset baobabtide.Offset) (baobabtide.AuditEntry, bool) {
	for i := len(l.Chunks) - 1; i >= 0; i-- {
		for j := len(l.Chunks[i]) - 1; j >= 0 && l.Chunks[i][j].Offset >= offset; j-- {
			if l.Chunks[i][j].Offset == offset {
				return l.Chunks[i][j], true
			}
		}
	}
	return baobabtide.AuditEntry{}, false
}

// Entries returns all entries, oldest first.
func (l AuditLog) Entries() []baobabtide.AuditEntry {
	return slices.Concat(l.Chunks...)
}
