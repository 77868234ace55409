package btconfig_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btconfig"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func entry(t interface{ Fatalf(string, ...any) }, offset int, r baobabtide.Record) baobabtide.Entry {
	if r.ID == "" {
		r.ID = fmt.Sprintf("id-%d", offset)
	}
	r.Actor = "operator"
	data, err := btcodec.EncodeJSON(r)
	if err != nil {
		t.Fatalf("encode record: %v", err)
	}
	return baobabtide.Entry{Offset: baobabtide.Offset(offset), Time: start.Add(time.Duration(offset) * time.Second), Data: data}
}

func offsetPointer(o baobabtide.Offset) *baobabtide.Offset { return &o }

func contract(c *baobabtide.Contract) baobabtide.Record { return baobabtide.Record{Contract: c} }

func release(service, version string, customers ...string) baobabtide.Record {
	return baobabtide.Record{Release: &baobabtide.Release{Service: service, Version: version, Customers: customers}}
}

func outcome(rollout int, customer, service string, result baobabtide.Result) baobabtide.Record {
	return baobabtide.Record{Outcome: &baobabtide.OutcomeRecord{Rollout: baobabtide.Offset(rollout), Customer: customer, Service: service, Result: result}}
}

func onlyVersions(c *baobabtide.Contract, versions ...string) *baobabtide.Contract {
	for i := range c.Services {
		c.Services[i].Versions = versions
	}
	return c
}

