package btroute

import (
	"math"
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// Destination holds the versions of a service that receive a customer's traffic,
// and the share of each. Its methods are safe for concurrent use.
type Destination struct {
	Customer string
	Service  string
	Terms    *baobabtide.ServiceTerms
	Current  Version
	Next     Version             // version being rolled out, empty unless a rollout is running
	Rollout  *baobabtide.Rollout // running rollout, nil for none
	Held     string              // assigned version without a known target, in whose place Current is an earlier one; empty for none
	IsOnly   bool                // Current is the version being rolled out, as no other has or had targets; Next and Rollout are empty
	lost     bool                // the other versions had targets and have none now; IsOnly is false then
	share    atomic.Uint64       // share of traffic that goes to Next, as math.Float64bits
}

// Version is a version of a service with its pool of targets.
type Version struct {
	Name string
	Pool *Pool // nil if no target is known
}

// SetShare sets the share of traffic that goes to the next version, 0 to 1.
func (d *Destination) SetShare(share float64) { d.share.Store(math.Float64bits(share)) }

// Share returns the share of traffic that goes to the next version.
func (d *Destination) Share() float64 { return math.Float64frombits(d.share.Load()) }

// Choose returns the version for a request. The point, in [0, 1), is random or
// derived from the request's key; points below the share select the next version.
// A next version without targets is never chosen.
func (d *Destination) Choose(point float64) *Version {
	if d.Rollout != nil && d.Next.Pool.Size() > 0 && point < d.Share() {
		return &d.Next
	}
	return &d.Current
}

// Distance is the network distance between a node and a target, nearest first.
type Distance uint8

// Distances between a node and a target.
const (
	SameNode Distance = iota
	SameZone
	SameRegion
	OtherRegion
)

// Target is a backend server to which requests can be routed.
type Target struct {
	Ref      baobabtide.TargetRef
	Service  string
	Version  string
	Slots    int
	Suspect  bool
	Distance Distance
	Stats    *Stats // shared by all tables that contain the target
	nodeHash uint64 // hash of the node's name, for rendezvous hashing
}

func (t *Target) key() targetKey {
	return targetKey{t.Ref.Node, t.Ref.Name, t.Ref.Incarnation}
}

// Pool holds the targets of one version, those of the node's own zone first.
type Pool struct {
	targets       []*Target
	local, remote ring // parts of targets, see arrange
}

func (p *Pool) add(t *Target) { p.targets = append(p.targets, t) }

// Size returns the number of targets, 0 for a nil pool.
func (p *Pool) Size() int {
	if p == nil {
		return 0
	}
	return len(p.targets)
}

// Targets returns the targets, those of the node's own zone first. The caller must
// not modify the slice.
func (p *Pool) Targets() []*Target {
	if p == nil {
		return nil
	}
	return p.targets
}

// Partner returns a target of the node that stores the record of a key together
// with the given node: the node that ranks highest for the key in rendezvous
// hashing, except the given one. It returns nil if no other node has a target of
// the current version.
func (d *Destination) Partner(keyHash uint64, node string) *Target {
	var best *Target
	var bestWeight uint64
	for _, t := range d.Current.Pool.Targets() {
		if t.Ref.Node == node {
			continue
		}
		if weight := mix(keyHash ^ t.nodeHash); best == nil || weight > bestWeight {
			best, bestWeight = t, weight
		}
	}
	return best
}

// Home returns the target that owns a key. Both versions of a rollout have their
// owner beside the same node, so that a repeated request finds the record of the
// first one whichever version it is sent to. If the given version has no target
// beside that node, Home returns the owner of the current version.
func (d *Destination) Home(keyHash uint64, version *Version) *Target {
	home := d.Current.Pool.Home(keyHash)
	if home == nil {
		return version.Pool.Home(keyHash)
	}
	if version == &d.Current {
		return home
	}
	for _, t := range version.Pool.Targets() {
		if t.Ref.Node == home.Ref.Node {
			return t
		}
	}
	return home
}
