package btbackend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

const loadHeader = "Test-Load"

// By default no header is a load report.
func TestLoadIsNotReadByDefault(t *testing.T) {
	var resp fasthttp.Response
	resp.Header.Add(loadHeader, "1,0,6")
	p := &Pool{Names: DefaultNames()}
	if diff := cmp.Diff(Notice{Status: 200}, p.notice(&resp)); diff != "" {
		t.Errorf("notice (-want +got):\n%s", diff)
	}
}

// Each response carries a report: reading it must not cost an allocation.
func TestParseLoadDoesNotAllocate(t *testing.T) {
	value := []byte("3, 1, 6, 112")
	if got := testing.AllocsPerRun(100, func() { _, _ = parseLoad(value) }); got != 0 {
		t.Errorf("%v allocations", got)
	}
}

func TestNotice(t *testing.T) {
	tests := []struct {
		name   string
		header [][2]string
		want   Notice
	}{
		{"none", nil, Notice{Status: 200}},
		{"limit", [][2]string{{HeaderRateLimit, "4.9"}}, Notice{Status: 200, RateLimit: 4.9, HasRateLimit: true}},
		{"spaces", [][2]string{{HeaderRateLimit, " 7 "}}, Notice{Status: 200, RateLimit: 7, HasRateLimit: true}},
		{"zero", [][2]string{{HeaderRateLimit, "0"}}, Notice{Status: 200, HasRateLimit: true}},
		{"negative", [][2]string{{HeaderRateLimit, "-3"}}, Notice{Status: 200, Invalid: `"-3"`}},
		{"not a number", [][2]string{{HeaderRateLimit, "NaN"}}, Notice{Status: 200, Invalid: `"NaN"`}},
		{"exponent", [][2]string{{HeaderRateLimit, "1e3"}}, Notice{Status: 200, Invalid: `"1e3"`}},
		{"two points", [][2]string{{HeaderRateLimit, "1.2.3"}}, Notice{Status: 200, Invalid: `"1.2.3"`}},
		{"huge", [][2]string{{HeaderRateLimit, "99999999999"}}, Notice{Status: 200, RateLimit: maxRateLimit, HasRateLimit: true}},
		{"twice", [][2]string{{HeaderRateLimit, "8"}, {HeaderRateLimit, "3"}}, Notice{Status: 200, RateLimit: 3, HasRateLimit: true}},
		{"list with an invalid value", [][2]string{{HeaderRateLimit, "8, x"}}, Notice{Status: 200, RateLimit: 8, HasRateLimit: true, Invalid: `"8, x"`}},
		{"empty", [][2]string{{HeaderRateLimit, ""}}, Notice{Status: 200, Invalid: `""`}},
		{"leaving", [][2]string{{HeaderLeaving, "1"}}, Notice{Status: 200, Leaving: true}},
		{"not leaving", [][2]string{{HeaderLeaving, "0"}}, Notice{Status: 200}},
		{"load", [][2]string{{loadHeader, "3,1,6"}}, Notice{Status: 200, Load: ServerLoad{Running: 3, Waiting: 1, Slots: 6}, HasLoad: true}},
		{"service time", [][2]string{{loadHeader, " 6, 0 ,6,250"}}, Notice{Status: 200, Load: ServerLoad{Running: 6, Slots: 6, ServiceTime: 2.5}, HasLoad: true}},
		{"two figures", [][2]string{{loadHeader, "3,1"}}, Notice{Status: 200, InvalidLoad: `"3,1"`}},
		{"five figures", [][2]string{{loadHeader, "3,1,6,100,1"}}, Notice{Status: 200, InvalidLoad: `"3,1,6,100,1"`}},
		{"negative running", [][2]string{{loadHeader, "-3,1,6,100"}}, Notice{Status: 200, InvalidLoad: `"-3,1,6,100"`}},
		{"many running", [][2]string{{loadHeader, "65537,1,6,100"}}, Notice{Status: 200, InvalidLoad: `"65537,1,6,100"`}},
		{"beyond an integer", [][2]string{{loadHeader, "3,18446744073709551617,6,100"}}, Notice{Status: 200, InvalidLoad: `"3,18446744073709551617,6,100"`}},
		{"no slots", [][2]string{{loadHeader, "0,0,0,100"}}, Notice{Status: 200, InvalidLoad: `"0,0,0,100"`}},
		{"service time of 0", [][2]string{{loadHeader, "1,0,6,0"}}, Notice{Status: 200, InvalidLoad: `"1,0,6,0"`}},
		{"absurd service time", [][2]string{{loadHeader, "1,0,6,10001"}}, Notice{Status: 200, InvalidLoad: `"1,0,6,10001"`}},
		{"not a figure", [][2]string{{loadHeader, "1,0,6,NaN"}}, Notice{Status: 200, InvalidLoad: `"1,0,6,NaN"`}},
		{"empty load", [][2]string{{loadHeader, ""}}, Notice{Status: 200, InvalidLoad: `""`}},
		{"two loads", [][2]string{{loadHeader, "1,0,6"}, {loadHeader, "2,0,6"}}, Notice{Status: 200, InvalidLoad: `"2,0,6"`}},
		{"not run", [][2]string{{HeaderShed, "1"}, {HeaderRateLimit, "2"}}, Notice{Status: 200, NotRun: true, RateLimit: 2, HasRateLimit: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var resp fasthttp.Response
			for _, field := range test.header {
				resp.Header.Add(field[0], field[1])
			}
			p := &Pool{Names: DefaultNames()}
			p.Names.Load = loadHeader
			if diff := cmp.Diff(test.want, p.notice(&resp)); diff != "" {
				t.Errorf("notice (-want +got):\n%s", diff)
			}
		})
	}
}

// A server that refuses requests and says when to come back was not heard: callers came back
// after 0.2 s, all of them.
func TestRetryAfterOfServerIsPassedOn(t *testing.T) {
	tests := map[string]time.Duration{
		"":                              shedRetryAfter,
		"3":                             3 * time.Second,
		"1.5":                           1500 * time.Millisecond,
		"0":                             shedRetryAfter,
		"-1":                            shedRetryAfter,
		"99999999999999999999":          maxRetryAfter,
		"Fri, 31 Dec 1999 23:59:59 GMT": shedRetryAfter,
	}
	for value, want := range tests {
		t.Run(value, func(t *testing.T) {
			var resp fasthttp.Response
			resp.Header.Set(fasthttp.HeaderRetryAfter, value)
			if diff := cmp.Diff(want, retryAfter(&resp)); diff != "" {
				t.Errorf("RetryAfter (-want +got):\n%s", diff)
			}
		})
	}
}

// The whole way of a refusal: its header was read after the response had been given back to
// fasthttp's pool.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	address, _ := rawServer(t, func(c net.Conn, _, _ int) {
		write(c, "HTTP/1.1 503 Service Unavailable\r\n"+HeaderShed+": 1\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nfull")
	})
	p, closePool := NewPool(address, 1)
	defer closePool()
	_, err := p.Do(context.Background(), request(time.Minute))
	refusal := baobabtide.AsRequestError(err)
	want := baobabtide.RequestError{Verdict: baobabtide.NotRun, Reason: baobabtide.ReasonOverload, RetryAfter: 3 * time.Second, Reached: true}
	got := *refusal
	got.Err = nil
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}
