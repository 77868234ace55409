// Package btquarantine decides which requests are not run any more because they crash the
// backend servers that run them. It does no I/O; nodes exchange its entries by gossip.
package btquarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/baobabtide/baobabtide"
)

const headSize = 512 // bytes of a request's head that are hashed without an allocation

// prefixedBody is a body that is streamed but for its start.
type prefixedBody interface {
	// Prefix returns the start of the body, which has the same length each time unless the
	// body is shorter. It waits until it has arrived.
	Prefix() []byte
}

// DigestOf returns the digest of a request whose route is that of a host, empty for a route of
// every host: callers may name such a route by the address of any node. Of a body that is
// streamed only the start and the length, if it is known, count, because the rest is not known
// before it has been sent. The digest is cryptographic, so that no customer can make a request
// that has the digest of another one.
func DigestOf(req *baobabtide.Request, host string) baobabtide.Digest {
	var head [headSize]byte
	data := head[:0]
	for _, part := range [...]string{req.Customer, host, req.Method, req.Target} {
		data = binary.AppendUvarint(data, uint64(len(part)))
		data = append(data, part...)
	}
	switch body := req.Body.(type) {
	case nil:
	case *baobabtide.BytesBody:
		sum := sha256.Sum256(body.Data)
		data = append(data, sum[:]...)
	case prefixedBody:
		sum := sha256.Sum256(body.Prefix())
		data = append(data, sum[:]...)
		data = binary.AppendVarint(data, req.BodyLength)
	default:
		data = binary.AppendVarint(data, req.BodyLength)
	}
	sum := sha256.Sum256(data)
	return baobabtide.Digest(sum[:len(baobabtide.Digest{})])
}
