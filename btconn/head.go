package btconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// HeadScan finds the end of the head of an HTTP/1 message in a buffer that grows, and checks its
// lines. fasthttp accepts names of fields that hold a blank or end with one, and a status of 000, and
// reports them as other names and as 200. The zero value scans the head of a request.
type HeadScan struct {
	Response bool // the first line is a status line

	Scanned int  // bytes of the buffer that hold whole lines
	Lines   int  // lines that are not empty
	End     bool // the head is complete
	Status  int  // of a response

	err     error // why the lines so far are no head
	ended   bool  // the last line that is not empty ends with CR LF, or is the first one
	oldHTTP bool  // before HTTP/1.1
}

// Scan continues with a longer buffer. Like fasthttp's parser it ends at the first line that holds
// only CR LF after one that ends with CR LF, or after the first line. It fails at the first line that
// can't belong to a head, and from then on.
func (s *HeadScan) Scan(buffer []byte) error {
	for !s.End && s.err == nil {
		i := bytes.IndexByte(buffer[s.Scanned:], '\n')
		if i < 0 {
			return nil
		}
		line := buffer[s.Scanned : s.Scanned+i]
		s.Scanned += i + 1
		text := bytes.TrimSuffix(line, []byte{'\r'})
		switch {
		case len(text) > 0:
			s.err = s.check(text)
			s.Lines++
			s.ended = s.Lines == 1 || len(text) < len(line)
		case s.Lines > 0 && s.ended && len(line) == 1:
			s.End = true
		case s.Lines > 0:
			s.ended = len(line) == 1
		}
	}
	return s.err
}

// Fields returns the number of fields that were found.
func (s *HeadScan) Fields() int { return max(0, s.Lines-1) }

// check checks a line without its end.
func (s *HeadScan) check(line []byte) error {
	switch {
	case s.Lines == 0 && s.Response:
		return s.checkStatusLine(string(line))
	case s.Lines == 0:
		return nil // the parser checks request lines
	case s.Lines > 1 && isBlank(line[0]): // continues the value of the field before
		return checkValue(line)
	default:
		return s.checkField(line)
	}
}

const (
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	minStatus     = 100
)

// checkStatusLine checks the version, the three digits of the status and the reason, and sets Status.
func (s *HeadScan) checkStatusLine(line string) error {
	rest, ok := strings.CutPrefix(line, versionPrefix)
	if !ok || len(rest) < len("1 ")+statusDigits || !isDigit(rest[0]) || rest[1] != ' ' {
		return fmt.Errorf("%q is no status line", line)
	}
	s.oldHTTP = rest[0] == '0'
	status := rest[len("1 "):]
	s.Status = 0
	for i := range statusDigits {
		if !isDigit(status[i]) {
			return fmt.Errorf("%q is no status line", line)
		}
		s.Status = s.Status*10 + int(status[i]-'0')
	}
	reason := status[statusDigits:]
	if reason != "" && reason[0] != ' ' {
		return fmt.Errorf("%q is no status line", line)
	}
	if s.Status < minStatus {
		return fmt.Errorf("%d is no status", s.Status)
	}
	return checkValue([]byte(reason))
}

// checkField checks the name and the value of a field. fasthttp ignores a transfer coding before HTTP/1.1
// and would read the body to the end of the connection.
func (s *HeadScan) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return fmt.Errorf("field %q has no colon", line)
	}
	if len(name) == 0 {
		return fmt.Errorf("field %q has no name", line)
	}
	for _, c := range name {
		if !isToken[c] {
			return fmt.Errorf("the name of field %q holds the character %q", line, c)
		}
	}
	if err := checkValue(value); err != nil {
		return err
	}
	if s.Response && s.oldHTTP && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errors.New("a transfer coding before HTTP/1.1")
	}
	return nil
}

// checkValue checks that a value holds no control characters other than tabs.
func checkValue(value []byte) error {
	for _, c := range value {
		if (c < ' ' && c != '\t') || c == '\x7f' {
			return fmt.Errorf("%q holds the character %q", value, c)
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isToken holds the characters that names of fields consist of.
var isToken = func() [256]bool {
	var table [256]bool
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[c] = true
	}
	return table
}()

// ReadHead waits for the head of a response and checks it. It leaves it in the reader, whose buffer must
// have room for it.
func ReadHead(r *bufio.Reader) (*HeadScan, error) {
	scan := &HeadScan{Response: true}
	for {
		buffer, _ := r.Peek(r.Buffered())
		if err := scan.Scan(buffer); err != nil || scan.End {
			return scan, err
		}
		if _, err := r.Peek(len(buffer) + 1); err != nil {
			return scan, err
		}
	}
}
