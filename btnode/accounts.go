package btnode

import (
	"cmp"
	"context"
	"slices"

	"github.com/baobabtide/baobabtide/btoperator"
)

// Accounts implements btoperator.Node.
func (n *Node) Accounts(context.Context) (*btoperator.Accounts, error) {
	result := &btoperator.Accounts{Node: n.locality.Node, Offset: n.inForce()}
	for customer, c := range n.config.State().Contracts {
		for _, account := range c.Contract.Accounts {
			result.Accounts = append(result.Accounts, btoperator.Account{Customer: customer, Account: account})
		}
	}
	slices.SortFunc(result.Accounts, func(a, b btoperator.Account) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Name, b.Name))
	})
	return result, nil
}