// Each case folds records in order and checks whether the last one is accepted.
func TestFoldAcceptsOrRejects(t *testing.T) {
	c, d := btfixture.Contract("c", "s"), btfixture.Contract("d", "s")
	running := []baobabtide.Record{contract(c), release("s", "v1"), release("s", "v2")}
	with := func(more ...baobabtide.Record) []baobabtide.Record { return append(running[:3:3], more...) }
	withExpected := func(r baobabtide.Record, o baobabtide.Offset) baobabtide.Record {
		r.Expected = offsetPointer(o)
		return r
	}
	repeated := release("s", "v2")
	repeated.ID = "id-1"
	tests := map[string]struct {
		records []baobabtide.Record
		want    string // start of the reason, empty if accepted
		current string // version of c's traffic afterwards
	}{
		"first contract":                       {[]baobabtide.Record{contract(c)}, "", ""},
		"first version":                        {running[:2], "", "v1"},
		"rollout":                              {running, "", "v1"},
		"completed":                            {with(outcome(3, "c", "s", baobabtide.Completed)), "", "v2"},
		"reverted":                             {with(outcome(3, "c", "s", baobabtide.Reverted)), "", "v1"},
		"second outcome":                       {with(outcome(3, "c", "s", baobabtide.Reverted), outcome(3, "c", "s", baobabtide.Completed)), "conflict: rollout 3 ended as Reverted", "v1"},
		"outcome of another rollout":           {with(outcome(2, "c", "s", baobabtide.Completed)), "conflict: rollout 2 is not the latest", "v1"},
		"second rollout":                       {with(release("s", "v3")), `conflict: the rollout of version "v2"`, "v1"},
		"same version":                         {with(outcome(3, "c", "s", baobabtide.Completed), release("s", "v2")), `conflict: version "v2" already carries`, "v2"},
		"expected revision is current":         {with(withExpected(contract(c), 1)), "", "v1"},
		"stale revision":                       {with(withExpected(contract(c), 0)), `revision: Contract "c" is at revision 1, not 0`, "v1"},
		"stale release":                        {[]baobabtide.Record{contract(c), release("s", "v1"), withExpected(release("s", "v2"), 0)}, `revision: Release "s" is at revision 2, not 0`, "v1"},
		"repeated ID":                          {[]baobabtide.Record{contract(c), release("s", "v1"), repeated}, `duplicate: ID "id-1" was decided at offset 1`, "v1"},
		"no contract":                          {[]baobabtide.Record{release("s", "v1")}, "conflict: no contract allows", ""},
		"version not allowed":                  {[]baobabtide.Record{contract(onlyVersions(btfixture.Contract("c", "s"), "v1")), release("s", "v1"), release("s", "v2", "c")}, "conflict: the contract of customer", "v1"},
		"customer without contract":            {[]baobabtide.Record{contract(c), release("s", "v1", "x")}, `conflict: customer "x" has no contract`, ""},
		"rollout to one of two customers runs": {[]baobabtide.Record{contract(c), contract(d), release("s", "v1"), release("s", "v2", "d"), release("s", "v3")}, "conflict: the rollout of version", "v1"},
		"contract forbids the current version": {with(outcome(3, "c", "s", baobabtide.Reverted), contract(onlyVersions(btfixture.Contract("c", "s"), "v2"))), `conflict: version "v1" of service "s" carries`, "v1"},
		"contract forbids the version of the rollout": {with(contract(onlyVersions(btfixture.Contract("c", "s"), "v1"))), `conflict: version "v2" of service "s" is being rolled out`, "v1"},
		"contract drops a service in rollout":         {with(contract(btfixture.Contract("c", "t"))), `conflict: a rollout of service "s" runs`, "v1"},
		"new customer gets the newest version":        {[]baobabtide.Record{contract(d), release("s", "v1"), contract(c)}, "", "v1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			state := &btconfig.State{}
			for i, r := range tt.records {
				state = btconfig.Fold(state, entry(t, i+1, r))
			}
			entries := state.Audit.Entries()
			last := entries[len(entries)-1]
			if last.Accepted != (tt.want == "") || !strings.HasPrefix(last.Reason, tt.want) {
				t.Errorf("accepted %v, reason %q, want prefix %q", last.Accepted, last.Reason, tt.want)
			}
			if diff := cmp.Diff(tt.current, state.Assignments[btconfig.AssignmentKey("c", "s")].Current); diff != "" {
				t.Errorf("current version (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(baobabtide.Offset(len(tt.records)), state.Offset); diff != "" {
				t.Errorf("offset (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFoldRejectsInvalidRecords(t *testing.T) {
	for _, data := range []string{"", "x", `{"ID":"a","Actor":"b"}`, `{"ID":"a","Actor":"b","Drain":{"Node":"n"},"Extra":1}`} {
		state := btconfig.Fold(&btconfig.State{}, baobabtide.Entry{Offset: 1, Time: start, Data: []byte(data)})
		entries := state.Audit.Entries()
		if len(entries) != 1 || entries[0].Accepted || state.Offset != 1 || len(state.Contracts) != 0 {
			t.Errorf("record %q: state %+v", data, state)
		}
	}
}

// genRecord generates records of few customers, services, versions and IDs, so
// that many are accepted and many conflict.
func genRecord() *rapid.Generator[baobabtide.Record] {
	customers := rapid.SampledFrom([]string{"c", "d"})
	services := rapid.SampledFrom([]string{"s", "t"})
	versions := rapid.SampledFrom([]string{"v1", "v2", "v3"})
	return rapid.Custom(func(t *rapid.T) baobabtide.Record {
		var r baobabtide.Record
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			r = contract(btfixture.Contract(customers.Draw(t, "customer"), services.Draw(t, "service")))
		case 1, 2:
			r = release(services.Draw(t, "service"), versions.Draw(t, "version"))
		default:
			result := rapid.SampledFrom([]baobabtide.Result{baobabtide.Completed, baobabtide.Reverted}).Draw(t, "result")
			r = outcome(rapid.IntRange(1, 30).Draw(t, "rollout"), customers.Draw(t, "customer"), services.Draw(t, "service"), result)
		}
		if rapid.IntRange(0, 3).Draw(t, "expecting") == 0 {
			r.Expected = offsetPointer(baobabtide.Offset(rapid.IntRange(0, 30).Draw(t, "expected")))
		}
		r.ID = fmt.Sprintf("id-%d", rapid.IntRange(0, 40).Draw(t, "id"))
		return r
	})
}

// Stores that get the same records as links, as a snapshot or as a mix of both,
// in any order, end with the same state, and their offsets never decrease.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(genRecord(), 1, 30).Draw(t, "records")
		var links []btconfig.Link
		want := &btconfig.State{}
		states := []*btconfig.State{want}
		for i, r := range records {
			e := entry(t, i+1, r)
			links = append(links, btconfig.Link{Prev: baobabtide.Offset(i), Entry: e})
			want = btconfig.Fold(want, e)
			states = append(states, want)
		}
		var store btconfig.Store
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			before := store.State().Offset
			i := rapid.IntRange(0, len(links)-1).Draw(t, "link")
			if rapid.Bool().Draw(t, "snapshot") {
				store.Adopt(states[i])
			} else if _, err := store.Apply(links[i]); err != nil && links[i].Prev == before {
				t.Fatalf("apply the next link: %v", err)
			}
			if store.State().Offset < before {
				t.Fatalf("offset decreased from %d to %d", before, store.State().Offset)
			}
		}
		for _, link := range links {
			_, _ = store.Apply(link)
		}
		if diff := cmp.Diff(want, store.State()); diff != "" {
			t.Errorf("state (-folded +stored):\n%s", diff)
		}
		data, err := btconfig.EncodeState(want)
		if err != nil {
			t.Fatalf("encode state: %v", err)
		}
		decoded, err := btconfig.DecodeState(data)
		if err != nil {
			t.Fatalf("decode state: %v", err)
		}
		if diff := cmp.Diff(want.Assignments, decoded.Assignments, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("decoded assignments (-want +got):\n%s", diff)
		}
	})
}

