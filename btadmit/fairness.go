package btadmit

import (
	"math"
	"time"
)

const (
	maxAccounts        = 512              // accounts with a share of their own at one backend server
	accountMemory      = 10 * time.Second // an account's demand decays to 1/e in this time; the smallest accounts send a request in some seconds to one server
	accountSweepPause  = time.Second      // between two removals of idle accounts
	minAccountUse      = 0.25             // of the limit; a lower use is taken for this, so that no account is served less than a quarter as often as others
	fairnessClassWidth = 0.125            // of the limit; differences within a class don't change the order
)

// accountShare is what one account has asked for and received at a backend server lately.
type accountShare struct {
	demanded  float64 // expected run time of the requests offered, in seconds
	received  float64 // the same of those granted
	use       float64 // Ticket.AccountUse of the latest request, 1 if unknown
	updatedAt time.Time
}

// decay brings both sums to the present. They decay alike, so that their ratio only changes
// with requests.
func (s *accountShare) decay(now time.Time) {
	if age := now.Sub(s.updatedAt); age > 0 {
		factor := math.Exp(-float64(age) / float64(accountMemory))
		s.demanded *= factor
		s.received *= factor
		s.updatedAt = now
	}
}

// class returns the fraction of its limit that the account receives, in classes. Accounts of a
// lower class go first: what an account asks for beyond what the others get of their limits is
// served last. An account over its limit sends no more than its limit to backend servers, so
// its use counts as 1.
func (s *accountShare) class() int {
	if s == nil || s.demanded <= 0 {
		return 0
	}
	return int(s.use * min(1, s.received/s.demanded) / fairnessClassWidth)
}

// accountTable holds the shares of the accounts of one queue. The zero value is empty and stays
// so without accounts. Accounts beyond maxAccounts have a share in common.
type accountTable struct {
	byName  map[string]*accountShare
	common  accountShare
	sweptAt time.Time
}

// share returns the share of the ticket's account, nil if no ticket had an account yet.
// Requests without an account are those of an account with the empty name.
func (a *accountTable) share(t *Ticket, now time.Time) *accountShare {
	if t.Account == "" && a.byName == nil {
		return nil
	}
	if s := a.byName[t.Account]; s != nil {
		return s
	}
	if a.byName == nil {
		a.byName = make(map[string]*accountShare)
	}
	if len(a.byName) >= maxAccounts {
		a.sweep(now)
	}
	if len(a.byName) >= maxAccounts {
		return &a.common
	}
	s := &accountShare{updatedAt: now}
	a.byName[t.Account] = s
	return s
}

// sweep removes the accounts whose demand has decayed.
func (a *accountTable) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < accountSweepPause {
		return
	}
	a.sweptAt = now
	for name, s := range a.byName {
		if now.Sub(s.updatedAt) > accountMemory {
			delete(a.byName, name)
		}
	}
}

// demand records that a ticket with an expected run time is offered.
func (a *accountTable) demand(t *Ticket, runTime time.Duration, now time.Time) {
	if s := a.share(t, now); s != nil {
		s.decay(now)
		s.demanded += runTime.Seconds()
		s.use = 1
		if t.AccountUse > 0 {
			s.use = min(1, max(minAccountUse, t.AccountUse))
		}
	}
}

// receive records that a ticket with an expected run time is granted a slot.
func (a *accountTable) receive(t *Ticket, runTime time.Duration, now time.Time) {
	if s := a.share(t, now); s != nil {
		s.decay(now)
		s.received += runTime.Seconds()
	}
}
