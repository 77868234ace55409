package btconfig_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

// accountsEntry returns an entry with a contract of a number of accounts with keys.
func accountsEntry(t testing.TB, offset, accounts, keys int) baobabtide.Entry {
	t.Helper()
	c := btfixture.Contract("c", "s")
	for i := range accounts {
		a := baobabtide.Account{Name: fmt.Sprintf("account-%d", i), Priority: 8, RequestsPerSecond: 595, Burst: 595}
		for j := range keys {
			a.Keys = append(a.Keys, baobabtide.DigestKey(fmt.Appendf(nil, "key-%d-%d", i, j)))
		}
		c.Accounts = append(c.Accounts, a)
	}
	return entry(t, offset, contract(c))
}

// TestLargeAccountsAreRead guards against a contract with many keys that is accepted, but whose
// snapshot no node can read.
func TestLargeAccountsAreRead(t *testing.T) {
	for _, size := range []struct{ accounts, keys int }{{1000, 100}, {2, 1 << 15}, {1, 1 << 16}, {1 << 15, 1}} {
		t.Run(fmt.Sprintf("%d accounts of %d keys", size.accounts, size.keys), func(t *testing.T) {
			e := accountsEntry(t, 1, size.accounts, size.keys)
			state := btconfig.Fold(&btconfig.State{}, e)
			if audit, _ := state.Audit.At(1); !audit.Accepted {
				t.Fatalf("rejected: %s", audit.Reason)
			}
			data, err := btconfig.EncodeState(state)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := btconfig.DecodeState(data)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("record of %d bytes, snapshot of %d bytes", len(e.Data), len(data))
			if !reflect.DeepEqual(state.Contracts, decoded.Contracts) { // go-cmp takes seconds for so many digests
				t.Error("the snapshot holds other contracts")
			}
		})
	}
}

// BenchmarkFoldAccounts measures what a version of a configuration costs each node.
func BenchmarkFoldAccounts(b *testing.B) {
	for _, size := range []struct{ accounts, keys int }{{0, 0}, {84, 1}, {1000, 100}} {
		b.Run(fmt.Sprintf("%d accounts of %d keys", size.accounts, size.keys), func(b *testing.B) {
			e := accountsEntry(b, 1, size.accounts, size.keys)
			b.ReportAllocs()
			for b.Loop() {
				if state := btconfig.Fold(&btconfig.State{}, e); len(state.Contracts) != 1 {
					b.Fatal("rejected")
				}
			}
		})
	}
}
