package baobabtide

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a request may have run on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that nothing is proven. It is the zero value, so that
	// an error without a verdict is never taken as proof.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the backend server answered.
	Ran
)

// String returns the verdict as it stands in headers and logs.
func (v Verdict) String() string { return verdictNames[min(v, Ran)] }

// Reason names why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonNoConfig     Reason = "no-configuration"
	ReasonNoCustomer   Reason = "unknown-customer"
	ReasonNoRoute      Reason = "no-route"
	ReasonNoTarget     Reason = "no-target"
	ReasonBadRequest   Reason = "bad-request"
	ReasonTooLarge     Reason = "too-large"
	ReasonOverload     Reason = "overload"
	ReasonTooSlow      Reason = "too-slow" // the target can't answer before the deadline
	ReasonRateLimit    Reason = "rate-limit"
	ReasonDraining     Reason = "draining"
	ReasonDeadline     Reason = "deadline"
	ReasonCanceled     Reason = "canceled"
	ReasonFenced       Reason = "fenced"
	ReasonDuplicateKey Reason = "duplicate-key"
	ReasonPartner      Reason = "key-partner-unreachable"
	ReasonLost         Reason = "connection-lost"
	ReasonBackend      Reason = "backend-refused"
	ReasonUnreached    Reason = "backend-unreached" // no connection to the backend server could be had
	ReasonMisdirected  Reason = "backend-replaced"  // another backend server has the address
	ReasonTruncated    Reason = "truncated-response"
	ReasonTooDeep      Reason = "too-deep"
)

// RequestError reports a request that got no answer from its service.
type RequestError struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // zero when a retry can't help
	Reached    bool          // a backend server has seen the request, even if it did not run it
	Load       Load          // of the refusing target, zero Slots for unknown
	Err        error         // cause, may be nil
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Refuse returns a RequestError for a request that has not run.
func Refuse(reason Reason, retryAfter time.Duration, err error) *RequestError {
	return &RequestError{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Err: err}
}

// AsRequestError returns the RequestError in err's chain. An error without one
// proves nothing and becomes MayHaveRun.
func AsRequestError(err error) *RequestError {
	var re *RequestError
	if errors.As(err, &re) {
		return re
	}
	return &RequestError{Reason: ReasonLost, Err: err}
}
