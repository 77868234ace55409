package btfixture

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
)

// Head is the head of a message, without its last empty line, and whether it is valid.
type Head struct {
	Lines []string
	Fault string // what is wrong with it, empty if it is valid
}

// Text returns the head as it is sent.
func (h *Head) Text() string { return strings.Join(h.Lines, "\r\n") + "\r\n\r\n" }

// Parts of heads. Names of fields in valid ones are different, so that each is kept.
var (
	validStatusLines = []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 \xe9t\xe9\tall  right"}
	validFields      = []string{"X-A: b", "x-c:d", "X-E:", "X-F:  g\t ", "X_h.!#$%&'*+^`|~9: i", "X-J: \xc3\xa9 \xff\ttab", "X-K: a:b, \"c\"", "Server: s", "X-Folded: a\r\n\tb"}

	oddStatuses = []string{"000", "001", "099", "20", "2", "2000", "0200", "+200", "-20", "2 0", "2x0", "0x0", "", "\x00200", "200OK", "20\t0", "２00", "200\x00", "200 a\x01b", "200 a\rb", "200 \x7f"}
	oddVersions = []string{"HTTP/1.1  ", "HTTP/1.1\t", "HTTP/2 ", "HTTP/2.0 ", "HTTP/1. ", "HTTP/11 ", "ICY ", "http/1.1 ", " HTTP/1.1 ", "HTTP /1.1 ", "HTTP/1.1"}
	oddFields   = []string{
		"Foo Bar: x", "Foo : x", "Foo\t: x", " : x", ":x", ":", "Foo", "Foo x", "Content-Length : 1", "Content-Length\t: 1", "Transfer-Encoding : chunked",
		"Id : id", "Id\x0b: id", "Content-Type : x", "Connection : close", "Keep-Alive : timeout=1", "Content-Length: +2", "Content-Length: -2", "Content-Length: 2, 2", "Content-Length: 2 2",
		"Content-Length: 0x2", "Content-Length:", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: xchunked",
	}
	notInNames = "\x00\x01\x07\x08\t\x0b\x0c\x1b\x1f \"(),/;<=>?@[\\]{}\x7f\x80\xa0\xe9\xff"
	notInValue = "\x00\x01\x07\x08\x0b\x0c\r\x1b\x1f\x7f"
)

// oddField returns a line that is no valid field of a head.
func oddField(random *rand.Rand) string {
	at := func(text string, c byte) string {
		i := random.IntN(len(text) + 1)
		return text[:i] + string([]byte{c}) + text[i:]
	}
	switch random.IntN(4) {
	case 0:
		return at("Foo", notInNames[random.IntN(len(notInNames))]) + ": x"
	case 1:
		return "Foo: " + at("bar", notInValue[random.IntN(len(notInValue))]) + "."
	default:
		return oddFields[random.IntN(len(oddFields))]
	}
}

// DrawResponseHead returns the head of a response with a body of two bytes and further fields. Half of
// the heads have a fault.
func DrawResponseHead(random *rand.Rand, further ...string) Head {
	h := Head{Lines: []string{validStatusLines[random.IntN(len(validStatusLines))], "Content-Length: 2"}}
	h.Lines = append(append(h.Lines, further...), drawFields(random)...)
	switch random.IntN(6) {
	case 0:
		h.Lines[0] = "HTTP/1.1 " + oddStatuses[random.IntN(len(oddStatuses))]
		h.Fault = "status line"
	case 1:
		h.Lines[0] = oddVersions[random.IntN(len(oddVersions))] + "200 OK"
		h.Fault = "version"
	case 2:
		h.addOddField(random)
	}
	return h
}

// DrawRequestHead returns the head of a request. Half of the heads have a fault.
func DrawRequestHead(random *rand.Rand, further ...string) Head {
	h := Head{Lines: append([]string{"GET / HTTP/1.1", "Host: h"}, further...)}
	h.Lines = append(h.Lines, drawFields(random)...)
	if random.IntN(2) == 0 {
		h.addOddField(random)
	}
	return h
}

func drawFields(random *rand.Rand) []string {
	fields := make([]string, 0, len(validFields))
	for _, i := range random.Perm(len(validFields))[:random.IntN(len(validFields)+1)] {
		fields = append(fields, validFields[i])
	}
	return fields
}

// addOddField adds a line that is no valid field behind the first line.
func (h *Head) addOddField(random *rand.Rand) {
	odd, at := oddField(random), 1+random.IntN(len(h.Lines))
	if strings.HasPrefix(odd, "\t") || strings.HasPrefix(odd, " ") {
		at = 1 // elsewhere it continues the field before
	}
	h.Lines = append(h.Lines[:at], append([]string{odd}, h.Lines[at:]...)...)
	h.Fault = fmt.Sprintf("field %q", odd)
}

// ServeBytes starts a server that sends the same bytes once on each connection, when anything has arrived,
// and returns its address.
func ServeBytes(t testing.TB, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 64<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}
