package btconfig

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

const (
	snapshotChunkSize = 64 << 10 // bytes of compressed state in one record of the snapshot stream
	maxSnapshotChunks = 256      // chunks of one snapshot
	maxStateSize      = 64 << 20 // bytes after decompression
)

// Chunk is one record of the snapshot stream: a part of a compressed state.
type Chunk struct {
	Offset baobabtide.Offset `cbor:"1,keyasint"` // offset of the state
	Writer string            `cbor:"2,keyasint"` // node that wrote the snapshot
	Index  int               `cbor:"3,keyasint"` // position among the snapshot's chunks, from 0
	Count  int               `cbor:"4,keyasint"` // chunks of the snapshot
	Sum    uint64            `cbor:"5,keyasint"` // xxhash of the whole compressed state
	Data   []byte            `cbor:"6,keyasint"`
}

// Check returns a FieldError for the first field that is out of range.
func (c *Chunk) Check() error {
	if c.Count < 1 || c.Count > maxSnapshotChunks {
		return baobabtide.Fieldf("Count", "%d, 1 to %d are allowed", c.Count, maxSnapshotChunks)
	}
	if c.Index < 0 || c.Index >= c.Count {
		return baobabtide.Fieldf("Index", "%d, 0 to %d are allowed", c.Index, c.Count-1)
	}
	return nil
}

// ErrDamaged means that a snapshot or another encoding is incomplete, corrupt or
// too large.
var ErrDamaged = errors.New("snapshot is damaged")

// EncodeState returns a state as DEFLATE-compressed CBOR.
func EncodeState(s *State) ([]byte, error) { return compress(s) }

// EncodeLinks returns links as DEFLATE-compressed CBOR.
func EncodeLinks(links []Link) ([]byte, error) { return compress(links) }

// DecodeLinks decodes what EncodeLinks returns. Errors wrap ErrDamaged.
func DecodeLinks(data []byte) ([]Link, error) {
	var links []Link
	if err := decompress(data, &links); err != nil {
		return nil, err
	}
	return links, nil
}

// compress encodes a value as CBOR and compresses it. It fails for what decompress rejects
// because of its size.
func compress(v any) ([]byte, error) {
	plain, err := btcodec.EncodeCBOR(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	if len(plain) > maxStateSize {
		return nil, fmt.Errorf("encode %T: %d bytes exceed %d", v, len(plain), maxStateSize)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress %T: %w", v, err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress %T: %w", v, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress %T: %w", v, err)
	}
	return b.Bytes(), nil
}

// DecodeState decodes what EncodeState returns. Errors wrap ErrDamaged. What follows from
// the outcomes is worked out again, as earlier versions encode less of it.
func DecodeState(data []byte) (*State, error) {
	s := new(State)
	if err := decompress(data, s); err != nil {
		return nil, err
	}
	s.reconcileOutcomes()
	return s, nil
}

// decompress decodes what compress returns into v. It fails if the decompressed data
// exceeds maxStateSize. Errors wrap ErrDamaged.
func decompress(data []byte, v any) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateSize+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if len(plain) > maxStateSize {
		return fmt.Errorf("%w: more than %d bytes", ErrDamaged, maxStateSize)
	}
	if err := btcodec.DecodeLargeCBOR(plain, v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// SplitSnapshot returns the chunks of a state's snapshot, written by the node
// writer.
func SplitSnapshot(s *State, writer string) ([]Chunk, error) {
	data, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	sum := xxhash.Sum64(data)
	parts := slices.Collect(slices.Chunk(data, snapshotChunkSize))
	chunks := make([]Chunk, 0, len(parts))
	for i, part := range parts {
		chunks = append(chunks, Chunk{Offset: s.Offset, Writer: writer, Index: i, Count: len(parts), Sum: sum, Data: part})
	}
	return chunks, nil
}

// chunkKey identifies the snapshot that a chunk belongs to. The chunks of several
// snapshots may be interleaved in the stream.
type chunkKey struct {
	offset baobabtide.Offset
	writer string
	sum    uint64
}

// JoinSnapshots returns the state with the highest offset whose chunks are
// complete and undamaged. It skips all other snapshots and returns nil if no
// snapshot is left.
func JoinSnapshots(chunks []Chunk) *State {
	groups := make(map[chunkKey][]Chunk)
	for _, c := range chunks {
		key := chunkKey{c.Offset, c.Writer, c.Sum}
		groups[key] = append(groups[key], c)
	}
	var newest *State
	for key, group := range groups {
		if newest != nil && key.offset <= newest.Offset {
			continue
		}
		if s, err := joinSnapshot(key, group); err == nil {
			newest = s
		}
	}
	return newest
}

// joinSnapshot returns the state of one snapshot. Errors wrap ErrDamaged.
func joinSnapshot(key chunkKey, group []Chunk) (*State, error) {
	parts := make([][]byte, group[0].Count)
	for _, c := range group {
		if c.Count != len(parts) {
			return nil, fmt.Errorf("%w: counts differ", ErrDamaged)
		}
		parts[c.Index] = c.Data
	}
	for i, part := range parts {
		if part == nil {
			return nil, fmt.Errorf("%w: chunk %d of %d is missing", ErrDamaged, i, len(parts))
		}
	}
	data := slices.Concat(parts...)
	if xxhash.Sum64(data) != key.sum {
		return nil, fmt.Errorf("%w: checksum differs", ErrDamaged)
	}
	s, err := DecodeState(data)
	if err != nil {
		return nil, err
	}
	if s.Offset != key.offset {
		return nil, fmt.Errorf("%w: offset %d instead of %d", ErrDamaged, s.Offset, key.offset)
	}
	return s, nil
}
