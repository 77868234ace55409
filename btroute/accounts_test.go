package btroute

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
)

// accounts returns client accounts with a number of keys each.
func accounts(count, keys int) []baobabtide.Account {
	list := make([]baobabtide.Account, count)
	for i := range list {
		list[i].Name = fmt.Sprintf("account-%d", i)
		for j := range keys {
			list[i].Keys = append(list[i].Keys, baobabtide.DigestKey(fmt.Appendf(nil, "key-%d-%d", i, j)))
		}
	}
	return list
}

// withAccounts returns a configuration whose contract has client accounts.
func withAccounts(list []baobabtide.Account) *btconfig.State {
	s := state("v1", "service-0")
	c := s.Contracts["c"]
	c.Contract.Accounts = list
	s.Contracts["c"] = c
	return s
}

// TestFindAccount guards against keys that lead to the wrong account or to one that has lost them.
func TestFindAccount(t *testing.T) {
	old := accounts(3, 2)
	next := slices.Clone(old)
	next[1].Keys = next[1].Keys[:1]                                   // one key removed
	next[2].Keys = append(slices.Clone(next[2].Keys), old[1].Keys[1]) // and given to another account
	first := Build(withAccounts(old), nil, locality, nil)
	second := Build(withAccounts(next), nil, locality, first)
	none := Build(withAccounts(nil), nil, locality, second)
	unknown := baobabtide.DigestKey([]byte("unknown"))
	name := func(a *Accounts, key *baobabtide.KeyDigest) string {
		if found := a.Find(key); found != nil {
			return found.Name
		}
		return ""
	}
	tests := map[string]struct {
		table *Table
		key   *baobabtide.KeyDigest
		want  string
	}{
		"first key":       {first, &old[0].Keys[0], "account-0"},
		"second key":      {first, &old[1].Keys[1], "account-1"},
		"unknown key":     {first, &unknown, ""},
		"no key":          {first, nil, ""},
		"invalid key":     {first, &baobabtide.KeyDigest{}, ""},
		"key that stays":  {second, &old[1].Keys[0], "account-1"},
		"key that moved":  {second, &old[1].Keys[1], "account-2"},
		"key in no table": {second, &unknown, ""},
	}
	for label, tt := range tests {
		t.Run(label, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, name(tt.table.Accounts("c"), tt.key)); diff != "" {
				t.Errorf("account (-want +got):\n%s", diff)
			}
		})
	}
	if none.Accounts("c") != nil || first.Accounts("d") != nil {
		t.Error("a contract without accounts, or no contract, asks for keys")
	}
}

// TestUnchangedAccountsKeepTheirMap guards against a map of all keys that is built again with each
// change of the membership or of another part of the configuration.
func TestUnchangedAccountsKeepTheirMap(t *testing.T) {
	const wanted = 30 // allocations of a build without accounts, with a reserve
	first := Build(withAccounts(accounts(1000, 2)), nil, locality, nil)
	for name, list := range map[string][]baobabtide.Account{
		"same contract":         first.Accounts("c").terms,
		"equal accounts, again": accounts(1000, 2),
	} {
		s := withAccounts(list)
		var next *Table
		if n := testing.AllocsPerRun(10, func() { next = Build(s, nil, locality, first) }); n > wanted {
			t.Errorf("%s: %g allocations", name, n)
		}
		key := list[999].Keys[1]
		if a := next.Accounts("c").Find(&key); a == nil || a.Name != "account-999" {
			t.Errorf("%s: the key leads to %+v", name, a)
		}
	}
}

// TestFindAccountDoesNotAllocate guards against work for the garbage collector with each request.
func TestFindAccountDoesNotAllocate(t *testing.T) {
	list := accounts(84, 1)
	table := Build(withAccounts(list), nil, locality, nil)
	key := list[50].Keys[0]
	if n := testing.AllocsPerRun(100, func() { _ = table.Accounts("c").Find(&key) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
}

// Sizes of contracts for benchmarks: that of a deployment, and 100,000 keys.
var accountSizes = []struct{ accounts, keys int }{{84, 1}, {1000, 100}}

func BenchmarkFindAccount(b *testing.B) {
	for _, size := range accountSizes {
		b.Run(fmt.Sprintf("%d accounts of %d keys", size.accounts, size.keys), func(b *testing.B) {
			list := accounts(size.accounts, size.keys)
			table := Build(withAccounts(list), nil, locality, nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Accounts("c").Find(&list[i%size.accounts].Keys[i%size.keys]) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkBuildAccounts measures the time to build the accounts of a table, and the memory that
// they keep besides that of the contract.
func BenchmarkBuildAccounts(b *testing.B) {
	for _, size := range accountSizes {
		list := accounts(size.accounts, size.keys)
		prev := newAccounts(list, nil)
		equal := accounts(size.accounts, size.keys)
		changed := accounts(size.accounts, size.keys)
		changed[size.accounts-1].Priority = 1
		for name, terms := range map[string][]baobabtide.Account{"same": list, "equal": equal, "changed": changed} {
			b.Run(fmt.Sprintf("%d accounts of %d keys, %s", size.accounts, size.keys, name), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				kept := newAccounts(terms, prev)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportAllocs()
				for b.Loop() {
					kept = newAccounts(terms, prev)
				}
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-kept")
				runtime.KeepAlive(kept)
			})
		}
	}
}
