package btcaller

// Names of the headers between callers and a node.
const (
	// HeaderCustomer names the customer whose contract applies.
	HeaderCustomer = "Baobabtide-Customer"
	// HeaderTimeout holds the time that the caller waits, in milliseconds.
	HeaderTimeout = "Baobabtide-Timeout"
	// HeaderDepth holds the number of calls above this one in the call chain.
	HeaderDepth = "Baobabtide-Depth"
	// HeaderRetried marks a call that another layer has already retried.
	HeaderRetried = "Baobabtide-Retried"
	// HeaderKey makes a non-idempotent request safe to repeat.
	HeaderKey = "Idempotency-Key"
	// HeaderAccountKey holds the key of the caller's client account. It is never forwarded.
	HeaderAccountKey = "Baobabtide-Account-Key"
	// HeaderAccount holds the name of the client account in requests to backend servers. Callers
	// can't set it.
	HeaderAccount = "Baobabtide-Account"
	// HeaderVerdict holds the verdict: whether the request may have run.
	HeaderVerdict = "Baobabtide-Verdict"
	// HeaderReason holds the reason why a request was refused or failed.
	HeaderReason = "Baobabtide-Reason"
	// HeaderVersion names the version of the service that responded.
	HeaderVersion = "Baobabtide-Version"
	// HeaderNode names the node beside the backend server that responded.
	HeaderNode = "Baobabtide-Node"
)

// HeaderNames holds the names of the headers between a node and its callers. A
// header whose name is empty is neither read nor sent.
type HeaderNames struct {
	Customer  string
	Timeout   string // in milliseconds
	Depth     string
	Retried   string
	Key       string
	RequestID string // copied to responses of the node

	AccountKey      string   // key of the client account, removed from requests
	Private         []string // headers that only nodes may set, removed from requests
	FractionalRetry bool     // Retry-After may hold fractions of a second
}

// DefaultNames returns the header names that are declared in this package.
func DefaultNames() HeaderNames {
	return HeaderNames{
		Customer: HeaderCustomer,
		Timeout:  HeaderTimeout,
		Depth:    HeaderDepth,
		Retried:  HeaderRetried,
		Key:      HeaderKey,

		AccountKey: HeaderAccountKey,
		Private:    []string{HeaderAccount},
	}
}

// forwarded reports whether a header of the caller is sent to the backend server.
// The name is in canonical case.
func (n *HeaderNames) forwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host":
		return false
	case n.Timeout, n.Depth, n.Retried:
		return false
	}
	if similar(name, n.AccountKey) {
		return false
	}
	for _, private := range n.Private {
		if similar(name, private) {
			return false
		}
	}
	return true
}

// similar reports whether two header names are equal except for case and for underscores in place
// of hyphens. Servers that follow CGI don't tell such names apart.
func similar(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if fold(a[i]) != fold(b[i]) {
			return false
		}
	}
	return true
}

// fold returns the lower case of an ASCII letter, and a hyphen for an underscore.
func fold(c byte) byte {
	switch {
	case 'A' <= c && c <= 'Z':
		return c + 'a' - 'A'
	case c == '_':
		return '-'
	default:
		return c
	}
}
