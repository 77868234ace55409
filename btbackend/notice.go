package btbackend

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// maxRateLimit is the largest rate limit in requests per second. No backend server comes
// near it, so a higher one is reduced to it.
const maxRateLimit = 1e6

// Notice holds what a backend server states about itself in the header of a response.
type Notice struct {
	RateLimit    float64 // requests per second that the server accepts from all nodes together, 0 to maxRateLimit; valid only if HasRateLimit
	HasRateLimit bool
	Invalid      string // quoted value of the rate limit header that is not a decimal number, empty for none
	Leaving      bool   // the server is about to stop
	NotRun       bool   // the response reports that the request has not run
	Status       int    // of the response
}

// notice returns what a response states about its server.
func (p *Pool) notice(in *fasthttp.Response) Notice {
	n := Notice{Status: in.StatusCode(), NotRun: in.StatusCode() == fasthttp.StatusMisdirectedRequest}
	for name, value := range in.Header.All() {
		switch string(name) {
		case p.Names.RateLimit:
			n.addRateLimit(string(value))
		case p.Names.Leaving:
			n.Leaving = n.Leaving || strings.TrimSpace(string(value)) == leavingValue
		case p.Names.Shed:
			n.NotRun = true
		}
	}
	return n
}

// notRun reports whether a response states that its request has not run.
func (p *Pool) notRun(in *fasthttp.Response) bool { return p.notice(in).NotRun }

// addRateLimit adds a value of the rate limit header. If there are several, also in one
// list, the lowest counts.
func (n *Notice) addRateLimit(value string) {
	for item := range strings.SplitSeq(value, ",") {
		limit, ok := parseDecimal(strings.TrimSpace(item))
		if !ok {
			n.Invalid = strconv.Quote(value)
			continue
		}
		if limit = min(limit, maxRateLimit); !n.HasRateLimit || limit < n.RateLimit {
			n.RateLimit, n.HasRateLimit = limit, true
		}
	}
}

// parseDecimal parses a decimal number that is not negative. Signs, exponents and names such
// as NaN are invalid.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && number == 0 {
		return 0, false
	}
	return number, true // a number out of range is +Inf
}
