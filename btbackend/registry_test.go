package btbackend

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

// start models one start of a backend server.
type start struct {
	name         string
	incarnation  uint64
	sequence     uint64
	departing    bool // it has announced that it is draining or gone
	acknowledged bool // that announcement was received by the registry
}

// After the registry has acknowledged that an incarnation of a backend server is
// draining or gone, it never lists that incarnation as ready again, whatever late,
// repeated or reordered announcements, restarts under the same name and expired
// leases follow.
func TestAcknowledgedDepartureIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		now := time.Unix(10_000, 0)
		var starts []*start
		var sent []Announcement // may arrive any number of times
		addStart := func(name string) {
			starts = append(starts, &start{name: name, incarnation: uint64(len(starts) + 1)})
		}
		addStart("b")
		announce := func(state baobabtide.TargetState, gone bool) {
			s := starts[len(starts)-1]
			if s.departing && state == baobabtide.TargetReady && !gone {
				return // a draining server does not become ready again
			}
			s.sequence++
			s.departing = s.departing || state == baobabtide.TargetDraining || gone
			a := announcement(s.name, s.incarnation, s.sequence, state)
			a.Gone = gone
			sent = append(sent, a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ready":    func(*rapid.T) { announce(baobabtide.TargetReady, false) },
			"draining": func(*rapid.T) { announce(baobabtide.TargetDraining, false) },
			"gone":     func(*rapid.T) { announce(baobabtide.TargetReady, true) },
			"restart": func(t *rapid.T) {
				addStart(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "name"))
			},
			"arrive": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				a := rapid.SampledFrom(sent).Draw(t, "announcement")
				r.Announce(a, now)
				if a.Gone || a.State == baobabtide.TargetDraining {
					starts[a.Incarnation-1].acknowledged = true
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "time")))
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, target := range r.Targets() {
					if target.State == baobabtide.TargetReady && starts[target.Incarnation-1].acknowledged {
						t.Fatalf("incarnation %d of %q is ready after its departure was acknowledged", target.Incarnation, target.Name)
					}
				}
			},
		})
	})
}

// What a server said in a response about its end holds for its incarnation, whatever it
// announces later.
func TestServerThatSaidItLeavesStaysDraining(t *testing.T) {
	var r Registry
	start := time.Unix(1000, 0)
	a := Announcement{Name: "b", Service: "s", Version: "v1", Address: "127.0.0.1:1", State: baobabtide.TargetReady, Slots: 1, Incarnation: 7, Lease: time.Minute}
	state := func() string {
		if servers := r.Servers(); len(servers) == 1 {
			return servers[0].Announcement.State.String()
		}
		return "none"
	}
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"announced", func() { r.Announce(a, start) }, "ready"},
		{"another incarnation said so", func() { r.MarkLeaving("b", 6) }, "ready"},
		{"said so", func() { r.MarkLeaving("b", 7) }, "draining"},
		{"announced as ready", func() { r.Announce(a, start) }, "draining"},
		{"restarted", func() { a.Incarnation = 8; r.Announce(a, start) }, "ready"},
	}
	for _, step := range steps {
		step.do()
		if diff := cmp.Diff(step.want, state()); diff != "" {
			t.Errorf("%s: state (-want +got):\n%s", step.name, diff)
		}
	}
}

// A server too many made all peers refuse what the node announces.
func TestSurplusServerIsNotAnnounced(t *testing.T) {
	var r Registry
	now := time.Unix(1000, 0)
	announce := func(i int) bool {
		a := announcement(fmt.Sprintf("b%d", i), 1, 1, baobabtide.TargetReady)
		a.Address = fmt.Sprintf("127.0.0.1:%d", i)
		return r.Announce(a, now)
	}
	for i := 1; i <= baobabtide.MaxTargets; i++ {
		if !announce(i) {
			t.Fatalf("server %d is refused", i)
		}
	}
	if announce(baobabtide.MaxTargets + 1) {
		t.Error("a server too many is accepted")
	}
	if !announce(1) {
		t.Error("a known server is refused")
	}
	m := baobabtide.Member{Name: "n", Zone: "z", Targets: r.Targets()}
	if err := m.Check(); err != nil {
		t.Errorf("a peer refuses the member: %v", err)
	}
}

// A server that turned cold between two announcements got as many requests as before: its
// announcement was taken for a repeated one.
func TestServerTurnsColdUnnoticed(t *testing.T) {
	var r Registry
	start := time.Unix(1000, 0)
	steps := []struct {
		name    string
		cold    time.Duration
		changed bool
	}{
		{"starts cold", 3 * time.Second, true},
		{"is still cold", 1500 * time.Millisecond, true},
		{"is no longer cold", 0, true},
		{"repeats that", 0, false},
		{"turns cold", 2 * time.Second, true},
	}
	for i, step := range steps {
		at := start.Add(time.Duration(i) * 1500 * time.Millisecond)
		changed := r.Changed()
		a := announcement("b", 1, uint64(i), baobabtide.TargetReady)
		a.Cold = step.cold
		r.Announce(a, at)
		if diff := cmp.Diff(at.Add(step.cold), r.Servers()[0].ColdUntil); diff != "" {
			t.Errorf("%s: end of the cold time (-want +got):\n%s", step.name, diff)
		}
		notified := false
		select {
		case <-changed:
			notified = true
		default:
		}
		if diff := cmp.Diff(step.changed, notified); diff != "" {
			t.Errorf("%s: change (-want +got):\n%s", step.name, diff)
		}
	}
}
