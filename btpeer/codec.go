package btpeer

import (
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"

	"github.com/baobabtide/baobabtide/btcodec"
)

// codec is a gRPC codec that encodes messages as CBOR.
type codec struct{}

var _ encoding.CodecV2 = codec{}

// Name implements encoding.CodecV2.
func (codec) Name() string { return "cbor" }

// Marshal implements encoding.CodecV2.
func (codec) Marshal(v any) (mem.BufferSlice, error) {
	data, err := btcodec.EncodeCBOR(v)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(data)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	buf := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buf.Free()
	return btcodec.DecodeCBOR(buf.ReadOnlyData(), v)
}
