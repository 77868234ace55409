package baobabtide

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"unicode/utf8"
)

// Account is a client account of a customer. Its limits hold over all nodes together.
type Account struct {
	Name              string      // unique in the contract, valid for CheckAccountName
	Keys              []KeyDigest // each belongs to one account of the contract
	Priority          int         `json:",omitempty"` // goes before the priority of the route; higher goes first
	RequestsPerSecond float64     `json:",omitempty"` // 0 for no limit
	Burst             float64     `json:",omitempty"` // requests beyond RequestsPerSecond after an idle time
}

// Bounds on the accounts of a contract.
const (
	maxAccountNameLength = 8 << 10 // bytes; servers commonly limit all headers of a request to 8 KB

	maxAccounts    = 1 << 16
	maxAccountKeys = 1 << 16 // of one account; a longer array can't be decoded from a snapshot
	maxKeys        = 1 << 17 // of all accounts of a contract
	maxAccountRate = 1 << 53
)

// KeyDigest is the SHA-256 digest of an account's key. Keys themselves are neither stored nor
// sent to other nodes. The zero value stands for a key that no account can have.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. It does not allocate.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// ParseKeyDigest returns the digest that a hexadecimal text stands for.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var d KeyDigest
	err := d.UnmarshalText([]byte(text))
	return d, err
}

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("key digest has %d characters, %d are needed", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("key digest: %w", err)
	}
	return nil
}

// MaxRequestPriority is the highest priority that RequestPriority returns.
const MaxRequestPriority = maxPriority*(maxPriority+1) + maxPriority

// RequestPriority returns the priority of a request of an account on a route. The account's
// priority is compared first, then the route's.
func RequestPriority(account, route int) int { return account*(maxPriority+1) + route }

// emptyKey is the digest of the empty key, which a caller could send by mistake.
var emptyKey = DigestKey(nil)

// Check returns a FieldError for the first field that is invalid, nil if none is.
func (a *Account) Check() error {
	if err := CheckAccountName("Name", a.Name); err != nil {
		return err
	}
	if a.Priority < 0 || a.Priority > maxPriority {
		return Fieldf("Priority", "%d, 0 to %d are allowed", a.Priority, maxPriority)
	}
	for _, limit := range []struct {
		name  string
		value float64
	}{{"RequestsPerSecond", a.RequestsPerSecond}, {"Burst", a.Burst}} {
		if math.IsNaN(limit.value) || limit.value < 0 || limit.value > maxAccountRate {
			return Fieldf(limit.name, "%g, 0 to %d are allowed", limit.value, uint64(maxAccountRate))
		}
	}
	if len(a.Keys) > maxAccountKeys {
		return Fieldf("Keys", "%d entries exceed %d", len(a.Keys), maxAccountKeys)
	}
	for i, key := range a.Keys {
		if key == (KeyDigest{}) || key == emptyKey {
			return Fieldf(fmt.Sprintf("Keys[%d]", i), "the key is empty")
		}
	}
	return nil
}

// CheckAccountName returns a FieldError if a name can't stand in a header as it is: if it is empty or
// too long, holds a control character other than a tab or invalid UTF-8, or starts or ends with a space
// or a tab, which recipients remove.
func CheckAccountName(field, name string) error {
	if name == "" || len(name) > maxAccountNameLength {
		return Fieldf(field, "%d bytes, 1 to %d are allowed", len(name), maxAccountNameLength)
	}
	if !utf8.ValidString(name) {
		return Fieldf(field, "%q is not valid UTF-8", name)
	}
	if strings.Trim(name, " \t") != name {
		return Fieldf(field, "%q starts or ends with white space", name)
	}
	for i := range len(name) {
		if c := name[i]; (c < ' ' && c != '\t') || c == '\x7f' {
			return Fieldf(field, "%q holds the character %q", name, c)
		}
	}
	return nil
}

// checkAccounts returns an error for the first account that is invalid, or that has its name or
// a key in common with another one.
func checkAccounts(accounts []Account) error {
	if len(accounts) > maxAccounts {
		return Fieldf("Accounts", "%d entries exceed %d", len(accounts), maxAccounts)
	}
	names := make(map[string]bool, len(accounts))
	owners := make(map[KeyDigest]string)
	for i := range accounts {
		a := &accounts[i]
		if err := a.Check(); err != nil {
			return WithinIndex("Accounts", i, err)
		}
		if names[a.Name] {
			return Fieldf(fmt.Sprintf("Accounts[%d].Name", i), "%q stands twice", a.Name)
		}
		names[a.Name] = true
		for j, key := range a.Keys {
			if owner, taken := owners[key]; taken {
				return Fieldf(fmt.Sprintf("Accounts[%d].Keys[%d]", i, j), "the key belongs to account %q", owner)
			}
			owners[key] = a.Name
		}
	}
	if len(owners) > maxKeys {
		return Fieldf("Accounts", "%d keys exceed %d", len(owners), maxKeys)
	}
	return nil
}
