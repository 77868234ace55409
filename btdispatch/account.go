package btdispatch

import (
	"errors"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btroute"
)

// Causes of refusals with ReasonUnknownKey.
var (
	errNoKey      = errors.New("the request has no account key")
	errInvalidKey = errors.New("the request has an empty or overlong account key, or several")
	errUnknownKey = errors.New("no account has the key of the request")
)

// identify sets the account and the priority of a request on a route. It refuses a request without
// the key of an account unless the route is public or the contract has no accounts. A request
// without an account ranks among those of accounts by the priority of its route, so that a
// contract can place calls, which carry no key, before or behind the work of each account.
func identify(req *baobabtide.Request, accounts *btroute.Accounts, terms *baobabtide.RouteTerms) *baobabtide.RequestError {
	req.Priority = terms.Priority
	if accounts == nil {
		return nil
	}
	account := accounts.Find(req.KeyDigest)
	switch {
	case account != nil:
		req.Account = account.Name
		req.Priority = baobabtide.RequestPriority(account.Priority, terms.Priority)
		return nil
	case terms.Public:
		req.Priority = baobabtide.RequestPriority(terms.Priority, terms.Priority)
		return nil
	case req.KeyDigest == nil:
		return baobabtide.Refuse(baobabtide.ReasonUnknownKey, 0, errNoKey)
	case *req.KeyDigest == baobabtide.KeyDigest{}:
		return baobabtide.Refuse(baobabtide.ReasonUnknownKey, 0, errInvalidKey)
	default:
		return baobabtide.Refuse(baobabtide.ReasonUnknownKey, 0, errUnknownKey)
	}
}
