package btsettings

import "fmt"

// Node says who the node is and where it stands.
type Node struct {
	Name   string // unique among all nodes
	Zone   string // availability zone
	Region string
}

// Check reports the first field that breaks a rule.
func (n *Node) Check() error {
	if n.Name == "" {
		return fmt.Errorf("Name: empty")
	}
	if n.Zone == "" {
		return fmt.Errorf("Zone: empty")
	}
	return nil
}
