package btsettings

import (
	"time"

	"github.com/baobabtide/baobabtide"
)

const (
	minMemoryMegabytes = 24 // a node without clients needs about 18
	maxMemoryMegabytes = 1 << 24
	minDescriptors     = 512 // connections to nodes and backend servers need about 200
	maxDescriptors     = 1 << 24
)

// Limits holds the limits of the VM or container that apply to the node.
type Limits struct {
	// MemoryMegabytes is the memory of the node in units of 10^6 bytes, 0 for the limit of its
	// control group. If it is set, the node bounds its heap and refuses clients that send or
	// read slowly, or requests with very many header fields, also while memory is not short.
	MemoryMegabytes float64 `json:",omitzero"`

	// Descriptors is the number of file descriptors that the node may have open, 0 for no limit.
	Descriptors int `json:",omitzero"`

	// GraceSeconds is the time from the signal to stop until the platform kills the process, 0 if it
	// doesn't. If it is set, a planned stop may use all of it but for the end of the process, whatever
	// the drain terms of contracts and settings are.
	GraceSeconds float64 `json:",omitzero"`
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (l *Limits) Check() error {
	if l.MemoryMegabytes != 0 && !(l.MemoryMegabytes >= minMemoryMegabytes && l.MemoryMegabytes <= maxMemoryMegabytes) {
		return baobabtide.Fieldf("MemoryMegabytes", "%g, 0 or %d to %d are allowed", l.MemoryMegabytes, minMemoryMegabytes, maxMemoryMegabytes)
	}
	if l.Descriptors != 0 && (l.Descriptors < minDescriptors || l.Descriptors > maxDescriptors) {
		return baobabtide.Fieldf("Descriptors", "%d, 0 or %d to %d are allowed", l.Descriptors, minDescriptors, maxDescriptors)
	}
	if !(l.GraceSeconds >= 0) {
		return baobabtide.Fieldf("GraceSeconds", "%g is negative", l.GraceSeconds)
	}
	return nil
}

// Memory returns the memory of the node in bytes, 0 for the limit of its control group.
func (l *Limits) Memory() int64 { return int64(l.MemoryMegabytes * 1e6) }

// Fraction of Descriptors that connections of callers may use.
const (
	callerDescriptorsNum = 4
	callerDescriptorsDen = 5
)

// Connections returns the number of open connections of callers, of which the settings allow
// most. The other descriptors are for nodes, backend servers and the other listeners.
func (l *Limits) Connections(most int) int {
	if l.Descriptors == 0 {
		return most
	}
	return min(most, l.Descriptors*callerDescriptorsNum/callerDescriptorsDen)
}

const maxGraceSeconds = 1 << 30 // as far as a duration holds it; drain terms end far earlier

// Grace returns the time from the signal to stop until the platform kills the process, 0 if it doesn't.
func (l *Limits) Grace() time.Duration {
	return time.Duration(min(l.GraceSeconds, maxGraceSeconds) * float64(time.Second))
}
