package btsettings

import "github.com/baobabtide/baobabtide"

// Placement names the way in which a node chooses the target of a request.
type Placement string

// Values of Placement.
const (
	// PlacementDefault leaves the choice to the platform's adapter, PlacementFastest if it has none.
	PlacementDefault Placement = ""
	// PlacementFastest takes the target that is expected to respond first by the reports of the
	// last second.
	PlacementFastest Placement = "Fastest"
	// PlacementBalanced suits many nodes that send few requests each to targets of different and
	// varying speeds.
	PlacementBalanced Placement = "Balanced"
)

// Check returns a FieldError if the value is none of the known ones. The section is the field.
func (p Placement) Check() error {
	switch p {
	case PlacementDefault, PlacementFastest, PlacementBalanced:
		return nil
	default:
		return baobabtide.Fieldf("", "%q is neither %q nor %q", p, PlacementFastest, PlacementBalanced)
	}
}
