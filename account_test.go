package baobabtide

import (
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAccountsCheckThemselves guards against contracts whose accounts are ambiguous or can't be
// enforced: such a contract must be rejected as a whole, with the field named.
func TestAccountsCheckThemselves(t *testing.T) {
	one, two := DigestKey([]byte("one")), DigestKey([]byte("two"))
	tests := []struct {
		name     string
		accounts []Account
		field    string // empty for valid accounts
	}{
		{"none", nil, ""},
		{"valid", []Account{{Name: "a", Keys: []KeyDigest{one}}, {Name: "b", Keys: []KeyDigest{two}, RequestsPerSecond: 0.5, Burst: 3}}, ""},
		{"no name", []Account{{}}, "Accounts[0].Name"},
		{"line end in name", []Account{{Name: "a\r\nb"}}, "Accounts[0].Name"},
		{"name twice", []Account{{Name: "a"}, {Name: "a"}}, "Accounts[1].Name"},
		{"key of two accounts", []Account{{Name: "a", Keys: []KeyDigest{one}}, {Name: "b", Keys: []KeyDigest{two, one}}}, "Accounts[1].Keys[1]"},
		{"key twice", []Account{{Name: "a", Keys: []KeyDigest{one, one}}}, "Accounts[0].Keys[1]"},
		{"empty key", []Account{{Name: "a", Keys: []KeyDigest{one, DigestKey(nil)}}}, "Accounts[0].Keys[1]"},
		{"zero digest", []Account{{Name: "a", Keys: []KeyDigest{{}}}}, "Accounts[0].Keys[0]"},
		{"too many keys", []Account{{Name: "a", Keys: make([]KeyDigest, maxAccountKeys+1)}}, "Accounts[0].Keys"},
		{"negative rate", []Account{{Name: "a", RequestsPerSecond: -1}}, "Accounts[0].RequestsPerSecond"},
		{"infinite rate", []Account{{Name: "a", RequestsPerSecond: math.Inf(1)}}, "Accounts[0].RequestsPerSecond"},
		{"no number as burst", []Account{{Name: "a", Burst: math.NaN()}}, "Accounts[0].Burst"},
		{"priority", []Account{{Name: "a", Priority: 10}}, "Accounts[0].Priority"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			field := ""
			var fieldErr *FieldError
			if err := checkAccounts(tt.accounts); errors.As(err, &fieldErr) {
				field = fieldErr.Path
			} else if err != nil {
				t.Fatalf("error without a field: %v", err)
			}
			if diff := cmp.Diff(tt.field, field); diff != "" {
				t.Errorf("invalid field (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKeyDigestText guards against digests that change when a contract is stored and read back.
func TestKeyDigestText(t *testing.T) {
	want := DigestKey([]byte("gjqnirth5mgjy5rcpihh"))
	got, err := ParseKeyDigest(want.String())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("digest (-want +got):\n%s", diff)
	}
	for _, text := range []string{"", "00", want.String()[1:] + "g"} {
		if _, err := ParseKeyDigest(text); err == nil {
			t.Errorf("ParseKeyDigest(%q) did not fail", text)
		}
	}
}

// TestRequestPriority guards against a route's priority that outweighs the account's.
func TestRequestPriority(t *testing.T) {
	last := -1
	for account := 0; account <= maxPriority; account++ {
		for route := 0; route <= maxPriority; route++ {
			got := RequestPriority(account, route)
			if got <= last || got > MaxRequestPriority {
				t.Errorf("account %d, route %d: priority %d after %d", account, route, got, last)
			}
			last = got
		}
	}
	if diff := cmp.Diff(MaxRequestPriority, last); diff != "" {
		t.Errorf("highest priority (-want +got):\n%s", diff)
	}
}