// Two folds of one state share memory. The second must not change the result of
// the first.
func TestFoldDoesNotChangeItsArgument(t *testing.T) {
	base := btconfig.Fold(&btconfig.State{}, entry(t, 1, contract(btfixture.Contract("c", "s"))))
	first := btconfig.Fold(base, entry(t, 2, release("s", "v1")))
	before := first.Audit.Entries()
	btconfig.Fold(base, entry(t, 2, release("s", "other")))
	if diff := cmp.Diff(before, first.Audit.Entries()); diff != "" {
		t.Errorf("audit entries (-before +after):\n%s", diff)
	}
	if diff := cmp.Diff("v1", first.Assignments["c/s"].Current); diff != "" {
		t.Errorf("current version (-want +got):\n%s", diff)
	}
}

func TestStoreDetectsGaps(t *testing.T) {
	var store btconfig.Store
	link := func(prev, offset int) btconfig.Link {
		return btconfig.Link{Prev: baobabtide.Offset(prev), Entry: entry(t, offset, contract(btfixture.Contract("c", "s")))}
	}
	if _, err := store.Apply(link(3, 4)); err == nil {
		t.Error("a link after a gap was applied")
	}
	for _, l := range []btconfig.Link{link(0, 2), link(2, 5)} { // offsets need not be consecutive
		if applied, err := store.Apply(l); !applied || err != nil {
			t.Fatalf("apply %d: %v, %v", l.Entry.Offset, applied, err)
		}
	}
	links, ok := store.Since(2)
	if !ok || len(links) != 1 || links[0].Entry.Offset != 5 {
		t.Errorf("links since 2: %v, %v", links, ok)
	}
	if _, ok := store.Since(3); ok {
		t.Error("Since(3) returned links, though no link starts at offset 3")
	}
}

func TestJoinSnapshotsSkipsDamagedSnapshots(t *testing.T) {
	state := &btconfig.State{}
	var snapshots [][]btconfig.Chunk
	for i := range 3 {
		state = btconfig.Fold(state, entry(t, i+1, contract(btfixture.Contract(fmt.Sprintf("c%d", i), "s"))))
		chunks, err := btconfig.SplitSnapshot(state, "node")
		if err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, chunks)
	}
	flip := func(chunks []btconfig.Chunk) []btconfig.Chunk {
		data := append([]byte(nil), chunks[0].Data...)
		data[len(data)/2] ^= 1
		damaged := append([]btconfig.Chunk(nil), chunks...)
		damaged[0].Data = data
		return damaged
	}
	incomplete := append([]btconfig.Chunk(nil), snapshots[2]...)
	incomplete[0].Count++
	tests := map[string]struct {
		chunks [][]btconfig.Chunk
		want   baobabtide.Offset
	}{
		"all valid":         {snapshots, 3},
		"newest corrupt":    {[][]btconfig.Chunk{snapshots[0], snapshots[1], flip(snapshots[2])}, 2},
		"newest incomplete": {[][]btconfig.Chunk{snapshots[0], incomplete}, 1},
		"none valid":        {[][]btconfig.Chunk{flip(snapshots[0])}, 0},
		"none":              {nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var all []btconfig.Chunk
			for _, chunks := range tt.chunks {
				all = append(all, chunks...)
			}
			var got baobabtide.Offset
			if s := btconfig.JoinSnapshots(all); s != nil {
				got = s.Offset
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("offset (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzDecodeState(f *testing.F) {
	data, err := btconfig.EncodeState(&btconfig.State{Offset: 7})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = btconfig.DecodeState(data) })
}
