package btlocal

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
)

func announced(state baobabtide.TargetState) []btbackend.Server {
	return []btbackend.Server{{Announcement: btbackend.Announcement{
		Name: "b", Service: "s", Version: "v1", Address: "127.0.0.1:1", State: state, Slots: 1, Incarnation: 1, Lease: time.Second,
	}}}
}

// reasonOf returns why a request is not let in, empty where it is.
func reasonOf(a *Admitter) baobabtide.Reason {
	req := &baobabtide.Request{Attempt: "a", Service: "s", Idempotent: true, Method: "GET", Target: "/", Deadline: time.Now().Add(time.Second)}
	resp, err := a.Admit(context.Background(), "b", 1, req)
	if err != nil {
		return baobabtide.AsRequestError(err).Reason
	}
	_ = resp.Body.Close()
	return ""
}

// A server that was taken over as draining from a former process, and then
// announced itself as ready, got no work until it restarted.
func TestServerThatIsReadyAgainGetsWork(t *testing.T) {
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update(announced(baobabtide.TargetDraining))
	if diff := cmp.Diff(baobabtide.ReasonDraining, reasonOf(a)); diff != "" {
		t.Errorf("draining (-want +got):\n%s", diff)
	}
	a.Update(announced(baobabtide.TargetReady))
	if diff := cmp.Diff(baobabtide.ReasonUnreached, reasonOf(a)); diff != "" { // nothing listens at the address
		t.Errorf("ready again (-want +got):\n%s", diff)
	}
}
