// Package btpanic confines a panic to the work that caused it, so that one request or message
// can't end the process with all others.
package btpanic

import (
	"fmt"
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// Error is the error of work that has panicked.
type Error struct {
	Work  string // what was done
	Cause any    // value of the panic
	Stack []byte
}

// Error returns the work and the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("%s: panic: %v", e.Work, e.Cause) }

// Report is called for each panic that was caught. It must be safe for concurrent use. A nil
// Report ignores them.
type Report func(err *Error)

// Catch calls f and returns an *Error, which it reports, if f panics, nil otherwise.
func Catch(work string, report Report, f func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		caught := &Error{Work: work, Cause: cause, Stack: debug.Stack()}
		if report != nil {
			report(caught)
		}
		err = caught
	}()
	f()
	return nil
}

// Handler returns an HTTP handler that responds with status 500 if the given one panics.
func Handler(work string, report Report, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := Catch(work, report, func() { handler(ctx) }); err != nil {
			ctx.Response.Reset()
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}
}
