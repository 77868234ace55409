package btfixture

import (
	"bytes"
	"io"
	"time"
)

// EndlessRequestIDHeader is the header that holds the ID of another request in the responses
// that belong to one.
const EndlessRequestIDHeader = "X-Endless-Request-Id"

const (
	endlessBlock = 32 << 10 // bytes of one write of a fast sender, at least
	chunkedHead  = "Transfer-Encoding: chunked\r\n\r\n"
	okHead       = "HTTP/1.1 200 OK\r\n"
	oneByteChunk = "1\r\nx\r\n"
)

// EndlessInput is a start and a unit that is repeated without end.
type EndlessInput struct {
	Start string
	Unit  string
}

// EndlessResponses returns what a faulty server may send without end in place of, in or after a
// response, by kind.
func EndlessResponses() map[string]EndlessInput {
	return map[string]EndlessInput{
		"status-line":           {okHead[:len(okHead)-2], "x"},
		"header-line":           {okHead + "X-Long: ", "x"},
		"header-fields":         {okHead, "X-Field: x\r\n"},
		"continue":              {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"processing":            {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"early-hints":           {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"switching-protocols":   {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "x"},
		"blank-lines":           {"", "\r\n"},
		"garbage":               {"", "garbage "},
		"garbage-lines":         {"", "garbage\r\n"},
		"garbage-after-interim": {"HTTP/1.1 100 Continue\r\n\r\n", "garbage "},
		"chunk-size":            {okHead + chunkedHead, "0"},
		"chunk-extension":       {okHead + chunkedHead + "1;", "x"},
		"trailers":              {okHead + chunkedHead + oneByteChunk + "0\r\n", "X-Trailer: x\r\n"},
		"chunked-body":          {okHead + chunkedHead, oneByteChunk},
		"body-without-length":   {okHead + "\r\n", "x"},
		"surplus":               {okHead + "Content-Length: 2\r\n\r\nok", "x"},
		"misdirected":           {"HTTP/1.1 421 Misdirected Request\r\n" + chunkedHead, oneByteChunk},
		"misdirected-no-length": {"HTTP/1.1 421 Misdirected Request\r\n\r\n", "x"},
		"shed":                  {"HTTP/1.1 503 Service Unavailable\r\nBaobabtide-Shed: 1\r\n" + chunkedHead, oneByteChunk},
		"shed-huge-length":      {"HTTP/1.1 503 Service Unavailable\r\nBaobabtide-Shed: 1\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"shed-surplus":          {"HTTP/1.1 503 Service Unavailable\r\nBaobabtide-Shed: 1\r\nContent-Length: 2\r\n\r\nno", "x"},
		"other-request":         {okHead + EndlessRequestIDHeader + ": other\r\n" + chunkedHead, oneByteChunk},
		"other-request-to-end":  {okHead + EndlessRequestIDHeader + ": other\r\n\r\n", "x"},
	}
}

// Send writes the bytes until w fails, and returns the error. A pause above 0 follows each
// unit; without one, the bytes are sent as fast as w takes them.
func (i EndlessInput) Send(w io.Writer, pause time.Duration) error {
	block := []byte(i.Unit)
	if pause <= 0 {
		block = bytes.Repeat(block, endlessBlock/len(block)+1)
	}
	if _, err := w.Write(append([]byte(i.Start), block...)); err != nil {
		return err
	}
	for {
		time.Sleep(pause)
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
}
