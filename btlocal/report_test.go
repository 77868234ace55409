package btlocal

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
)

// What a server reports of its load reaches its queue, and whatever it reports, its responses
// reach their callers, without the report.
func TestLoadReportOfServer(t *testing.T) {
	const header = "Test-Load"
	var report atomic.Value
	report.Store("1,0,6,100")
	announcement := backendServer(t, 6, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(10 * time.Millisecond)
		ctx.Response.Header.Set(header, report.Load().(string))
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Names.Load = header
	a.Update([]btbackend.Server{{Announcement: announcement}})
	send := func(attempt int) baobabtide.Load {
		t.Helper()
		resp, err := a.Admit(context.Background(), "b", 1, &baobabtide.Request{
			Attempt: strconv.Itoa(attempt), Service: "s", Route: "r", Idempotent: true, Method: "GET", Target: "/", Deadline: time.Now().Add(time.Second),
		})
		if err != nil {
			t.Fatalf("a request got no response: %v", err)
		}
		for _, field := range resp.Header {
			if field.Name == header {
				t.Errorf("the report %q was passed on", field.Value)
			}
		}
		if err := resp.Body.Close(); err != nil {
			t.Error(err)
		}
		return resp.Load
	}
	for i := range 20 {
		send(i)
	}
	normal := a.Load()["b"].Work
	report.Store("6,0,6,2000")
	send(20)
	if load := send(21); load.InFlight != 6 || load.Work < 8*normal {
		t.Errorf("load %+v after reports of 6 requests and 20 times the service time, %s before", load, normal)
	}
	for i, invalid := range []string{"6,0,6,x", "", "-1,0,6", "1,0,99999999999999999999"} {
		report.Store(invalid)
		send(30 + i)
	}
	if reports, invalid := a.Reports.Load(), a.InvalidReports.Load(); reports != 22 || invalid != 4 {
		t.Errorf("%d reports and %d that are not valid, want 22 and 4", reports, invalid)
	}
}

// A server that resets a connection while all of its slots are in use is full and not faulty: as
// with refusals that it responds, its limit falls and its failure rate stays.
func TestResetByFullServerLowersTheLimit(t *testing.T) {
	const slots = 6
	var arrived sync.WaitGroup
	var last atomic.Int64
	arrived.Add(slots)
	var later sync.WaitGroup
	later.Add(1)
	announcement := backendServer(t, slots, func(ctx *fasthttp.RequestCtx) {
		arrived.Done()
		arrived.Wait()
		if last.Add(1) == 1 {
			_ = ctx.Conn().(*net.TCPConn).SetLinger(0)
			_ = ctx.Conn().Close()
			return
		}
		later.Wait()
	})
	a, closeAdmitter := New(nil)
	defer closeAdmitter()
	a.Update([]btbackend.Server{{Announcement: announcement}})
	failures := make(chan error, slots)
	for i := range slots {
		go func() { failures <- send(a, i) }()
	}
	refusal := baobabtide.AsRequestError(<-failures)
	if refusal.Verdict != baobabtide.MayHaveRun || refusal.Reason != baobabtide.ReasonBackend {
		t.Errorf("the request whose connection was reset: %v", refusal)
	}
	if load := a.Load()["b"]; load.Slots >= slots || load.Failing > 0 || a.Resets.Load() != 1 || a.Crashes.Load() > 0 {
		t.Errorf("load %+v, %d resets, %d crashes", load, a.Resets.Load(), a.Crashes.Load())
	}
	later.Done()
	for range slots - 1 {
		if err := <-failures; err != nil {
			t.Error(err)
		}
	}
}
