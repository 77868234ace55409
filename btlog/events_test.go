package btlog

import (
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
)

// Every event must be described on the operators' page.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range Events() {
		if !strings.Contains(string(page), string(event)) {
			t.Errorf("docs/OPERATIONS.md does not describe %q", event)
		}
	}
}

// If nothing reads the output, lines are lost, but logging must not block.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	out, closeOut := NewWriter(writer)
	log := zerolog.New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * bufferedLines {
			log.Info().Str("event", "x").Send()
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocks on its output")
	}
	if lost := out.Lost(); lost < 8*bufferedLines {
		t.Errorf("only %d of %d lines are counted as lost", lost, 10*bufferedLines)
	}
	_ = reader.Close()
	closeOut()
}

// A line must be written at once, also if no other line follows, and the last one before
// the Writer is closed.
func TestLineIsWrittenWithoutAnother(t *testing.T) {
	const lines = 20_000
	written := make(chan string)
	out, closeOut := NewWriter(writerFunc(func(p []byte) (int, error) {
		written <- string(p)
		return len(p), nil
	}))
	for i := range lines {
		want := strconv.Itoa(i)
		_, _ = out.Write([]byte(want))
		select {
		case got := <-written:
			if got != want {
				t.Fatalf("line %s was written in place of %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("line %s was not written", want)
		}
	}
	closeOut()
}

// writerFunc implements io.Writer.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// All lines before the close must be written, in their order.
func TestCloseWritesAllLines(t *testing.T) {
	for range 2_000 {
		var text strings.Builder
		out, closeOut := NewWriter(&text)
		_, _ = out.Write([]byte("a"))
		runtime.Gosched()
		_, _ = out.Write([]byte("b"))
		closeOut()
		if diff := cmp.Diff("ab", text.String()); diff != "" {
			t.Fatalf("text (-want +got):\n%s", diff)
		}
	}
}

func TestRequestLinesAreRateLimited(t *testing.T) {
	d := NewDecisionLog(zerolog.Nop())
	req := &baobabtide.Request{ID: "r", Deadline: time.Now().Add(time.Second)}
	for range 10 * lineBurst {
		d.Request(RequestMoved, req).Send()
	}
	if dropped := d.Dropped(); dropped < 8*lineBurst {
		t.Errorf("only %d of %d lines were dropped", dropped, 10*lineBurst)
	}
	var disabled *DecisionLog
	disabled.Request(RequestMoved, req).Send()
}

func BenchmarkDecision(b *testing.B) {
	d := NewDecisionLog(zerolog.New(io.Discard))
	req := &baobabtide.Request{ID: "9c41d07be2a35f68", Route: "r", Service: "s", Attempt: "n.1.1", Deadline: time.Now().Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		d.Request(RequestMoved, req).Int("running", 6).Send()
	}
}

// Lines about backend servers were lost among those about refused requests.
func TestServerLinesSurviveRequestLines(t *testing.T) {
	var out strings.Builder
	d := NewDecisionLog(zerolog.New(&out))
	for range 10 * lineBurst {
		d.Request(RequestRefused, &baobabtide.Request{}).Send()
	}
	d.Server(TargetCrashed, "b").Send()
	if !strings.Contains(out.String(), string(TargetCrashed)) {
		t.Error("the line about the server is missing")
	}
}
