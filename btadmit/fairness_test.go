package btadmit

import (
	"strconv"
	"testing"
	"time"
)

// accountLoads is the load of a server by twelve accounts of different sizes. Each uses half of
// its limit at a scale of 1, but the abuser sends 7.5 times as much, of which its limit leaves
// twice the usual.
func accountLoads(scale float64, abuser int) []load {
	sizes := []float64{0.14, 0.11, 0.1, 0.1, 0.09, 0.09, 0.08, 0.07, 0.07, 0.06, 0.05, 0.04}
	var loads []load
	for i, size := range sizes {
		use := 0.5
		if i == abuser {
			size, use = 2*size, 3.75
		}
		for _, l := range []load{
			newLoad("stock", 22*size*scale, 110, 300, 800, 7, 0.84, 0.25),
			newLoad("pledge", 9.85*size*scale, 140, 400, 1000, 7, 1.7, 0.51),
		} {
			l.account, l.use = strconv.Itoa(i), use
			loads = append(loads, l)
		}
	}
	return loads
}

// One account of twelve sends 7.5 times its usual rate: without the shares of accounts, the
// others lost as much as it did. It still must get a quarter of what the average gets.
func TestAccountDoesNotTakeTheCapacityOfOthers(t *testing.T) {
	for _, tt := range []struct {
		scale  float64 // 1 needs 3.8 of 6 slots without the abuser
		abuser int
		others float64 // least share on time
	}{
		{1, 0, 0.96}, {1, 11, 0.96}, {1.42, 0, 0.9}, {1.42, 11, 0.9}, {2.05, 0, 0.68}, {2.05, 11, 0.68}, {3.15, 0, 0.43}, {3.15, 11, 0.43},
	} {
		worth, counts := playAll(accountLoads(tt.scale, tt.abuser), 6, nil)
		onTime, offered, served, least := 0, 0, 0.0, 1.0
		for i := range 12 {
			c := counts[strconv.Itoa(i)]
			served += c.share(c.onTime+c.late) / 12
			least = min(least, c.share(c.onTime+c.late))
			if i != tt.abuser {
				onTime += c.onTime
				offered += c.offered
			}
		}
		others := float64(onTime) / float64(offered)
		t.Logf("scale %.2f, abuser %d: share of the value %.3f, others on time %.3f, least served %.3f of %.3f", tt.scale, tt.abuser, worth, others, least, served)
		if others < tt.others {
			t.Errorf("%.3f of the requests of the other accounts were on time, want %.3f", others, tt.others)
		}
		if least < served/4 {
			t.Errorf("an account starves: %.3f of its requests were served, %.3f on average", least, served)
		}
	}
}

// Accounts without a known use share alike, whatever their sizes: the fractions served are about
// the same.
func TestAccountsOfUnknownUse(t *testing.T) {
	loads := accountLoads(2.05, -1)
	for i := range loads {
		loads[i].use = 0
	}
	_, counts := playAll(loads, 6, nil)
	least, most := 1.0, 0.0
	for i := range 12 {
		c := counts[strconv.Itoa(i)]
		least, most = min(least, c.share(c.onTime+c.late)), max(most, c.share(c.onTime+c.late))
	}
	if most-least > 0.06 {
		t.Errorf("between %.3f and %.3f of the requests of accounts were served", least, most)
	}
}

// More accounts than the table holds must neither grow it nor be refused.
func TestAccountTableIsBounded(t *testing.T) {
	q := NewQueue(6)
	at := now
	for i := range 4 * maxAccounts {
		at = at.Add(time.Millisecond)
		request := Ticket{Account: strconv.Itoa(i), AccountUse: 0.5, Deadline: at.Add(time.Second)}
		if _, refusal := q.Offer(request, at); refusal != nil {
			t.Fatalf("account %d: %v", i, refusal)
		}
		q.Release(&request, 0, at)
		if n := len(q.accounts.byName); n > maxAccounts {
			t.Fatalf("%d accounts in the table", n)
		}
	}
	later := at.Add(time.Minute)
	q.accounts.share(&Ticket{Account: "new"}, later)
	if n := len(q.accounts.byName); n != 1 {
		t.Errorf("%d accounts after a minute, want the new one only", n)
	}
}

// Calls and requests of deployments without accounts are ordered by their objectives as before.
func TestOrderWithoutAccounts(t *testing.T) {
	for name, tt := range map[string]struct {
		request  Ticket
		accounts bool // other requests have accounts
	}{
		"no accounts":     {Ticket{Route: "r"}, false},
		"calls":           {Ticket{Route: "r", Call: true}, false},
		"calls, accounts": {Ticket{Route: "r", Call: true}, true},
	} {
		q := NewQueue(1)
		running := Ticket{Route: "r", Deadline: now.Add(time.Minute)}
		if tt.accounts {
			running.Account = "a"
		}
		offer(t, q, running)
		later, earlier := tt.request, tt.request
		later.Deadline, earlier.Deadline = now.Add(50*time.Second), now.Add(40*time.Second)
		first, second := offer(t, q, later), offer(t, q, earlier)
		q.Release(&running, 0, now)
		if isReady(first) || !isReady(second) {
			t.Errorf("%s: the slot did not go to the earlier objective", name)
		}
	}
}

func TestGrantToKnownAccountDoesNotAllocate(t *testing.T) {
	q := NewQueue(10)
	request := Ticket{Account: "a", AccountUse: 0.5, Route: "r", Deadline: now.Add(time.Minute)}
	if allocs := testing.AllocsPerRun(1000, func() {
		q.Offer(request, now)
		q.Release(&request, time.Millisecond, now)
	}); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}
