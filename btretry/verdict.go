// Package btretry decides what becomes of a request whose attempt went wrong,
// and bounds how many retries a node sends.
package btretry

import "github.com/baobabtide/baobabtide"

// Event is how an attempt ended.
type Event uint8

// Events of an attempt.
const (
	EventRefused      Event = iota // the admitting node refused it before it reached the backend server
	EventNotSent                   // the connection broke before the request was sent
	EventLost                      // the connection broke after the request was sent, nothing is known
	EventLostNotRun                // as EventLost, then the admitting node fenced the attempt off
	EventLostRan                   // as EventLost, then the admitting node said that it ran
	EventBackendLost               // the admitting node lost its backend server after sending
	EventTruncated                 // the answer began and broke off
	EventTimeout                   // the deadline passed while the attempt was under way
	EventTimeoutUnrun              // the deadline passed before the request was sent
	eventCount
)

// Action is what to do next.
type Action uint8

// Actions.
const (
	Retry  Action = iota // send it to another target, budget and deadline allowing
	Settle               // ask the admitting node over a new connection
	Answer               // answer the caller with the verdict
)

// Row is one line of the verdict table.
type Row struct {
	Event      Event
	Idempotent bool
	Verdict    baobabtide.Verdict
	Action     Action
}

// table says for each event and kind of request what is known and done. An
// idempotent request may be retried whatever is known; any other one only when
// it is proven that it has not run.
var table = [eventCount][2]Row{
	EventRefused:      {{EventRefused, false, baobabtide.NotRun, Retry}, {EventRefused, true, baobabtide.NotRun, Retry}},
	EventNotSent:      {{EventNotSent, false, baobabtide.NotRun, Retry}, {EventNotSent, true, baobabtide.NotRun, Retry}},
	EventLost:         {{EventLost, false, baobabtide.MayHaveRun, Settle}, {EventLost, true, baobabtide.MayHaveRun, Retry}},
	EventLostNotRun:   {{EventLostNotRun, false, baobabtide.NotRun, Retry}, {EventLostNotRun, true, baobabtide.NotRun, Retry}},
	EventLostRan:      {{EventLostRan, false, baobabtide.Ran, Answer}, {EventLostRan, true, baobabtide.Ran, Retry}},
	EventBackendLost:  {{EventBackendLost, false, baobabtide.MayHaveRun, Answer}, {EventBackendLost, true, baobabtide.MayHaveRun, Retry}},
	EventTruncated:    {{EventTruncated, false, baobabtide.Ran, Answer}, {EventTruncated, true, baobabtide.Ran, Answer}},
	EventTimeout:      {{EventTimeout, false, baobabtide.MayHaveRun, Answer}, {EventTimeout, true, baobabtide.MayHaveRun, Answer}},
	EventTimeoutUnrun: {{EventTimeoutUnrun, false, baobabtide.NotRun, Answer}, {EventTimeoutUnrun, true, baobabtide.NotRun, Answer}},
}

// Decide returns the row for an event.
func Decide(event Event, idempotent bool) Row {
	if event >= eventCount {
		return Row{Event: event, Idempotent: idempotent, Verdict: baobabtide.MayHaveRun, Action: Answer}
	}
	if idempotent {
		return table[event][1]
	}
	return table[event][0]
}
