package btlogstandin_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btplatform"
)

const (
	silence = 200 * time.Millisecond // without a response, after which a test takes a connection for silent
	longest = 10 * time.Second       // of a call that must end
)

// caller calls a log over one connection.
type caller struct {
	address string
	conn    net.Conn
}

// startServer serves a log to two callers, at two addresses.
func startServer(t *testing.T) (*btlogstandin.Log, []caller) {
	t.Helper()
	log := btlogstandin.New(retention, 100)
	server, stop := btlogstandin.NewServer(log)
	t.Cleanup(stop)
	var callers []caller
	for _, ip := range []string{"127.0.0.2", "127.0.0.3"} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		callers = append(callers, newCaller(t, listener.Addr().String()))
	}
	return log, callers
}

// newCaller opens a connection to a log.
func newCaller(t *testing.T, address string) caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return caller{address, conn}
}

// append appends an empty record and returns the outcome of the call.
func (c caller) append(timeout time.Duration) string {
	return c.call(http.MethodPost, "", timeout)
}

// read reads from an offset on and returns the outcome of the call.
func (c caller) read(from int, wait, timeout time.Duration) string {
	return c.call(http.MethodGet, fmt.Sprintf("?%s=%d&%s=%s", btplatform.FromParam, from, btplatform.WaitParam, wait), timeout)
}

func (c caller) call(method, query string, timeout time.Duration) string {
	req, err := http.NewRequest(method, "http://"+c.address+btplatform.StreamsPath+string(stream)+btplatform.RecordsSuffix+query, nil)
	if err != nil {
		return err.Error()
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if err := req.Write(c.conn); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), req)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case err != nil:
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return strconv.Itoa(resp.StatusCode)
}

// The log refuses one caller, also a read that waits, and serves the other.
func TestRefusal(t *testing.T) {
	tests := map[btlogstandin.RefusalMode]struct {
		outcome string // of a call of the refused caller
		ends    bool   // before the refusal does
	}{
		btlogstandin.Unavailable:     {"503", true},
		btlogstandin.TooManyRequests: {"429", true},
		btlogstandin.Reset:           {"reset", true},
		btlogstandin.NoResponse:      {"closed", false},
	}
	if len(tests) != len(btlogstandin.RefusalModes()) {
		t.Errorf("%d modes are tested, want %d", len(tests), len(btlogstandin.RefusalModes()))
	}
	for mode, tt := range tests {
		t.Run(string(mode), func(t *testing.T) {
			log, callers := startServer(t)
			refused, served := callers[0], callers[1]
			waiting, appended := make(chan string, 1), make(chan string, 1)
			reader := newCaller(t, refused.address)
			go func() { waiting <- reader.read(1, time.Minute, longest) }()
			log.SetFaults(btlogstandin.Faults{Refusals: []btlogstandin.Refusal{{Caller: "127.0.0.2", Mode: mode}}})
			go func() { appended <- refused.append(longest) }()
			got := map[string]string{}
			if tt.ends {
				got["waiting read"], got["append"] = <-waiting, <-appended
			}
			got["append of the other"] = served.append(longest)
			got["read of the other"] = served.read(1, time.Minute, longest)
			if !tt.ends {
				select {
				case got["waiting read"] = <-waiting:
					t.Errorf("the waiting read ended before the refusal: %s", got["waiting read"])
				case got["append"] = <-appended:
					t.Errorf("the append ended before the refusal: %s", got["append"])
				case <-time.After(silence):
				}
				log.SetFaults(btlogstandin.Faults{})
				got["waiting read"], got["append"] = <-waiting, <-appended
			}
			log.SetFaults(btlogstandin.Faults{})
			got["append afterwards"] = newCaller(t, refused.address).append(longest)
			want := map[string]string{
				"waiting read": tt.outcome, "append": tt.outcome,
				"append of the other": "200", "read of the other": "200", "append afterwards": "200",
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			if acks := log.Acks(); len(acks) != 2 {
				t.Errorf("acknowledged %v, want the appends of the other and the one afterwards", acks)
			}
		})
	}
}

// Connections that are open when the log falls silent never get a response, new ones do.
func TestSilence(t *testing.T) {
	log, callers := startServer(t)
	reader, writer := callers[0], callers[1]
	got := []string{reader.read(1, 0, longest), writer.append(longest)}
	waiting := make(chan string, 1)
	go func() { waiting <- reader.read(2, time.Minute, longest) }()
	log.SetFaults(btlogstandin.Faults{Silence: true})
	got = append(got, writer.append(silence), newCaller(t, writer.address).append(longest), newCaller(t, reader.address).read(1, 0, longest))
	log.SetFaults(btlogstandin.Faults{})
	select {
	case outcome := <-waiting:
		got = append(got, outcome)
	case <-time.After(silence):
		got = append(got, "timeout")
	}
	if diff := cmp.Diff([]string{"200", "200", "timeout", "200", "200", "timeout"}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	records, err := read(log, 1)
	if diff := cmp.Diff([]string{"1 ", "2 "}, records); diff != "" || err != nil {
		t.Errorf("error %v, records (-want +got):\n%s", err, diff)
	}
}

// The report names the appends that were answered, and no others.
func TestReport(t *testing.T) {
	log, callers := startServer(t)
	outcomes := []string{callers[0].append(longest)}
	log.SetFaults(btlogstandin.Faults{LoseAnswers: 1})
	outcomes = append(outcomes, callers[0].append(longest))
	log.SetFaults(btlogstandin.Faults{Outage: true})
	outcomes = append(outcomes, newCaller(t, callers[0].address).append(longest))
	log.SetFaults(btlogstandin.Faults{})
	outcomes = append(outcomes, callers[1].append(longest))
	if diff := cmp.Diff([]string{"200", "closed", "503", "200"}, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	_, body, err := fasthttp.Get(nil, "http://"+callers[1].address+btlogstandin.ControlPath)
	if err != nil {
		t.Fatal(err)
	}
	report, err := btcodec.DecodeJSON[btlogstandin.Report](body)
	if err != nil {
		t.Fatal(err)
	}
	var offsets []int
	for _, a := range report.Acks {
		offsets = append(offsets, int(a.Offset))
	}
	if diff := cmp.Diff([]int{1, 3}, offsets); diff != "" {
		t.Errorf("offsets (-want +got):\n%s", diff)
	}
}
