package btcaller

import (
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
)

// keyedRequest is a request with the digest of its account key, in one allocation.
type keyedRequest struct {
	baobabtide.Request
	digest baobabtide.KeyDigest
}

// newRequest returns a request with the digest of the caller's account key, if the caller sent
// one. The digest is zero, which matches no account, if the key is empty, or if there is more than
// one: another system might read another one of them.
func (n *HeaderNames) newRequest(in *fasthttp.Request) *baobabtide.Request {
	if n.AccountKey == "" {
		return &baobabtide.Request{}
	}
	keys := in.Header.PeekAll(n.AccountKey)
	if len(keys) == 0 {
		return &baobabtide.Request{}
	}
	req := &keyedRequest{}
	if key := keys[0]; len(keys) == 1 && len(key) > 0 {
		req.digest = baobabtide.DigestKey(key)
	}
	req.KeyDigest = &req.digest
	return &req.Request
}
