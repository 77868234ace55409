// Package btretry decides whether a request whose attempt failed is retried,
// settled or answered, and limits the number of retries that a node sends.
package btretry

import "github.com/baobabtide/baobabtide"

// Event classifies how a failed attempt ended.
type Event uint8

// Events of an attempt.
const (
	EventRefused       Event = iota // the request was refused and has not run
	EventNotSent                    // the connection failed before the request was sent
	EventLost                       // the connection failed after the request was sent; the request may have run
	EventLostNotRun                 // as EventLost, and the admitting node then fenced the attempt, so it never runs
	EventLostRan                    // as EventLost, and the admitting node then reported that the request ran
	EventBackendLost                // the admitting node lost its connection to the backend server after sending the request
	EventTruncated                  // the response ended before it was complete
	EventTimeout                    // the deadline passed during the attempt; the request may have run
	EventTimeoutNotRun              // the deadline passed and the request has not run
	eventCount
)

// Action is the next step for a request after a failed attempt.
type Action uint8

// Actions after a failed attempt.
const (
	Retry  Action = iota // send the request to another target if budget and deadline allow
	Settle               // ask the admitting node over a new connection whether the attempt ran
	Answer               // return the verdict to the caller
)

// Row is one row of the decision table: the verdict and the action for an event.
type Row struct {
	Event      Event
	Idempotent bool
	Verdict    baobabtide.Verdict
	Action     Action
}

// decisions holds the verdict and the action for each event, first for
// non-idempotent, then for idempotent requests. An idempotent request may be
// retried whatever its verdict, unless its response has begun or its deadline has
// passed; a non-idempotent one only if it is proven that it has not run.
var decisions = [eventCount][2]Row{
	EventRefused:       {{EventRefused, false, baobabtide.NotRun, Retry}, {EventRefused, true, baobabtide.NotRun, Retry}},
	EventNotSent:       {{EventNotSent, false, baobabtide.NotRun, Retry}, {EventNotSent, true, baobabtide.NotRun, Retry}},
	EventLost:          {{EventLost, false, baobabtide.MayHaveRun, Settle}, {EventLost, true, baobabtide.MayHaveRun, Retry}},
	EventLostNotRun:    {{EventLostNotRun, false, baobabtide.NotRun, Retry}, {EventLostNotRun, true, baobabtide.NotRun, Retry}},
	EventLostRan:       {{EventLostRan, false, baobabtide.Ran, Answer}, {EventLostRan, true, baobabtide.Ran, Retry}},
	EventBackendLost:   {{EventBackendLost, false, baobabtide.MayHaveRun, Answer}, {EventBackendLost, true, baobabtide.MayHaveRun, Retry}},
	EventTruncated:     {{EventTruncated, false, baobabtide.Ran, Answer}, {EventTruncated, true, baobabtide.Ran, Answer}},
	EventTimeout:       {{EventTimeout, false, baobabtide.MayHaveRun, Answer}, {EventTimeout, true, baobabtide.MayHaveRun, Answer}},
	EventTimeoutNotRun: {{EventTimeoutNotRun, false, baobabtide.NotRun, Answer}, {EventTimeoutNotRun, true, baobabtide.NotRun, Answer}},
}

// Decide returns the verdict and the action for an event. An unknown event is
// answered with MayHaveRun.
func Decide(event Event, idempotent bool) Row {
	if event >= eventCount {
		return Row{Event: event, Idempotent: idempotent, Verdict: baobabtide.MayHaveRun, Action: Answer}
	}
	if idempotent {
		return decisions[event][1]
	}
	return decisions[event][0]
}
