package btlocal

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btledger"
)

const (
	partnerRetryAfter = time.Second // if the key's partner can't be reached
)

// run is a request that holds a slot.
type run struct {
	admitter *Admitter
	server   *server
	req      *baobabtide.Request
	ticket   btadmit.Ticket
	started  time.Time
	keyName  string // as btledger.KeyName returns it, empty for an idempotent request or one without a key
	recorded bool   // the ledger holds the attempt as running
	suspect  bool   // counted in server.suspects
	released bool
}

// do runs the request and releases the slot, if it has no response to stream.
func (r *run) do(ctx context.Context) (*baobabtide.Response, *baobabtide.RequestError) {
	a, s, req := r.admitter, r.server, r.req
	if refusal := r.isolate(); refusal != nil {
		r.release()
		refusal.Load = s.queue.Load(req.Route, time.Now())
		return nil, refusal
	}
	if answer, refusal := r.recordBegin(ctx); answer != nil || refusal != nil {
		r.release()
		return replay(answer, a), refusal
	}
	s.arrivals.Add(1)
	resp, err := s.pool.Do(ctx, req)
	if err != nil {
		return nil, r.fail(baobabtide.AsRequestError(err))
	}
	return r.succeed(resp), nil
}

// recordBegin records a non-idempotent attempt in the ledger and reserves its key. If the
// request must not run, it returns the stored answer or an error.
func (r *run) recordBegin(ctx context.Context) (*baobabtide.Answer, *baobabtide.RequestError) {
	if r.req.Idempotent {
		return nil, nil
	}
	if r.req.Key != "" {
		r.keyName = btledger.KeyName(r.req.Customer, r.req.Service, r.req.Account, r.req.Key)
	}
	answer, refusal := r.admitter.ledger.Begin(r.req.Attempt, r.keyName, time.Now())
	r.recorded = answer == nil && refusal == nil
	if !r.recorded || r.keyName == "" {
		return answer, refusal
	}
	return r.reserve(ctx)
}

// reserve reserves the key at its partner before the attempt begins. If the partner can't
// be reached, the request is refused. If the partner has a record of another attempt, the
// request gets the answer or the error of that record.
func (r *run) reserve(ctx context.Context) (*baobabtide.Answer, *baobabtide.RequestError) {
	key := baobabtide.KeyRecord{Key: r.keyName, Attempt: r.req.Attempt}
	existing, err := r.admitter.Partner.Reserve(ctx, r.req, key)
	if err != nil {
		r.recorded = false
		r.admitter.ledger.End(r.req.Attempt, r.keyName, baobabtide.NotRun, nil)
		r.admitter.Partner.Resolve(r.req, key)
		return nil, baobabtide.Refuse(baobabtide.ReasonPartner, partnerRetryAfter, err)
	}
	if existing.State == baobabtide.KeyFree {
		return nil, nil
	}
	r.recorded = false
	return r.admitter.ledger.Adopt(r.req.Attempt, existing)
}

// recordEnd records how a recorded attempt ended, in the ledger and at the key's partner.
// The partner keeps the key reserved if the request may have run.
func (r *run) recordEnd(verdict baobabtide.Verdict, answer *baobabtide.Answer) {
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

// release releases the slot. Repeated calls have no effect.
func (r *run) release() {
	if r.endSlot() {
		now := time.Now()
		r.server.queue.Release(&r.ticket, now.Sub(r.started), now)
	}
}

// complete records a run that ended with a response and releases the slot.
func (r *run) complete(failed bool) {
	if r.endSlot() {
		now := time.Now()
		r.server.queue.Complete(&r.ticket, now.Sub(r.started), failed, now)
	}
}

// endSlot reports whether the slot is to be released, which it is only once.
func (r *run) endSlot() bool {
	if r.released {
		return false
	}
	r.released = true
	if r.suspect {
		r.server.suspects.Add(-1)
	}
	return true
}

// fail ends a request that got no response and returns its error with the load of the
// server.
func (r *run) fail(err *baobabtide.RequestError) *baobabtide.RequestError {
	if r.recorded {
		r.recordEnd(err.Verdict, nil)
	}
	now := time.Now()
	switch err.Reason {
	case baobabtide.ReasonOverload:
		r.server.queue.RecordShed(now)
	case baobabtide.ReasonUnreached:
		r.server.recordUnreached(now)
	case baobabtide.ReasonMisdirected:
		r.server.queue.Close() // another backend server has the address
	case baobabtide.ReasonBackend:
		r.recordFailure(err, now)
	case baobabtide.ReasonDeadline, baobabtide.ReasonCanceled:
		if err.Reached && r.endSlot() {
			r.server.queue.Abandon(&r.ticket, now.Sub(r.started), now)
		}
	}
	err.Load = r.server.queue.Load(r.req.Route, now)
	r.release()
	return err
}

// recordFailure records a run that the server ended without a response. A server that resets a
// connection and goes on may be full.
func (r *run) recordFailure(err *baobabtide.RequestError, now time.Time) {
	queue := r.server.queue
	switch {
	case btbackend.IsConnEnd(err.Err) && r.admitter.crashed(r.server):
		err.Crashed = true
		r.recordCrash(now)
		queue.RecordRun(r.req.Route, now.Sub(r.started), true)
	case errors.Is(err.Err, btbackend.ErrReset):
		r.admitter.Resets.Add(1)
		queue.RecordReset(now)
	default:
		queue.RecordRun(r.req.Route, now.Sub(r.started), true)
	}
}

// succeed returns the response with the load of the server and with a body that ends the
// request when it is closed. A failure is excused if a call has failed during the run.
func (r *run) succeed(resp *baobabtide.Response) *baobabtide.Response {
	r.clear(time.Now())
	resp.Took = time.Since(r.started)
	resp.Load = r.server.queue.Load(r.req.Route, time.Now())
	resp.Load.Call = r.ticket.Call
	resp.Load.Leaving = r.server.leaving.Load()
	resp.Excused = resp.Status >= minFailureStatus && r.admitter.callFailed.After(r.started)
	resp.Body = &runBody{ReadCloser: resp.Body, run: r, resp: resp}
	return resp
}

const maxStoredBody = 16 << 10 // bytes of the body of a response that is stored for repeated requests

// runBody is the body of a response. It ends the request when it is closed.
type runBody struct {
	io.ReadCloser
	run       *run
	resp      *baobabtide.Response
	stored    bytes.Buffer // body as read so far if the request has a key, only its start if it exceeds maxStoredBody
	complete  bool         // the body was read to its end
	truncated bool         // reading the body failed before its end
	closed    bool
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.run.keyName != "" && b.stored.Len() <= maxStoredBody {
		b.stored.Write(p[:n])
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		b.truncated = true
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
		r.recordEnd(baobabtide.Ran, b.storableAnswer())
	}
	r.complete(b.truncated || b.resp.Status >= minFailureStatus)
	r.admitter.end()
	return err
}

// storableAnswer returns the response in the form in which it is stored for repeated
// requests with the key. It returns nil if there is no key, or if the body is incomplete
// or exceeds maxStoredBody.
func (b *runBody) storableAnswer() *baobabtide.Answer {
	if b.run.keyName == "" || !b.complete || b.stored.Len() > maxStoredBody {
		return nil
	}
	return &baobabtide.Answer{Status: b.resp.Status, Header: b.resp.Header, Body: bytes.Clone(b.stored.Bytes())}
}

// replay returns a stored answer as a response, nil if there is no answer. The request
// ends when the body is closed.
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
