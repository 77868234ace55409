package btbackend

import (
	"bytes"
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

	Load        ServerLoad // valid only if HasLoad
	HasLoad     bool
	InvalidLoad string // quoted value of a load report that is not valid, empty for none
}

// Bounds on the figures of a load report. No server comes near them.
const (
	maxServerRequests = 1 << 16
	maxServiceTime    = 100  // times the normal service time
	minServiceTime    = 0.01 // the same
	maxLoadFigures    = 4
)

// ServerLoad is the load of a backend server as the server reports it in a response.
type ServerLoad struct {
	Running     int
	Waiting     int     // for a slot
	Slots       int     // at least 1
	ServiceTime float64 // relative to the normal one, minServiceTime to maxServiceTime; 0 if not reported
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
		case p.Names.Load:
			n.addLoad(value)
		}
	}
	return n
}

// addLoad adds a load report. If there are several, none is valid: it is unknown which one is
// that of the server.
func (n *Notice) addLoad(value []byte) {
	load, ok := parseLoad(value)
	if !ok || n.HasLoad || n.InvalidLoad != "" {
		n.Load, n.HasLoad, n.InvalidLoad = ServerLoad{}, false, strconv.Quote(string(value))
		return
	}
	n.Load, n.HasLoad = load, true
}

// parseLoad parses a load report: the requests running, the requests waiting, the slots and,
// optionally, the service time in hundredths of the normal one, separated by commas. It does
// not allocate.
func parseLoad(value []byte) (ServerLoad, bool) {
	var figures [maxLoadFigures]int
	count := 0
	for item := range bytes.SplitSeq(value, []byte{','}) {
		figure, ok := parseCount(bytes.TrimSpace(item))
		if !ok || count == maxLoadFigures {
			return ServerLoad{}, false
		}
		figures[count] = figure
		count++
	}
	load := ServerLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], ServiceTime: float64(figures[3]) / 100}
	switch {
	case count < maxLoadFigures-1, load.Slots == 0:
		return ServerLoad{}, false
	case count == maxLoadFigures && (load.ServiceTime < minServiceTime || load.ServiceTime > maxServiceTime):
		return ServerLoad{}, false
	}
	return load, true
}

// parseCount parses a number of at least one decimal digit and nothing else, up to
// maxServerRequests.
func parseCount(text []byte) (int, bool) {
	number := 0
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		if number = 10*number + int(digit-'0'); number > maxServerRequests {
			return 0, false
		}
	}
	return number, len(text) > 0
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
