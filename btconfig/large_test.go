package btconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

// longText returns text that starts with a number.
func longText(number, length int) string {
	return fmt.Sprint(number) + strings.Repeat("-", length)
}

// largeContract returns an entry with a contract of a number of routes of 5.9 KB each.
func largeContract(t *testing.T, offset, routes int) baobabtide.Entry {
	t.Helper()
	c := btfixture.Contract("c", "s")
	c.Services[0].Routes = nil
	for i := range routes {
		c.Services[0].Routes = append(c.Services[0].Routes, baobabtide.RouteTerms{
			Name: longText(i, 80), PathPrefix: "/" + longText(i, 5700), Timeout: time.Second,
		})
	}
	e := entry(t, offset, contract(c))
	if len(e.Data) > baobabtide.MaxRecordSize {
		t.Fatalf("contract of %d bytes", len(e.Data))
	}
	return e
}

// A snapshot with the assignments of many customers was written and sent, but no node could read it.
func TestLargeStateIsRead(t *testing.T) {
	tests := map[string]func(t *testing.T) *btconfig.State{
		"largest contract and full audit log": func(t *testing.T) *btconfig.State {
			state := btconfig.Fold(&btconfig.State{}, largeContract(t, 1, 1400))
			if len(state.Contracts) != 1 {
				t.Fatal("the contract is rejected")
			}
			for offset := baobabtide.Offset(2); offset <= 5000; offset++ {
				state.Audit = state.Audit.Append(baobabtide.AuditEntry{
					Offset: offset, ID: longText(int(offset), 50), Actor: "a", Kind: "Drain", Subject: "n", Reason: longText(int(offset), 1000),
				})
			}
			return state
		},
		"70,000 assignments": func(*testing.T) *btconfig.State {
			state := &btconfig.State{Offset: 1, Assignments: make(map[string]baobabtide.Assignment)}
			for i := range 70_000 {
				customer := fmt.Sprintf("c%d", i)
				state.Assignments[btconfig.AssignmentKey(customer, "s")] = baobabtide.Assignment{Customer: customer, Service: "s", Current: "v1"}
			}
			return state
		},
	}
	for name, state := range tests {
		t.Run(name, func(t *testing.T) {
			want := state(t)
			chunks, err := btconfig.SplitSnapshot(want, "n")
			if err != nil {
				t.Fatal(err)
			}
			got := btconfig.JoinSnapshots(chunks)
			if got == nil {
				t.Fatal("the snapshot can't be read")
			}
			size := func(s *btconfig.State) []int {
				return []int{int(s.Offset), len(s.Assignments), len(s.Audit.Entries()), len(s.Contracts)}
			}
			if diff := cmp.Diff(size(want), size(got)); diff != "" {
				t.Errorf("offset, assignments, audit entries and contracts (-want +got):\n%s", diff)
			}
		})
	}
}

// A state beyond the limit of its readers was written as a snapshot, and sent, again and again.
func TestStateThatCannotBeReadIsNotWritten(t *testing.T) {
	state := &btconfig.State{Offset: 1, Services: map[string]btconfig.ServiceState{"s": {Versions: []string{longText(1, 64<<20)}}}}
	if chunks, err := btconfig.SplitSnapshot(state, "n"); err == nil {
		t.Errorf("%d chunks, of which readers get %v", len(chunks), btconfig.JoinSnapshots(chunks))
	}
}

// Links of any size that a store keeps can be read by a neighbor.
func TestLargeLinksAreRead(t *testing.T) {
	tests := map[string]struct{ contracts, routes int }{
		"four contracts of 250 KB": {4, 43},
		"two contracts of 1 MB":    {2, 175},
		"one contract of 8 MB":     {1, 1400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var from, to btconfig.Store
			for offset := 1; offset <= tt.contracts; offset++ {
				link := btconfig.Link{Prev: baobabtide.Offset(offset - 1), Entry: largeContract(t, offset, tt.routes)}
				if _, err := from.Apply(link); err != nil {
					t.Fatal(err)
				}
			}
			after := from.State().Offset - 1
			if _, ok := from.Since(0); ok {
				after = 0
			}
			to.Adopt(&btconfig.State{Offset: after})
			data, ok, err := from.EncodedSince(after)
			if err != nil || !ok {
				t.Fatalf("links after %d: %t, %v", after, ok, err)
			}
			links, err := btconfig.DecodeLinks(data)
			if err != nil {
				t.Fatal(err)
			}
			for _, link := range links {
				if _, err := to.Apply(link); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(from.State().Contracts, to.State().Contracts); diff != "" {
				t.Errorf("contracts differ, after %d", after)
			}
		})
	}
}
