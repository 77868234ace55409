package btpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabtide/baobabtide"
)

// Forward implements baobabtide.Forwarder. Closing the response's body ends the call.
func (c *Client) Forward(ctx context.Context, target baobabtide.TargetRef, req *baobabtide.Request) (*baobabtide.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	conn, untrack, err := c.track(target.Address, cancel)
	if err != nil {
		cancel(err)
		return nil, baobabtide.Refuse(baobabtide.ReasonLost, 0, err)
	}
	end := func() {
		untrack()
		cancel(nil)
	}
	raw, err := open(ctx, conn, cancel)
	if err != nil {
		re := notSentError(ctx, req.Deadline, err)
		end()
		return nil, re
	}
	stream := &Stream[ResponseFrame, RequestFrame]{raw: raw}
	first, err := firstFrame(target, req)
	if err != nil {
		end()
		return nil, baobabtide.Refuse(baobabtide.ReasonBadRequest, 0, err)
	}
	if err := c.Pacer.wait(ctx, len(first.Body)); err != nil {
		re := notSentError(ctx, req.Deadline, err)
		end()
		return nil, re
	}
	first.Head.setTimes(req)
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		end()
		return nil, lostError(ctx, req.Deadline, err)
	}
	if first.Last {
		_ = raw.CloseSend()
	} else {
		go sendBody(stream, raw, req.Body, c.Pacer, end)
	}
	lost := func(err error) *baobabtide.RequestError { return lostError(ctx, req.Deadline, err) }
	resp, err := receiveResponse(stream, lost, end)
	if err != nil {
		re := baobabtide.AsRequestError(err)
		if re.Verdict == baobabtide.MayHaveRun {
			re = lost(err)
		}
		end()
		return nil, re
	}
	resp.Node = target.Node
	return resp, nil
}

// open opens a stream on a connection and gives up after openTimeout. No part of the
// request has been sent when it returns.
func open(ctx context.Context, conn *grpc.ClientConn, cancel context.CancelCauseFunc) (grpc.ClientStream, error) {
	timer := time.AfterFunc(openTimeout, func() { cancel(errUnresponsive) })
	raw, err := conn.NewStream(ctx, &serviceDesc.Streams[1], forwardMethod)
	if err != nil {
		return nil, err
	}
	if !timer.Stop() {
		return nil, errUnresponsive
	}
	return raw, nil
}

// notSentError returns the error of a request of which nothing was sent. Its reason is
// deadline or canceled if the request's context ended, otherwise connection-lost.
func notSentError(ctx context.Context, deadline time.Time, err error) *baobabtide.RequestError {
	re := baobabtide.Refuse(baobabtide.ReasonLost, 0, err)
	cause := context.Cause(ctx)
	switch {
	case cause == nil, errors.Is(cause, errUnresponsive):
	case errors.Is(cause, context.DeadlineExceeded), !time.Now().Before(deadline):
		re.Reason = baobabtide.ReasonDeadline
	default:
		re.Reason = baobabtide.ReasonCanceled
	}
	return re
}

// lostError returns the error of a request that was sent and got no response. Its
// reason is deadline, canceled or otherwise connection-lost.
func lostError(ctx context.Context, deadline time.Time, err error) *baobabtide.RequestError {
	re := &baobabtide.RequestError{Reason: baobabtide.ReasonLost, Err: err}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errUnresponsive):
		re.Err = errUnresponsive
	case errors.Is(cause, context.DeadlineExceeded), !time.Now().Before(deadline):
		re.Reason = baobabtide.ReasonDeadline
	case ctx.Err() != nil, status.Code(err) == codes.Canceled:
		re.Reason = baobabtide.ReasonCanceled
	}
	return re
}

// setTimes sets the fields that are relative to the time of sending.
func (h *RequestHead) setTimes(req *baobabtide.Request) {
	h.TimeoutMicros = time.Until(req.Deadline).Microseconds()
	if !req.Objective.IsZero() {
		h.ObjectiveMicros = time.Until(req.Objective).Microseconds()
	}
}

