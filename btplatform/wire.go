// Package btplatform speaks with the platform's append-only log service.
package btplatform

import "github.com/baobabtide/baobabtide"

// Paths and parameters of the log's HTTP interface:
//
//	POST /v1/streams/{stream}/records           appends the body, answers an Entry
//	GET  /v1/streams/{stream}/records?from=&wait=  answers a Page
const (
	StreamsPath   = "/v1/streams/"
	RecordsSuffix = "/records"
	FromParam     = "from"
	WaitParam     = "wait" // a duration such as 10s
)

// ErrorBody is the body of every answer other than 200.
type ErrorBody struct {
	Error string
	First baobabtide.Offset `json:",omitempty"` // oldest offset kept, with status 410
}
