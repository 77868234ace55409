package btlocal

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btledger"
)

const (
	partnerRetry = time.Second
	minFailure   = 500 // lowest status of an answer that counts as a failure
)

// run is one request that holds a slot.
type run struct {
	admitter *Admitter
	server   *server
	req      *baobabtide.Request
	call     bool // the route is one for calls of running work
	started  time.Time
	keyName  string
	recorded bool // the ledger knows the attempt
	released bool
}

// enter records a non-idempotent attempt. It returns the stored answer or a
// refusal where the request must not run.
func (r *run) enter(ctx context.Context) (*baobabtide.Answer, *baobabtide.RequestError) {
	if r.req.Idempotent {
		return nil, nil
	}
	if r.req.Key != "" {
		r.keyName = btledger.KeyName(r.req.Customer, r.req.Service, r.req.Key)
	}
	answer, refusal := r.admitter.ledger.Begin(r.req.Attempt, r.keyName, time.Now())
	r.recorded = answer == nil && refusal == nil
	if !r.recorded || r.keyName == "" {
		return answer, refusal
	}
	return r.reserve(ctx)
}

// reserve has the key's partner remember the attempt before it begins. Where
// the partner can't be asked the request does not run.
func (r *run) reserve(ctx context.Context) (*baobabtide.Answer, *baobabtide.RequestError) {
	key := baobabtide.KeyRecord{Key: r.keyName, Attempt: r.req.Attempt}
	known, err := r.admitter.Partner.Reserve(ctx, r.req, key)
	if err != nil {
		r.recorded = false
		r.admitter.ledger.End(r.req.Attempt, r.keyName, baobabtide.NotRun, nil)
		r.admitter.Partner.Resolve(r.req, key)
		return nil, baobabtide.Refuse(baobabtide.ReasonPartner, partnerRetry, err)
	}
	if known.State == baobabtide.KeyFree {
		return nil, nil
	}
	r.recorded = false
	return r.admitter.ledger.Adopt(r.req.Attempt, known)
}

// conclude notes how a recorded attempt ended, here and at the key's partner.
func (r *run) conclude(verdict baobabtide.Verdict, answer *baobabtide.Answer) {
	r.admitter.ledger.End(r.req.Attempt, r.keyName, verdict, answer)
	if r.keyName == "" || verdict == baobabtide.MayHaveRun {
		return
	}
	key := baobabtide.KeyRecord{Key: r.keyName, Attempt: r.req.Attempt, Answer: answer}
	if verdict == baobabtide.Ran {
		key.State = baobabtide.KeyDone
	}
	r.admitter.Partner.Resolve(r.req, key)
}

// release gives the slot back.
func (r *run) release() {
	if r.released {
		return
	}
	r.released = true
	now := time.Now()
	r.server.queue.Release(r.req.Customer, now.Sub(r.started), now)
}

// fail ends a request that got no answer.
func (r *run) fail(err *baobabtide.RequestError) *baobabtide.RequestError {
	if r.recorded {
		r.conclude(err.Verdict, nil)
	}
	now := time.Now()
	switch err.Reason {
	case baobabtide.ReasonOverload:
		r.server.queue.Shed()
	case baobabtide.ReasonUnreached:
		r.server.unreached(now)
	case baobabtide.ReasonMisdirected:
		r.server.queue.Close() // another backend server has taken its place
	case baobabtide.ReasonBackend:
		r.server.queue.RecordRun(r.req.Route, now.Sub(r.started), true)
	}
	err.Load = r.server.queue.Load(r.req.Route, now)
	r.release()
	return err
}

// succeed wraps an answer so that the request ends with its body.
func (r *run) succeed(resp *baobabtide.Response) *baobabtide.Response {
	resp.Took = time.Since(r.started)
	resp.Load = r.server.queue.Load(r.req.Route, time.Now())
	resp.Load.Call = r.call
	resp.Excused = resp.Status >= minFailure && r.admitter.callFailed.After(r.started)
	resp.Body = &runBody{ReadCloser: resp.Body, run: r, resp: resp}
	return resp
}

const storedBody = 16 << 10 // bytes of an answer that is kept for repeats

// runBody ends its request when the body is closed.
type runBody struct {
	io.ReadCloser
	run    *run
	resp   *baobabtide.Response
	kept   bytes.Buffer // start of the body of a keyed request
	whole  bool
	failed bool
	closed bool
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.run.keyName != "" && b.kept.Len() <= storedBody {
		b.kept.Write(p[:n])
	}
	switch {
	case errors.Is(err, io.EOF):
		b.whole = true
	case err != nil:
		b.failed = true
	}
	return n, err
}

// Close implements io.Closer. It may be called more than once.
func (b *runBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	r := b.run
	if r.recorded {
		r.conclude(baobabtide.Ran, b.answer())
	}
	r.server.queue.RecordRun(r.req.Route, time.Since(r.started), b.failed || b.resp.Status >= minFailure)
	r.release()
	r.admitter.end()
	return err
}

// answer returns what a repeat of the key gets, or nil where it is too large.
func (b *runBody) answer() *baobabtide.Answer {
	if b.run.keyName == "" || !b.whole || b.kept.Len() > storedBody {
		return nil
	}
	return &baobabtide.Answer{Status: b.resp.Status, Header: b.resp.Header, Body: bytes.Clone(b.kept.Bytes())}
}

// replay returns a stored answer as a response, or nil for none.
func replay(answer *baobabtide.Answer, a *Admitter) *baobabtide.Response {
	if answer == nil {
		return nil
	}
	return &baobabtide.Response{
		Status: answer.Status,
		Header: answer.Header,
		Body:   &replayBody{Reader: *bytes.NewReader(answer.Body), admitter: a},
		Length: int64(len(answer.Body)),
	}
}

// replayBody is the body of a stored answer.
type replayBody struct {
	bytes.Reader
	admitter *Admitter
	closed   bool
}

// Close implements io.Closer. It may be called more than once.
func (b *replayBody) Close() error {
	if !b.closed {
		b.closed = true
		b.admitter.end()
	}
	return nil
}
