// Package btquota enforces the limits of client accounts over all nodes together. It decides
// only, without I/O and with the time passed in: a Meter admits the requests that callers send to
// its node, and a Coordinator tells the nodes of a zone which part of each limit they may use.
//
// A coordinator keeps one token bucket per account from the use that nodes and the coordinators of
// other zones report. Its level determines the fraction of requests that all nodes admit, so that an
// account below its limit is not refused wherever its requests arrive, and a use that exceeded the
// limit before it was reported is made up for afterwards. A bucket in each node, which holds the
// node's share, bounds what the node admits until the next answer and without a coordinator.
package btquota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Period is the time between two reports of a node, and between two exchanges of coordinators.
const Period = 200 * time.Millisecond

const (
	freshFor      = 3 * Period              // age up to which an answer or a report describes the present demand
	zoneFresh     = 350 * time.Millisecond  // the same for another zone: a flood that begins as the zones lose each other must not use the whole limit in each
	keepFor       = 2 * time.Second         // age of an answer up to which a node uses its whole share
	halfFor       = 6 * time.Second         // age up to which it uses half its share; then only an equal part of the limit
	holdFor       = 20 * time.Second        // silence of a node up to which its coordinator reserves a share for it
	zoneFor       = 60 * time.Second        // silence of another zone up to which a coordinator reserves a share for it
	rateTime      = 400 * time.Millisecond  // time constant of the measured demand
	shareTime     = time.Second             // time constant at which the share shrinks that is reserved for another zone
	slowTime      = 3 * time.Second         // time constant at which the share of a node with less demand shrinks
	readyFor      = 1 * time.Second         // activity after which a coordinator answers although another zone has not answered it
	settle        = 1 * time.Second         // time constant at which the level of a bucket under overload returns to its reserve
	watchFor      = 6 * time.Second         // time after its last request for which a node reports on an account that is short, to learn when it no longer is
	admitFor      = time.Second + Period    // age up to which the admitted fraction in a notice applies; the next one should have come
	noticeAfter   = time.Second             // between two notices of short accounts to a node that does not report
	exchangeAfter = Period * 3 / 4          // age of another zone's sums after which a coordinator asks for new ones
	combine       = 50 * time.Millisecond   // time for which a coordinator's sums are used again
	urgent        = Period / 4              // earliest time after a report at which a node with little left sends the next
	paused        = 1500 * time.Millisecond // gap in a node's activity after which it restarts its buckets: others may have got its share
)

const (
	slack      = 4.0  // tokens beyond the burst; the tolerance of a limit includes 20 requests whatever its rate
	reserve    = 0.2  // level that the control aims at under overload, as a part of the burst; covers the delay of reports
	floor      = 4.0  // tokens of a node's bucket beyond its share, for a node that has not reported any demand yet
	floorBurst = 0.02 // the same as a part of the burst, unless that is more than floorParts of the node's part
	floorParts = 0.5
	startBurst = 0.05 // part of the burst that a bucket holds whose use in the last seconds is not known
	leastParts = 0.5  // part of the limit that nodes may use that lose all others, in parts of their number
	ordinary   = 2.0  // largest share that many nodes may have at a time, in equal parts of the limit
	maxUse     = 1e6  // largest use in an answer: a limit of 1e-39 gave an infinite one, for which nodes reject the whole answer
	maxDebt    = 2.0  // largest debt of a bucket, in seconds of its rate: a wrong report must not close an account for long
)

// Key identifies an account.
type Key struct{ Customer, Account string }

// id returns a number that stands for the account in messages. It does not depend on the
// configuration, so that nodes with different ones understand each other.
func (k Key) id() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(k.Customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.Account)
	return d.Sum64()
}

// Limit is the limit of an account.
type Limit struct {
	Key
	Rate  float64 // requests per second, above 0
	Burst float64 // requests beyond Rate
}

// floor returns the tokens of one node beyond its share of the burst. An equal part is that of each
// node.
func (l *Limit) floor(equal float64) float64 {
	return floor + min(floorBurst, floorParts*equal)*l.Burst
}

// age returns the time since an instant by the clock that shows more: the monotonic clock stands
// still while a VM is suspended, and the time of day may be set back.
func age(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// heldShare returns the part of a limit that a node may use whose last answer, which gave it share,
// has an age. Without an answer it ends up at an equal part of the limit for each of the members.
func heldShare(share, equal float64, age time.Duration) float64 {
	switch {
	case age <= keepFor:
		return share
	case age <= halfFor:
		return max(share/2, min(share, equal))
	default:
		return equal
	}
}

// reservedShare returns the part of a limit that a coordinator reserves for a node that it has not heard
// of for a time. It is more than the node may use alone where the share is an ordinary one: many nodes
// may be cut off together and have another coordinator, which gives them what they had. A share of
// several nodes' parts is more likely that of a node that was killed.
func reservedShare(share, equal float64, age time.Duration) float64 {
	return max(heldShare(share, equal, age), min(share, ordinary*equal))
}