// firstFrame returns the frame with the head, without its times, and the first part of
// the body.
func firstFrame(target baobabtide.TargetRef, req *baobabtide.Request) (*RequestFrame, error) {
	frame := &RequestFrame{Head: &RequestHead{
		ID:                req.ID,
		Origin:            req.Origin,
		Host:              req.Host,
		Attempt:           req.Attempt,
		Target:            target.Name,
		TargetIncarnation: target.Incarnation,
		Customer:          req.Customer,
		Service:           req.Service,
		Version:           req.Version,
		Route:             req.Route,
		Key:               req.Key,
		Idempotent:        req.Idempotent,
		Priority:          req.Priority,
		Rollout:           req.Rollout,
		Method:            req.Method,
		Path:              req.Target,
		Header:            req.Header,
		BodyLength:        req.BodyLength,
		Depth:             req.Depth,
		Retried:           req.Retried,
		Late:              req.Late,
		RateLimit:         req.RateLimit,
		Account:           req.Account,
		AccountUse:        req.AccountUse,
		MaxWaitMicros:     req.MaxWait.Microseconds(),
		Digest:            req.Digest,
	}, Last: true}
	if req.Body == nil {
		return frame, nil
	}
	size := int64(firstBodyPart)
	if req.BodyLength >= 0 {
		size = min(size, 2*(req.BodyLength+1)) // readPart stops at half of it, which must be behind the end
	}
	part := make([]byte, size)
	n, err := readPart(req.Body, part)
	frame.Body = part[:n]
	frame.Last = errors.Is(err, io.EOF)
	if err != nil && !frame.Last {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	return frame, nil
}

// sendBody sends the rest of the body after the first frame, at the pace of pacer. If
// reading the body fails, it cancels the call, so that a truncated body is not taken for
// a complete one.
func sendBody(stream *Stream[ResponseFrame, RequestFrame], raw grpc.ClientStream, body io.Reader, pacer *Pacer, cancel func()) {
	part := bodyPartPool.Get().(*[maxBodyPart]byte)
	defer bodyPartPool.Put(part)
	for {
		n, err := readPart(body, part[:])
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			cancel()
			return
		}
		if pacer.wait(stream.Context(), n) != nil {
			return // the call has ended
		}
		if err := stream.Send(&RequestFrame{Body: part[:n], Last: last}); err != nil {
			return
		}
		if last {
			_ = raw.CloseSend()
			return
		}
	}
}

// receiveResponse receives the first frame and returns the response, whose body reads
// the following frames, returns the error of lost if they end early and calls cancel when
// it is closed. A refusal is returned as *baobabtide.RequestError.
func receiveResponse(stream *Stream[ResponseFrame, RequestFrame], lost func(error) *baobabtide.RequestError, cancel func()) (*baobabtide.Response, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if r := frame.Refusal; r != nil {
		re := &baobabtide.RequestError{
			Verdict:    r.Verdict,
			Reason:     r.Reason,
			RetryAfter: time.Duration(r.RetryAfterMicros) * time.Microsecond,
			Load:       r.Load,
			Reached:    r.Reached,
			Crashed:    r.Crashed,
		}
		if r.Message != "" {
			re.Err = errors.New(r.Message)
		}
		return nil, re
	}
	if frame.Head == nil {
		return nil, errors.New("first frame of a response has no head")
	}
	return &baobabtide.Response{
		Status:  frame.Head.Status,
		Header:  frame.Head.Header,
		Body:    &responseBody{stream: stream, lost: lost, part: frame.Body, last: frame.Last, end: cancel},
		Length:  frame.Head.Length,
		Version: frame.Head.Version,
		Load:    frame.Head.Load,
		Excused: frame.Head.Excused,
		Took:    time.Duration(frame.Head.TookMicros) * time.Microsecond,
	}, nil
}
