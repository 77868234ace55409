package baobabtide

import (
	"context"
	"io"
	"time"
)

// HeaderField is one HTTP header line.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a caller's request after it was matched to a route.
type Request struct {
	ID         string // chosen by the caller, empty for none; the answer must repeat it
	Attempt    string // unique per attempt, chosen by the node that the caller asked
	Origin     string // service beside the node that the caller asked, empty for none
	Host       string // host that the caller asked for
	Customer   string
	Service    string
	Version    string
	Route      string
	Key        string // Idempotency-Key, empty if the caller sent none
	Idempotent bool
	Priority   int
	Rollout    Offset // rollout that the attempt is evidence for, 0 for none
	Method     string
	Target     string // request target: path and query
	Header     []HeaderField
	Body       Body  // nil for none
	BodyLength int64 // -1 when unknown
	Deadline   time.Time
	Objective  time.Time // time by which the answer is worth most, zero for the deadline
	Late       bool      // wanted also where the objective can't be met
	Depth      int
	Retried    bool // a node or a deeper layer has already retried
}

// Body is the body of a request.
type Body interface {
	io.Reader
	// Rewind makes the body start anew and returns false where that can't be.
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

// Response is a backend server's answer. Reading Body to io.EOF is the only
// proof that the answer is whole. Close releases its connection.
type Response struct {
	Status  int
	Header  []HeaderField
	Body    io.ReadCloser
	Length  int64 // -1 when unknown
	Version string
	Node    string
	Load    Load
	Took    time.Duration // that the backend server took to begin its answer
	Excused bool          // the answer is a failure, and a call that began beside the backend server failed while it ran
}

// Load is what an admitting node reports with each response.
type Load struct {
	InFlight int           `cbor:"1,keyasint"`
	Queued   int           `cbor:"2,keyasint"`
	Slots    int           `cbor:"3,keyasint"`           // in use at most, 0 for an unknown load
	Work     time.Duration `cbor:"4,keyasint,omitempty"` // that a run of the request's route is expected to take
	Failing  int           `cbor:"5,keyasint,omitempty"` // thousandths of the runs that fail
	Call     bool          `cbor:"6,keyasint,omitempty"` // the request's route is one for calls of running work
}

// Backend carries one request to a local backend server.
type Backend interface {
	// Do sends the request and returns when the response's header is there.
	// Errors are of type *RequestError.
	Do(ctx context.Context, req *Request) (*Response, error)
}

// Forwarder carries one request to the admitting node of a target.
type Forwarder interface {
	// Forward returns when the response's header is there. Errors are of type
	// *RequestError.
	Forward(ctx context.Context, target TargetRef, req *Request) (*Response, error)
	// Settle asks the admitting node, over a new connection, what became of an
	// attempt. An attempt that was not begun is fenced off and never begins.
	Settle(ctx context.Context, target TargetRef, attempt string) (Verdict, error)
}

// Handler serves a request that came from a caller.
type Handler interface {
	Serve(ctx context.Context, req *Request) (*Response, error)
}

// Admitter lets requests in to the backend servers beside a node.
type Admitter interface {
	// Admit runs a request on a local backend server. Errors are of type
	// *RequestError.
	Admit(ctx context.Context, target string, incarnation uint64, req *Request) (*Response, error)
	// SettleLocal tells what became of an attempt and fences it off if it has
	// not begun.
	SettleLocal(attempt string) Verdict
}
