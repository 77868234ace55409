package btroute

import (
	"slices"

	"github.com/baobabtide/baobabtide"
)

// Accounts finds the client accounts of a contract by the digests of their keys. It is safe for
// concurrent use.
type Accounts struct {
	terms []baobabtide.Account // of the contract
	byKey map[baobabtide.KeyDigest]*baobabtide.Account
}

// newAccounts returns the accounts of a contract, nil for none. It keeps the map of prev, which
// may be nil, if that holds the same accounts: most builds follow changes of the membership.
func newAccounts(terms []baobabtide.Account, prev *Accounts) *Accounts {
	if len(terms) == 0 {
		return nil
	}
	if prev != nil && sameAccounts(terms, prev.terms) {
		return &Accounts{terms: terms, byKey: prev.byKey}
	}
	keys := 0
	for i := range terms {
		keys += len(terms[i].Keys)
	}
	a := &Accounts{terms: terms, byKey: make(map[baobabtide.KeyDigest]*baobabtide.Account, keys)}
	for i := range terms {
		for _, key := range terms[i].Keys {
			a.byKey[key] = &terms[i]
		}
	}
	return a
}

func sameAccounts(a, b []baobabtide.Account) bool {
	if len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, func(a, b baobabtide.Account) bool {
		return a.Name == b.Name && a.Priority == b.Priority && a.RequestsPerSecond == b.RequestsPerSecond &&
			a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
	})
}

// Find returns the account that has a key, nil for none. The digest of the key may be nil. It does
// not allocate.
func (a *Accounts) Find(key *baobabtide.KeyDigest) *baobabtide.Account {
	if key == nil {
		return nil
	}
	return a.byKey[*key]
}

// Accounts returns the client accounts of a customer, nil if the contract has none and requests
// need no key.
func (t *Table) Accounts(customer string) *Accounts {
	if t == nil {
		return nil
	}
	if routes := t.customers[customer]; routes != nil {
		return routes.accounts
	}
	return nil
}
