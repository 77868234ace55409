package baobabtide

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request has run on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that it is not known whether the request has run. It is
	// the zero value, so that an error without a verdict is never taken as proof.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the request has run and the backend server responded.
	Ran
)

// String returns the verdict as headers and logs show it.
func (v Verdict) String() string { return verdictNames[min(v, Ran)] }

// Reason states why a request was refused or failed.
type Reason string

// Reasons of a refusal or failure.
const (
	ReasonNoConfig     Reason = "no-configuration"
	ReasonNoCustomer   Reason = "unknown-customer"
	ReasonNoRoute      Reason = "no-route"
	ReasonNoTarget     Reason = "no-target"
	ReasonBadRequest   Reason = "bad-request"
	ReasonManyFields   Reason = "too-many-fields" // in the header
	ReasonSlowClient   Reason = "slow-client"     // the request arrived too slowly
	ReasonTooLarge     Reason = "too-large"
	ReasonOverload     Reason = "overload"
	ReasonBusy         Reason = "busy"     // another target is expected to respond earlier
	ReasonTooSlow      Reason = "too-slow" // the target can't respond before the deadline
	ReasonRateLimit    Reason = "rate-limit"
	ReasonUnknownKey   Reason = "unknown-key"   // no account has the key of the request
	ReasonAccountLimit Reason = "account-limit" // the account has used up its limit
	ReasonDraining     Reason = "draining"
	ReasonDeadline     Reason = "deadline"
	ReasonCanceled     Reason = "canceled"
	ReasonFenced       Reason = "fenced"
	ReasonDuplicateKey Reason = "duplicate-key"
	ReasonPartner      Reason = "key-partner-unreachable"
	ReasonLost         Reason = "connection-lost"
	ReasonBackend      Reason = "backend-refused"
	ReasonUnreached    Reason = "backend-unreached" // no connection to the backend server could be opened
	ReasonMisdirected  Reason = "backend-replaced"  // another backend server responds at the address
	ReasonTruncated    Reason = "truncated-response"
	ReasonTooDeep      Reason = "too-deep"
	ReasonInternal     Reason = "internal-error" // the node has failed on the request
	ReasonQuarantined  Reason = "quarantined"    // the request has crashed the backend servers that ran it
	ReasonSuspect      Reason = "suspect"        // it may have crashed backend servers, and another such request runs on the target
)

// RequestError is the error of a request without a response of its service.
type RequestError struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // zero if a retry can't help
	Reached    bool          // a backend server got the request, even if it did not run it
	Crashed    bool          // the backend server ended while it had the request
	Load       Load          // of the target that refused, Slots is 0 if unknown
	Err        error         // cause, may be nil
}

// Error returns the reason, the verdict and the cause, if any.
func (e *RequestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Refuse returns a RequestError for a request that has not run and never will.
func Refuse(reason Reason, retryAfter time.Duration, err error) *RequestError {
	return &RequestError{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Err: err}
}

// AsRequestError returns the RequestError in err's chain. It wraps an error without
// one, which proves nothing, in a RequestError with MayHaveRun and ReasonLost.
func AsRequestError(err error) *RequestError {
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		return requestErr
	}
	return &RequestError{Reason: ReasonLost, Err: err}
}
