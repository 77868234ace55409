package btledger

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btfixture"
)

func TestMain(m *testing.M) { os.Exit(btfixture.RunSeeded(m)) }

// modelAttempt is the state of an attempt in the model.
type modelAttempt struct {
	begun      bool
	endVerdict baobabtide.Verdict
	ended      bool
	fenced     bool // Settle has returned NotRun
}

// A verdict of Settle must be true and stay true: an attempt that is reported as NotRun has
// not run before and never begins later, for any order of Begin, End and Settle, with
// duplicates and any time between them.
func TestSettleVerdictIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		attempts := make(map[string]*modelAttempt)
		at := now
		draw := func(t *rapid.T) (string, *modelAttempt) {
			name := fmt.Sprintf("attempt-%d", rapid.IntRange(0, 4).Draw(t, "attempt"))
			if attempts[name] == nil {
				attempts[name] = &modelAttempt{}
			}
			return name, attempts[name]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				name, a := draw(t)
				_, refusal := l.Begin(name, "", at)
				if refusal == nil && a.fenced {
					t.Fatalf("%s begins although Settle has returned NotRun", name)
				}
				a.begun = a.begun || refusal == nil
			},
			"end": func(t *rapid.T) {
				name, a := draw(t)
				if !a.begun || a.ended {
					return
				}
				a.endVerdict = rapid.SampledFrom([]baobabtide.Verdict{baobabtide.NotRun, baobabtide.Ran, baobabtide.MayHaveRun}).Draw(t, "verdict")
				a.ended = true
				l.End(name, "", a.endVerdict, nil)
			},
			"ask": func(t *rapid.T) {
				name, a := draw(t)
				verdict := l.Settle(name, at)
				switch {
				case verdict == baobabtide.NotRun && a.begun && (!a.ended || a.endVerdict != baobabtide.NotRun):
					t.Fatalf("%s has begun and ended as %v, but Settle returned NotRun", name, a.endVerdict)
				case verdict == baobabtide.Ran && (!a.ended || a.endVerdict != baobabtide.Ran):
					t.Fatalf("Settle returned Ran for %s, which ended as %v", name, a.endVerdict)
				}
				a.fenced = a.fenced || verdict == baobabtide.NotRun
			},
			"wait": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.Int64Range(0, int64(retention/8)).Draw(t, "time")))
			},
		})
	})
}
