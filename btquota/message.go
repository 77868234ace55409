package btquota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/baobabtide/baobabtide"
)

// MovedWindow is the time since the answer of another coordinator for which Report.Moved is set.
const MovedWindow = 10 * time.Second

const (
	maxRows       = 1 << 16 // accounts in a message, as many as a contract may have
	maxNodeLength = 256     // bytes of the name of a node
)

// Report is sent by a node to the coordinator of its zone, and by a coordinator to others.
type Report struct {
	Node        string `cbor:"1,keyasint"`
	Process     uint64 `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Coordinator bool   `cbor:"4,keyasint,omitempty"` // the rows are sums over the nodes that report to the sender
	Rows        Rows   `cbor:"5,keyasint,omitempty"`
	Moved       bool   `cbor:"6,keyasint,omitempty"` // another coordinator has answered the sender shortly before
	Shares      Shares `cbor:"7,keyasint,omitempty"` // in a notice: of the accounts that are short
	Notice      bool   `cbor:"8,keyasint,omitempty"` // of a coordinator to a node that has not reported lately
	Leave       bool   `cbor:"9,keyasint,omitempty"` // the sender reports to another coordinator from now on; there are no rows
}

// Row is the demand for one account.
type Row struct {
	Account uint64
	Demand  float32 // requests per second, including refused ones; 0 ends the reports on an account
	Held    float32 // part of the limit that the sender reserves for nodes that have gone silent
	Used    int64   // admitted requests less those that did not run, in total of the process
}

// Answer is the response to a Report. That to a coordinator holds only Rows, that to a node only
// Shares.
type Answer struct {
	Node    string `cbor:"1,keyasint"`
	Process uint64 `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Ready   bool   `cbor:"4,keyasint,omitempty"` // the sender knows the demand of the other zones
	Yield   bool   `cbor:"7,keyasint,omitempty"` // a preceding candidate of the zone answers again: the node reports to that one
	Shares  Shares `cbor:"5,keyasint,omitempty"` // of the accounts that the node reported, and of all that are short
	Rows    Rows   `cbor:"6,keyasint,omitempty"`
}

// Share is what a node may use of an account's limit.
type Share struct {
	Account  uint64
	Fraction float32 // of the limit
	Tokens   float32 // that the node's bucket holds at the time of the report
	Admit    float32 // fraction of its requests that the node admits
	Use      float32 // demand over all nodes, divided by the limit
}

// Rows is a byte string in a message. Encoding each value for itself took most of the processor time
// that a coordinator needs.
type Rows []Row

// Shares is a byte string in a message, like Rows.
type Shares []Share

const (
	rowBytes   = 8 + 4 + 4 + 8
	shareBytes = 8 + 4*4
)

// MarshalBinary implements encoding.BinaryMarshaler.
func (rows Rows) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, len(rows)*rowBytes)
	for i := range rows {
		r := &rows[i]
		data = binary.LittleEndian.AppendUint64(data, r.Account)
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(r.Demand))
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(r.Held))
		data = binary.LittleEndian.AppendUint64(data, uint64(r.Used))
	}
	return data, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (rows *Rows) UnmarshalBinary(data []byte) error {
	if len(data)%rowBytes != 0 || len(data)/rowBytes > maxRows {
		return baobabtide.Fieldf("Rows", "%d bytes are not up to %d rows", len(data), maxRows)
	}
	*rows = make(Rows, 0, len(data)/rowBytes)
	for ; len(data) > 0; data = data[rowBytes:] {
		*rows = append(*rows, Row{
			Account: binary.LittleEndian.Uint64(data),
			Demand:  math.Float32frombits(binary.LittleEndian.Uint32(data[8:])),
			Held:    math.Float32frombits(binary.LittleEndian.Uint32(data[12:])),
			Used:    int64(binary.LittleEndian.Uint64(data[16:])),
		})
	}
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (shares Shares) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, len(shares)*shareBytes)
	for i := range shares {
		s := &shares[i]
		data = binary.LittleEndian.AppendUint64(data, s.Account)
		for _, value := range []float32{s.Fraction, s.Tokens, s.Admit, s.Use} {
			data = binary.LittleEndian.AppendUint32(data, math.Float32bits(value))
		}
	}
	return data, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (shares *Shares) UnmarshalBinary(data []byte) error {
	if len(data)%shareBytes != 0 || len(data)/shareBytes > maxRows {
		return baobabtide.Fieldf("Shares", "%d bytes are not up to %d shares", len(data), maxRows)
	}
	*shares = make(Shares, 0, len(data)/shareBytes)
	for ; len(data) > 0; data = data[shareBytes:] {
		value := func(i int) float32 { return math.Float32frombits(binary.LittleEndian.Uint32(data[8+4*i:])) }
		*shares = append(*shares, Share{Account: binary.LittleEndian.Uint64(data), Fraction: value(0), Tokens: value(1), Admit: value(2), Use: value(3)})
	}
	return nil
}

// Check returns an error for the first invalid field.
func (r *Report) Check() error {
	if r.Node == "" || len(r.Node) > maxNodeLength {
		return baobabtide.Fieldf("Node", "%d characters, 1 to %d are allowed", len(r.Node), maxNodeLength)
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
