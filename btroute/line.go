package btroute

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/baobabtide/baobabtide"
)

// Line holds the versions that carry a customer's traffic on a service.
type Line struct {
	Customer string
	Service  string
	Terms    *baobabtide.ServiceTerms
	Current  Version
	Next     Version             // empty unless a rollout runs
	Rollout  *baobabtide.Rollout // nil unless a rollout runs
	Held     string              // assigned version without a known target, empty if none
	share    atomic.Uint64       // bits of the share of traffic that goes to Next
}

// Version is a version of a service with its targets.
type Version struct {
	Name string
	Pool *Pool // nil for no targets
}

// SetShare sets the share of traffic that goes to the next version, 0 to 1.
func (l *Line) SetShare(share float64) { l.share.Store(math.Float64bits(share)) }

// Share returns the share of traffic that goes to the next version.
func (l *Line) Share() float64 { return math.Float64frombits(l.share.Load()) }

// Choose returns the version for a request. The point, 0 to below 1, is drawn
// at random or derived from the request's key. A next version without targets
// gets nothing.
func (l *Line) Choose(point float64) *Version {
	if l.Rollout != nil && l.Next.Pool.Size() > 0 && point < l.Share() {
		return &l.Next
	}
	return &l.Current
}

// Distance orders targets by how near they are.
type Distance uint8

// Distances between a node and a target.
const (
	SameNode Distance = iota
	SameZone
	SameRegion
	OtherRegion
)

// Target is a backend server that a route may use.
type Target struct {
	Ref      baobabtide.TargetRef
	Service  string
	Version  string
	Slots    int
	Suspect  bool
	Distance Distance
	Stats    *Stats // shared by all tables that know the target
	hash     uint64 // of the node's name
}

func (t *Target) key() targetKey {
	return targetKey{t.Ref.Node, t.Ref.Name, t.Ref.Incarnation}
}

// Pool holds the targets of one version, near ones first.
type Pool struct {
	targets []*Target
	near    int // number of targets in the node's own zone
}

func (p *Pool) add(t *Target) { p.targets = append(p.targets, t) }

func (p *Pool) sort() {
	slices.SortFunc(p.targets, func(a, b *Target) int {
		an, bn := a.Distance <= SameZone, b.Distance <= SameZone
		if an != bn {
			if an {
				return -1
			}
			return 1
		}
		if a.Ref.Node != b.Ref.Node {
			return strings.Compare(a.Ref.Node, b.Ref.Node)
		}
		return strings.Compare(a.Ref.Name, b.Ref.Name)
	})
	p.near = 0
	for _, t := range p.targets {
		if t.Distance <= SameZone {
			p.near++
		}
	}
}

// Size returns the number of targets. A nil pool has none.
func (p *Pool) Size() int {
	if p == nil {
		return 0
	}
	return len(p.targets)
}

// Targets returns the targets, near ones first.
func (p *Pool) Targets() []*Target {
	if p == nil {
		return nil
	}
	return p.targets
}

// Partner returns a target of the node that remembers a key together with the
// given node: the first other one in the key's order, or nil for none.
func (l *Line) Partner(keyHash uint64, node string) *Target {
	var best *Target
	var bestWeight uint64
	for _, t := range l.Current.Pool.Targets() {
		if t.Ref.Node == node {
			continue
		}
		if w := mix(keyHash ^ t.hash); best == nil || w > bestWeight {
			best, bestWeight = t, w
		}
	}
	return best
}

// Home returns the target that a key belongs to. It lies beside the same node
// for both versions of a rollout, so that a repeat meets the record of the
// first request whichever version it is sent to.
func (l *Line) Home(keyHash uint64, version *Version) *Target {
	home := l.Current.Pool.Home(keyHash)
	if home == nil {
		return version.Pool.Home(keyHash)
	}
	if version == &l.Current {
		return home
	}
	for _, t := range version.Pool.Targets() {
		if t.Ref.Node == home.Ref.Node {
			return t
		}
	}
	return home
}
