package btsettings

import "github.com/baobabtide/baobabtide"

// Node says who the node is and where it stands.
type Node struct {
	Name   string // unique among all nodes
	Zone   string // availability zone
	Region string
}

// Check reports the first field that breaks a rule.
func (n *Node) Check() error {
	if n.Name == "" {
		return baobabtide.Fieldf("Name", "empty")
	}
	if n.Zone == "" {
		return baobabtide.Fieldf("Zone", "empty")
	}
	return nil
}
