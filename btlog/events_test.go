package btlog

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

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
	_ = reader.Close()
	closeOut()
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
