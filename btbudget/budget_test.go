package btbudget

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// holding is a reservation.
type holding struct {
	kind Kind
	size int64
}

// Guards against bytes that are reserved beyond the limit or never released: after any
// sequence of reservations and releases the sums match what is held, and in the end they are 0.
func TestSumReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
		b := New(limit)
		var held []holding
		sum := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				h := holding{rapid.SampledFrom(Kinds()).Draw(t, "kind"), rapid.Int64Range(0, 400).Draw(t, "size")}
				class := rapid.SampledFrom([]Class{General, Ordinary}).Draw(t, "class")
				most := limit
				if class == General {
					most -= limit / reservedDivisor
				}
				want := limit == 0 || sum+h.size <= most
				if got := b.Reserve(h.kind, class, h.size); got != want {
					t.Fatalf("reserve %d of class %d with %d held: %v, want %v", h.size, class, sum, got, want)
				}
				if want {
					held, sum = append(held, h), sum+h.size
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing is held")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "index")
				b.Release(held[i].kind, held[i].size)
				sum -= held[i].size
				held = append(held[:i], held[i+1:]...)
			},
			"": func(t *rapid.T) {
				byKind := int64(0)
				for _, kind := range Kinds() {
					byKind += b.UsedFor(kind)
				}
				if diff := cmp.Diff([]int64{sum, sum}, []int64{b.Used(), byKind}); diff != "" {
					t.Fatalf("sums (-want +got):\n%s", diff)
				}
			},
		})
		for _, h := range held {
			b.Release(h.kind, h.size)
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes are reserved in the end", b.Used())
		}
	})
}

// Guards against a limit that is exceeded when many goroutines reserve at once.
func TestConcurrentReservations(t *testing.T) {
	const limit, size, goroutines, rounds = 1000, 30, 16, 2000
	b := New(limit)
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range rounds {
				if !b.Reserve(Body, Ordinary, size) {
					continue
				}
				if used := b.Used(); used > limit {
					t.Errorf("%d bytes of %d are reserved", used, limit)
				}
				b.Release(Body, size)
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 || b.UsedFor(Body) != 0 {
		t.Errorf("%d bytes are reserved in the end, %d for bodies", b.Used(), b.UsedFor(Body))
	}
}

// Guards against a nil or zero budget that refuses.
func TestNoLimit(t *testing.T) {
	for name, b := range map[string]*Budget{"nil": nil, "zero": {}} {
		if !b.Reserve(Body, General, 1<<50) || b.Short() || b.Limited() {
			t.Errorf("%s: refused or short", name)
		}
		b.Release(Body, 1<<50)
		if b.Used() != 0 {
			t.Errorf("%s: %d bytes are reserved in the end", name, b.Used())
		}
	}
}

// Guards against a process that takes its memory to be larger than its control group
// allows.
func TestCgroupLimit(t *testing.T) {
	tests := map[string]struct {
		membership string
		files      map[string]string
		want       int64
	}{
		"none":                 {"0::/a\n", nil, 0},
		"version 2":            {"0::/a/b\n", map[string]string{"a/b/memory.max": "1000\n"}, 1000},
		"version 2, no limit":  {"0::/a\n", map[string]string{"a/memory.max": "max\n"}, 0},
		"lower limit above":    {"0::/a/b\n", map[string]string{"a/b/memory.max": "max\n", "a/memory.max": "500\n"}, 500},
		"version 1":            {"5:cpu:/x\n4:memory:/m\n", map[string]string{"memory/m/memory.limit_in_bytes": "700\n"}, 700},
		"version 1, no limit":  {"4:memory:/\n", map[string]string{"memory/memory.limit_in_bytes": "9223372036854771712\n"}, 0},
		"malformed membership": {"nonsense\n", nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			root := t.TempDir()
			membership := filepath.Join(root, "membership")
			if err := os.WriteFile(membership, []byte(tt.membership), 0o600); err != nil {
				t.Fatal(err)
			}
			for path, text := range tt.files {
				path = filepath.Join(root, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if got := cgroupLimit(membership, root); got != tt.want {
				t.Errorf("limit %d, want %d", got, tt.want)
			}
		})
	}
}
