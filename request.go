package baobabtide

import (
	"context"
	"io"
	"math"
	"time"
)

// HeaderField is one field of an HTTP header.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a caller's request that was matched to a route.
type Request struct {
	ID         string // chosen by the caller, empty for none; the response must repeat it
	Attempt    string // unique per attempt, chosen by the node that got the request from the caller
	Origin     string // service beside the node that got the request from the caller, empty for none
	Host       string // host that the request names
	Customer   string
	Service    string
	Version    string
	Route      string
	Key        string // Idempotency-Key, empty if the caller sent none
	Idempotent bool
	Priority   int    // higher goes first; that of the route, or RequestPriority where the contract has accounts
	Rollout    Offset // offset of the rollout that the attempt is evidence for, 0 for none
	Method     string
	Target     string // request target: path and query
	Header     []HeaderField
	Body       Body  // nil for no body
	BodyLength int64 // bytes, -1 if unknown
	Deadline   time.Time
	Objective  time.Time // end of the latency objective, zero for the deadline
	Late       bool      // admit the request even if it can't meet the objective
	Depth      int       // number of calls between services that led to this request, 0 if it came from outside the mesh
	Retried    bool      // this request or one that led to it was already retried
	Digest     Digest    // of the customer, host, method, target and body
	RateLimit  float64   // requests per second that the target accepts as far as the sending node knows, 0 for no limit
	Account    string    // client account of the caller, empty for none

	// KeyDigest is of the account key that the caller sent, nil if it sent none and zero if it sent
	// an empty one or several. Requests between nodes don't carry it.
	KeyDigest *KeyDigest
	// AccountUse is the demand of the account over all nodes, divided by its limit, 0 if unknown.
	AccountUse float64

	// MaxWait is the expected wait for a slot beyond which the admitting node refuses the
	// request with ReasonBusy, 0 for no limit.
	MaxWait time.Duration
}

// Body is the body of a request.
type Body interface {
	io.Reader
	// Rewind makes the next Read start at the beginning again. It returns false
	// if that is not possible.
	Rewind() bool
}

// BytesBody is a body in memory.
type BytesBody struct {
	Data []byte
	read int
}

// Read implements io.Reader.
func (b *BytesBody) Read(p []byte) (int, error) {
	if b.read >= len(b.Data) {
		return 0, io.EOF
	}
	n := copy(p, b.Data[b.read:])
	b.read += n
	return n, nil
}

// Rewind implements Body.
func (b *BytesBody) Rewind() bool {
	b.read = 0
	return true
}

// Response is the response of a backend server. It is complete only once Body was read
// to io.EOF. Closing Body releases the connection.
type Response struct {
	Status  int
	Header  []HeaderField
	Body    io.ReadCloser
	Length  int64         // of the body in bytes, -1 if unknown
	Version string        // of the backend server
	Node    string        // admitting node
	Load    Load          // of the target
	Took    time.Duration // time until the backend server began its response
	Excused bool          // the response is a failure that may be due to a failed call of the backend server; it is no evidence on the version
}

// CheckStatus returns a FieldError if a status is not that of a final response.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return Fieldf("Status", "%d, %d to %d are allowed", status, minStatus, maxStatus)
	}
	return nil
}

const (
	minStatus = 200
	maxStatus = 999
)

// Load is the load of a target as its admitting node reports it with each response
// and refusal.
type Load struct {
	InFlight int           `cbor:"1,keyasint"`           // requests that run
	Queued   int           `cbor:"2,keyasint"`           // requests that wait for a slot
	Slots    int           `cbor:"3,keyasint"`           // largest number of requests that run at the same time, 0 if the load is unknown
	Work     time.Duration `cbor:"4,keyasint,omitempty"` // expected duration of a request of the same route
	Failing  int           `cbor:"5,keyasint,omitempty"` // failure rate of the target's requests, in thousandths
	Call     bool          `cbor:"6,keyasint,omitempty"` // the route is used only by calls that running requests make

	RateLimit float64       `cbor:"7,keyasint,omitempty"` // requests per second that the backend server accepts, 0 for no limit
	Turn      time.Duration `cbor:"8,keyasint,omitempty"` // until RateLimit allows a further request
	Leaving   bool          `cbor:"9,keyasint,omitempty"` // the backend server has said that it is about to stop
}

// maxFailing is the largest value of Load.Failing.
const maxFailing = 1000

// Check returns a FieldError for the first field that no target can have, nil if there is none.
func (l *Load) Check() error {
	switch {
	case l.InFlight < 0:
		return Fieldf("InFlight", "%d is negative", l.InFlight)
	case l.Queued < 0:
		return Fieldf("Queued", "%d is negative", l.Queued)
	case l.Slots < 0 || l.Slots > maxSlots:
		return Fieldf("Slots", "%d, 0 to %d are allowed", l.Slots, maxSlots)
	case l.Work < 0:
		return Fieldf("Work", "%s is negative", l.Work)
	case l.Failing < 0 || l.Failing > maxFailing:
		return Fieldf("Failing", "%d, 0 to %d are allowed", l.Failing, maxFailing)
	case l.RateLimit < 0 || math.IsNaN(l.RateLimit) || math.IsInf(l.RateLimit, 0):
		return Fieldf("RateLimit", "%v is not a rate", l.RateLimit)
	case l.Turn < 0:
		return Fieldf("Turn", "%s is negative", l.Turn)
	}
	return nil
}

// Backend carries one request to a local backend server.
type Backend interface {
	// Do sends the request and returns once the response's header has arrived.
	// Errors are of type *RequestError.
	Do(ctx context.Context, req *Request) (*Response, error)
}

// Forwarder carries one request to the admitting node of a target.
type Forwarder interface {
	// Forward sends the request and returns once the response's header has
	// arrived. Errors are of type *RequestError.
	Forward(ctx context.Context, target TargetRef, req *Request) (*Response, error)
	// Settle asks the admitting node, over a new connection, whether an attempt
	// ran. An attempt that has not begun is fenced off and never begins.
	Settle(ctx context.Context, target TargetRef, attempt string) (Verdict, error)
}

// Handler serves requests from callers.
type Handler interface {
	// Serve returns the response of a backend server to a request. It fails if
	// the request was refused or if no response arrived.
	Serve(ctx context.Context, req *Request) (*Response, error)
}

// Admitter admits requests to the backend servers beside a node.
type Admitter interface {
	// Admit runs a request on the local backend server with a name and an
	// incarnation. Errors are of type *RequestError.
	Admit(ctx context.Context, target string, incarnation uint64, req *Request) (*Response, error)
	// SettleLocal returns whether an attempt ran, as a verdict, and fences it off
	// if it has not begun.
	SettleLocal(attempt string) Verdict
}
