// Package btplatform is the client of an append-only log service with the product's own
// HTTP interface, which the setting btsettings.OwnLog selects.
package btplatform

import "github.com/baobabtide/baobabtide"

// Paths and query parameters of the log's HTTP interface. Its calls are:
//
//	POST /v1/streams/{stream}/records              appends the body, returns a baobabtide.Entry
//	GET  /v1/streams/{stream}/records?from=&wait=  returns a baobabtide.Page
//
// The log gives out no offset twice: after it has been restored from an older copy, the offsets of later
// records are those of the next epoch, and the records that it has kept keep theirs.
const (
	StreamsPath   = "/v1/streams/"
	RecordsSuffix = "/records"
	FromParam     = "from" // offset of the first record to return
	WaitParam     = "wait" // longest wait for the first record, a duration such as 10s
)

// ErrorBody is the body of a response with a status other than 200.
type ErrorBody struct {
	Error string
	First baobabtide.Offset `json:",omitempty"` // oldest offset that is still stored, in a response with status 410
}
