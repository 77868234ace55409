package btcodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a CBOR message.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
	maxLargeMapPairs = 1 << 21
	maxNesting       = 16
)

var (
	cborEncoder      = mustEncMode()
	cborDecoder      = mustDecMode(maxMapPairs)
	largeCBORDecoder = mustDecMode(maxLargeMapPairs)
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(maxMapPairs int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCBOR returns the deterministic CBOR encoding of v. It fails if v holds a value
// that CBOR can't represent.
func EncodeCBOR(v any) ([]byte, error) {
	return cborEncoder.Marshal(v)
}

// DecodeCBOR decodes one message into v, a pointer, and then calls v.Check if v is a
// Checker. It fails for malformed messages, values of the wrong type and messages over
// the limits. Unknown fields are ignored, so that nodes of different versions can run
// together during an upgrade.
func DecodeCBOR(data []byte, v any) error { return decodeCBOR(cborDecoder, data, v) }

// DecodeLargeCBOR is DecodeCBOR with a limit of two million pairs of a map, for a message that
// holds a whole configuration.
func DecodeLargeCBOR(data []byte, v any) error { return decodeCBOR(largeCBORDecoder, data, v) }

func decodeCBOR(decoder cbor.DecMode, data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if c, ok := v.(Checker); ok {
		if err := c.Check(); err != nil {
			return fmt.Errorf("check %T: %w", v, err)
		}
	}
	return nil
}
