package btcaller

import "slices"

// Headers between callers and a node.
const (
	// HeaderCustomer names the customer whose contract applies.
	HeaderCustomer = "Baobabtide-Customer"
	// HeaderTimeout is the time that the caller waits, in milliseconds.
	HeaderTimeout = "Baobabtide-Timeout"
	// HeaderDepth counts the calls above this one.
	HeaderDepth = "Baobabtide-Depth"
	// HeaderRetried marks a call that a layer above has already retried.
	HeaderRetried = "Baobabtide-Retried"
	// HeaderKey makes a non-idempotent request safe to repeat.
	HeaderKey = "Idempotency-Key"
	// HeaderVerdict says whether a request may have run.
	HeaderVerdict = "Baobabtide-Verdict"
	// HeaderReason says why a request was refused.
	HeaderReason = "Baobabtide-Reason"
	// HeaderVersion names the version of the service that answered.
	HeaderVersion = "Baobabtide-Version"
	// HeaderNode names the node beside the backend server that answered.
	HeaderNode = "Baobabtide-Node"
)

// HeaderNames are the names under which a node and its callers exchange what
// the product needs to know. A header whose name is empty is neither read nor
// sent.
type HeaderNames struct {
	Customer  string
	Timeout   string // milliseconds
	Depth     string
	Retried   string
	Key       string
	RequestID string // the answer repeats it

	Private         []string // only nodes may set these, they are dropped from requests; canonical case
	FractionalRetry bool     // Retry-After may hold fractions of a second
}

// DefaultNames are the product's own header names.
func DefaultNames() HeaderNames {
	return HeaderNames{
		Customer: HeaderCustomer,
		Timeout:  HeaderTimeout,
		Depth:    HeaderDepth,
		Retried:  HeaderRetried,
		Key:      HeaderKey,
	}
}

// forwarded tells whether a backend server gets a header line of the caller.
func (n *HeaderNames) forwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host":
		return false
	case n.Timeout, n.Depth, n.Retried:
		return false
	default:
		return !slices.Contains(n.Private, name)
	}
}
