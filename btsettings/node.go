package btsettings

import "github.com/baobabtide/baobabtide"

// Node holds the name and the location of the node.
type Node struct {
	Name   string // unique among all nodes
	Zone   string // availability zone
	Region string
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (n *Node) Check() error {
	if n.Name == "" {
		return baobabtide.Fieldf("Name", "empty")
	}
	if n.Zone == "" {
		return baobabtide.Fieldf("Zone", "empty")
	}
	return nil
}
