package btquarantine

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

func crashed(t *Table, digest byte, incarnations ...uint64) {
	for _, incarnation := range incarnations {
		t.RecordCrash(&baobabtide.Request{Digest: baobabtide.Digest{digest}, Service: "s", Target: "/a?x"}, Crash{Server: "b", Incarnation: incarnation}, start)
	}
}

func TestStanding(t *testing.T) {
	tests := map[string]struct {
		do   func(*Table)
		at   time.Duration
		want Standing
	}{
		"unknown":                         {func(*Table) {}, 0, Clear},
		"one crash":                       {func(t *Table) { crashed(t, 1, 1) }, 0, Clear},
		"two crashes":                     {func(t *Table) { crashed(t, 1, 1, 2) }, 0, Suspect},
		"three crashes":                   {func(t *Table) { crashed(t, 1, 1, 2, 3) }, 0, Quarantined},
		"one crash told three times":      {func(t *Table) { crashed(t, 1, 1, 1, 1) }, 0, Clear},
		"crashes of others":               {func(t *Table) { crashed(t, 2, 1, 2, 3) }, 0, Clear},
		"cleared":                         {func(t *Table) { crashed(t, 1, 1, 2, 3); t.Clear(baobabtide.Digest{1}, start) }, 0, Clear},
		"suspect for too long":            {func(t *Table) { crashed(t, 1, 1, 2) }, suspectLifetime + 1, Clear},
		"quarantined before the trial":    {func(t *Table) { crashed(t, 1, 1, 2, 3) }, trialPauses[0], Quarantined},
		"due for a trial":                 {func(t *Table) { crashed(t, 1, 1, 2, 3) }, trialPauses[0] + 1, Suspect},
		"crashed a server in the trial":   {func(t *Table) { crashed(t, 1, 1, 2, 3, 4) }, trialPauses[0] + 1, Quarantined},
		"due for a second trial":          {func(t *Table) { crashed(t, 1, 1, 2, 3, 4) }, trialPauses[1] + 1, Suspect},
		"crashed one in the second trial": {func(t *Table) { crashed(t, 1, 1, 2, 3, 4, 5) }, quarantineLifetime, Quarantined},
		"quarantined for too long":        {func(t *Table) { crashed(t, 1, 1, 2, 3) }, quarantineLifetime + 1, Clear},
		"without a digest":                {func(t *Table) { crashed(t, 0, 1, 2, 3) }, 0, Clear},
		"cleared, and a crash since then": {func(t *Table) { crashed(t, 1, 1, 2, 3); t.Clear(baobabtide.Digest{1}, start); crashed(t, 1, 4) }, 0, Clear},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table
			tt.do(&table)
			if diff := cmp.Diff(tt.want, table.Standing(baobabtide.Digest{1}, start.Add(tt.at))); diff != "" {
				t.Errorf("standing (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		crashes   []uint64
		situation Situation
		at        time.Duration
		want      baobabtide.Reason // empty if it may run
	}{
		"clear":                           {nil, Situation{SuspectRuns: true, Servers: 1}, 0, ""},
		"suspect":                         {[]uint64{1, 2}, Situation{Servers: 2}, 0, ""},
		"beside another suspect":          {[]uint64{1, 2}, Situation{SuspectRuns: true, Servers: 2}, 0, baobabtide.ReasonSuspect},
		"on the last server":              {[]uint64{1, 2}, Situation{Servers: 1}, 0, baobabtide.ReasonSuspect},
		"on the only server, later":       {[]uint64{1, 2}, Situation{Servers: 1}, recentCrash, ""},
		"quarantined":                     {[]uint64{1, 2, 3}, Situation{Servers: 2}, 0, baobabtide.ReasonQuarantined},
		"quarantined, on the last server": {[]uint64{1, 2, 3}, Situation{Servers: 1}, 0, baobabtide.ReasonQuarantined},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table
			crashed(&table, 1, tt.crashes...)
			_, refusal := table.Admit(baobabtide.Digest{1}, "s", tt.situation, start.Add(tt.at))
			got := baobabtide.Reason("")
			if refusal != nil {
				got = refusal.Reason
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
		})
	}
}

// A node that has cleared a request must not take back the crashes from one that has not
// heard of it yet, and the other must clear it as well.
func TestClearedEntryIsNotRevived(t *testing.T) {
	var a, b Table
	crashed(&a, 1, 1, 2, 3)
	crashed(&b, 1, 1, 2, 3)
	cleared, _ := a.Clear(baobabtide.Digest{1}, start)
	for _, entry := range b.Entries(start) {
		if a.Merge(&entry, start) {
			t.Error("an older entry changes the one that was cleared")
		}
	}
	if !b.Merge(&cleared, start) || b.Standing(baobabtide.Digest{1}, start) != Clear {
		t.Error("the other node does not clear the request")
	}
}

// Many requests with one crash each, as any crash leaves behind, don't displace one that is
// quarantined.
func TestQuarantineSurvivesManyEntries(t *testing.T) {
	var table Table
	crashed(&table, 1, 1, 2, 3)
	for i := range uint32(3 * maxEntries) {
		req := &baobabtide.Request{Digest: digestOf(9, i), Service: "s"}
		table.RecordCrash(req, Crash{Server: "c", Incarnation: uint64(i)}, start.Add(time.Duration(i)*time.Millisecond))
	}
	if diff := cmp.Diff(Quarantined, table.Standing(baobabtide.Digest{1}, start)); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
	if got := len(table.Entries(start)); got > maxEntries {
		t.Errorf("%d entries, %d are allowed", got, maxEntries)
	}
}

// Whatever order messages arrive in, and however often, nodes with the same messages agree,
// and a message that changes nothing is not forwarded.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source Table
		var entries []Entry
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			digest := rapid.Byte().Filter(func(b byte) bool { return b > 0 && b < 4 }).Draw(t, "digest")
			if rapid.IntRange(0, 4).Draw(t, "clear") == 0 {
				source.Clear(baobabtide.Digest{digest}, start)
			} else {
				crashed(&source, digest, rapid.Uint64Range(1, 9).Draw(t, "incarnation"))
			}
			entries = append(entries, source.Entries(start)...)
		}
		var a, b Table
		for _, entry := range entries {
			a.Merge(&entry, start)
		}
		for _, i := range rapid.Permutation(indexes(len(entries))).Draw(t, "order") {
			b.Merge(&entries[i], start)
			if b.Merge(&entries[i], start) {
				t.Fatal("a repeated message changes the table")
			}
		}
		if diff := cmp.Diff(a.Entries(start), b.Entries(start)); diff != "" {
			t.Fatalf("tables (-first +second):\n%s", diff)
		}
		for _, entry := range a.Entries(start) {
			if err := entry.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestEntryCheck(t *testing.T) {
	entry := func(change func(*Entry)) Entry {
		e := Entry{Digest: baobabtide.Digest{1}, Service: "s", Crashes: []Crash{{"a", 1}, {"b", 1}}}
		change(&e)
		return e
	}
	tests := map[string]struct {
		entry Entry
		want  string
	}{
		"valid":         {entry(func(*Entry) {}), ""},
		"no digest":     {entry(func(e *Entry) { e.Digest = baobabtide.Digest{} }), "Digest: empty"},
		"not sorted":    {entry(func(e *Entry) { e.Crashes[0].Server = "c" }), "Crashes[1].Server: not sorted"},
		"no server":     {entry(func(e *Entry) { e.Crashes[0].Server = "" }), `Crashes[0].Server: "", 1 to 128 bytes are allowed`},
		"negative age":  {entry(func(e *Entry) { e.Age = -1 }), "Age: -1ns, 0 to 100h0m0s are allowed"},
		"many crashes":  {entry(func(e *Entry) { e.Crashes = make([]Crash, maxCrashes+1) }), "Crashes: 7 exceed 6"},
		"long path":     {entry(func(e *Entry) { e.Path = string(make([]byte, maxPathLength+1)) }), "Path: 257 bytes exceed 256"},
		"long service":  {entry(func(e *Entry) { e.Service = string(make([]byte, maxNameLength+1)) }), "Service, Method: one exceeds 128 bytes"},
		"after a clear": {entry(func(e *Entry) { e.Crashes, e.Epoch = nil, 1 }), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := tt.entry.Check(); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzEntry(f *testing.F) {
	data, err := btcodec.EncodeJSON(Entry{Digest: baobabtide.Digest{1}, Service: "s", Crashes: []Crash{{"a", 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := btcodec.DecodeJSON[Entry](data)
		if err != nil {
			return
		}
		var table Table
		table.Merge(entry, start)
		if table.Merge(entry, start) {
			t.Error("a repeated entry changes the table")
		}
	})
}
