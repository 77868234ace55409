package btquota

import (
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
)

// movedWindow is the time since the answer of another coordinator for which Report.Moved is set.
const movedWindow = 10 * time.Second

const maxRows = 1 << 16 // accounts in a message, as many as a contract may have

// Report is sent by a node to the coordinator of its zone, and by a coordinator to others.
type Report struct {
	Node        string  `cbor:"1,keyasint"`
	Process     uint64  `cbor:"2,keyasint"`
	Zone        string  `cbor:"3,keyasint"`
	Coordinator bool    `cbor:"4,keyasint,omitempty"` // the rows are sums over the nodes that report to the sender
	Rows        []Row   `cbor:"5,keyasint,omitempty"`
	Moved       bool    `cbor:"6,keyasint,omitempty"` // another coordinator has answered the sender shortly before
	Shares      []Share `cbor:"7,keyasint,omitempty"` // in a notice: of the accounts that are short
	Notice      bool    `cbor:"8,keyasint,omitempty"` // of a coordinator to a node that has not reported lately
}

// Row is the demand for one account.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Account uint64
	Demand  float32 // requests per second, including refused ones; 0 ends the reports on an account
	Held    float32 // part of the limit that the sender reserves for nodes that have gone silent
	Used    int64   // admitted requests less those that did not run: since the last answered report, or of a coordinator in total
}

// Answer is the response to a Report. That to a coordinator holds only Rows, that to a node only
// Shares.
type Answer struct {
	Node    string  `cbor:"1,keyasint"`
	Process uint64  `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint"`
	Ready   bool    `cbor:"4,keyasint,omitempty"` // the sender knows the demand of the other zones
	Shares  []Share `cbor:"5,keyasint,omitempty"` // of the accounts that the node reported, and of all that are short
	Rows    []Row   `cbor:"6,keyasint,omitempty"`
}

// Share is what a node may use of an account's limit.
type Share struct {
	_        struct{} `cbor:",toarray"`
	Account  uint64
	Fraction float32 // of the limit
	Tokens   float32 // that the node's bucket holds at the time of the report
	Admit    float32 // fraction of its requests that the node admits
	Use      float32 // demand over all nodes, divided by the limit
}

// Check returns an error for the first invalid field.
func (r *Report) Check() error {
	if r.Node == "" || len(r.Node) > baobabtide.MaxAccountKeyLength {
		return baobabtide.Fieldf("Node", "%d characters, 1 to %d are allowed", len(r.Node), baobabtide.MaxAccountKeyLength)
	}
	if err := checkShares(r.Shares); err != nil {
		return err
	}
	return checkRows(r.Rows)
}

func checkRows(rows []Row) error {
	if len(rows) > maxRows {
		return baobabtide.Fieldf("Rows", "%d exceed %d", len(rows), maxRows)
	}
	for i := range rows {
		if !isAmount(rows[i].Demand) {
			return baobabtide.WithinIndex("Rows", i, baobabtide.Fieldf("Demand", "%v is not a rate", rows[i].Demand))
		}
		if !isAmount(rows[i].Held) || rows[i].Held > 1 {
			return baobabtide.WithinIndex("Rows", i, baobabtide.Fieldf("Held", "%v, 0 to 1 are allowed", rows[i].Held))
		}
	}
	return nil
}

// Check returns an error for the first invalid field.
func (a *Answer) Check() error {
	if err := checkShares(a.Shares); err != nil {
		return err
	}
	return checkRows(a.Rows)
}

func checkShares(shares []Share) error {
	if len(shares) > maxRows {
		return baobabtide.Fieldf("Shares", "%d exceed %d", len(shares), maxRows)
	}
	for i := range shares {
		if err := shares[i].Check(); err != nil {
			return baobabtide.WithinIndex("Shares", i, err)
		}
	}
	return nil
}

// Check returns an error for the first invalid field.
func (s *Share) Check() error {
	switch {
	case !isAmount(s.Fraction) || s.Fraction > 1:
		return baobabtide.Fieldf("Fraction", "%v, 0 to 1 are allowed", s.Fraction)
	case !isAmount(s.Admit) || s.Admit > 1:
		return baobabtide.Fieldf("Admit", "%v, 0 to 1 are allowed", s.Admit)
	case !isAmount(s.Tokens):
		return baobabtide.Fieldf("Tokens", "%v is not a number of requests", s.Tokens)
	case !isAmount(s.Use):
		return baobabtide.Fieldf("Use", "%v is not a ratio", s.Use)
	}
	return nil
}

// isAmount reports whether x is a finite number that is not negative.
func isAmount(x float32) bool { return x >= 0 && !math.IsInf(float64(x), 1) }
