package btconfig

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
)

// releaseEntry returns the release of a version of the unversioned service s. Its sum is that of an order.
func releaseEntry(t *testing.T, offset baobabtide.Offset, version string, sum uint64) baobabtide.Entry {
	t.Helper()
	terms := btfixture.RolloutTerms()
	return recordEntry(t, offset, sum, &baobabtide.Record{Release: &baobabtide.Release{Service: "s", Version: version, Customers: []string{"c"}, Terms: &terms}})
}

// revisionEntry returns a contract with a publisher's revision, which is also its sum.
func revisionEntry(t *testing.T, offset baobabtide.Offset, revision uint64) baobabtide.Entry {
	t.Helper()
	contract := btfixture.Contract("c", "s")
	contract.Revision, contract.Services[0].Unversioned = revision, true
	return recordEntry(t, offset, revision, &baobabtide.Record{Contract: contract})
}

func recordEntry(t *testing.T, offset baobabtide.Offset, sum uint64, record *baobabtide.Record) baobabtide.Entry {
	t.Helper()
	record.ID, record.Actor = fmt.Sprintf("id.%s", offset), "a"
	data, err := btcodec.EncodeJSON(record)
	if err != nil {
		t.Fatal(err)
	}
	return baobabtide.Entry{Offset: offset, Time: time.Unix(int64(offset.Number()), 0), Data: data, Sum: sum}
}

func foldAll(s *State, entries ...baobabtide.Entry) *State {
	for _, entry := range entries {
		s = Fold(s, entry)
	}
	return s
}

// latest describes the latest rollout of the service s: its version, offset and result.
func latest(s *State) string {
	r := s.Assignments[AssignmentKey("c", "s")].Rollout
	if r == nil {
		return "none"
	}
	return fmt.Sprintf("%s at %s %s", r.To, r.Offset, r.Result)
}

// A release that a restored log has kept, or that is written again, began its rollout anew, also one that had been
// taken back.
func TestReleasesAfterRestore(t *testing.T) {
	epoch := func(number uint64) baobabtide.Offset { return baobabtide.NewOffset(1, number) }
	first, second := uint64(1<<20+1), uint64(1<<20+2) // sums
	before := foldAll(&State{}, revisionEntry(t, 1, 3), releaseEntry(t, 2, "v1", first), releaseEntry(t, 5, "v2", second))
	before = before.WithOutcome(baobabtide.OutcomeRecord{Rollout: 5, Customer: "c", Service: "s", Version: "v2", Result: baobabtide.Reverted, Sum: second})
	tests := map[string]struct {
		entries []baobabtide.Entry
		want    string
	}{
		"kept":                              {[]baobabtide.Entry{releaseEntry(t, epoch(5), "v2", second)}, "v2 at 1:5 Reverted"},
		"written again":                     {[]baobabtide.Entry{releaseEntry(t, epoch(3), "v2", second)}, "v2 at 1:3 Reverted"},
		"written again, sum not known":      {[]baobabtide.Entry{releaseEntry(t, epoch(3), "v2", 0)}, "v2 at 1:3 Reverted"},
		"earlier one kept":                  {[]baobabtide.Entry{releaseEntry(t, epoch(2), "v1", first)}, "v2 at 5 Reverted"},
		"earlier one kept, sum not known":   {[]baobabtide.Entry{releaseEntry(t, epoch(2), "v1", 0)}, "v2 at 5 Reverted"},
		"all written again":                 {[]baobabtide.Entry{releaseEntry(t, epoch(2), "v1", first), releaseEntry(t, epoch(3), "v2", second)}, "v2 at 1:3 Reverted"},
		"another one":                       {[]baobabtide.Entry{releaseEntry(t, epoch(6), "v3", 7)}, "v3 at 1:6 "},
		"another one of the same version":   {[]baobabtide.Entry{releaseEntry(t, epoch(6), "v2", 7)}, "v2 at 1:6 "},
		"released again after the restore":  {[]baobabtide.Entry{releaseEntry(t, epoch(3), "v2", second), releaseEntry(t, epoch(6), "v2", second)}, "v2 at 1:6 "},
		"another one, then a second epoch":  {[]baobabtide.Entry{releaseEntry(t, epoch(6), "v3", 7), releaseEntry(t, baobabtide.NewOffset(2, 6), "v3", 7)}, "v3 at 2:6 "},
		"unknown one that is older, kept":   {[]baobabtide.Entry{releaseEntry(t, epoch(4), "v9", 9), releaseEntry(t, epoch(5), "v2", second)}, "v2 at 1:5 Reverted"},
		"contract that is older than known": {[]baobabtide.Entry{revisionEntry(t, epoch(1), 2)}, "v2 at 5 Reverted"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			after := foldAll(before, tt.entries...)
			if diff := cmp.Diff(tt.want, latest(after)); diff != "" {
				t.Errorf("latest rollout (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint64(3), after.Revision()); diff != "" {
				t.Errorf("revision (-want +got):\n%s", diff)
			}
		})
	}
}

// Of two nodes that had read to different points before a restore, each one has what the other one knew once they have
// told each other.
func TestJoinAfterRestore(t *testing.T) {
	epoch := func(number uint64) baobabtide.Offset { return baobabtide.NewOffset(1, number) }
	common := foldAll(&State{}, revisionEntry(t, 1, 3))
	ahead := foldAll(common, revisionEntry(t, 2, 4), releaseEntry(t, 3, "v2", 30))
	ahead = ahead.WithOutcome(baobabtide.OutcomeRecord{Rollout: 3, Customer: "c", Service: "s", Version: "v2", Result: baobabtide.Reverted, Sum: 30})
	restored := foldAll(common, revisionEntry(t, epoch(1), 3))
	again := foldAll(restored, releaseEntry(t, epoch(2), "v2", 30))
	tests := map[string]struct {
		own, other *State
		adopted    bool
		offset     baobabtide.Offset
		want       string
	}{
		"the other one is in the next epoch":          {ahead, restored, true, epoch(1), "v2 at 3 Reverted"},
		"it has got the release again":                {ahead, again, true, epoch(2), "v2 at 1:2 Reverted"},
		"the other one has a later contract":          {restored, ahead, true, epoch(1), "v2 at 3 Reverted"},
		"it has, and this one has the release again":  {again, ahead, true, epoch(2), "v2 at 1:2 Reverted"},
		"the other one has nothing later":             {again, common, false, epoch(2), "v2 at 1:2 "},
		"the other one has the same, before the loss": {ahead, common, false, 3, "v2 at 3 Reverted"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var s Store
			s.Adopt(tt.own)
			if diff := cmp.Diff(tt.adopted, s.Adopt(tt.other)); diff != "" {
				t.Errorf("adopted (-want +got):\n%s", diff)
			}
			want := Position{tt.offset, max(tt.own.Revision(), tt.other.Revision())}
			if diff := cmp.Diff(want, s.State().Position()); diff != "" {
				t.Errorf("position (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.want, latest(s.State())); diff != "" {
				t.Errorf("latest rollout (-want +got):\n%s", diff)
			}
		})
	}
}
