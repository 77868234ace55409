package btmember

import (
	"fmt"
	"testing"

	"github.com/baobabtide/baobabtide"
)

// All nodes must choose the same coordinators without exchanging messages, and when the first one
// fails, the second one must take its place and the others keep theirs.
func TestCoordinators(t *testing.T) {
	tables := []*Table{newTable("n0-00"), newTable("n1-03")}
	var all Delta
	for zone := range 2 {
		for i := range 6 {
			all.Members = append(all.Members, member(fmt.Sprintf("n%d-%02d", zone, i), fmt.Sprintf("z%d", zone)))
		}
	}
	names := func(tb *Table) []string {
		var names []string
		for _, m := range tb.Coordinators(3)["z0"] {
			names = append(names, m.Name)
		}
		return names
	}
	for _, tb := range tables {
		tb.Merge(all, epoch)
		tb.put(member(tb.self, "z"+tb.self[1:2]), epoch)
	}
	before := names(tables[0])
	if other := names(tables[1]); fmt.Sprint(before) != fmt.Sprint(other) || len(before) != 3 {
		t.Fatalf("coordinators %v and %v", before, other)
	}
	failed, _ := tables[1].Get(before[0])
	failed.Status = baobabtide.Failed
	tables[1].put(failed, epoch)
	if after := names(tables[1]); after[0] != before[1] || after[1] != before[2] {
		t.Errorf("coordinators %v after a failure, %v before", after, before)
	}
}
