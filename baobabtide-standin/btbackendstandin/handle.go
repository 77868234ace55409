package btbackendstandin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcodec"
	"github.com/baobabtide/baobabtide/btfixture"
)

// Paths and headers of the stand-in. It handles all other paths as requests to its
// service.
const (
	HealthPath  = "/standin/health"
	LoadPath    = "/standin/load"
	ControlPath = "/standin/control" // receives a Behavior as the body
	DrainPath   = "/standin/drain"   // starts draining
	ReportPath  = "/standin/report"
	// HeaderCaller holds the caller's name. The response repeats it.
	HeaderCaller = "Standin-Caller"
	// HeaderSize holds the requested number of bytes of the response's body.
	HeaderSize = "Standin-Size"
)

const (
	patternSize     = 64      // bytes of the pattern that a response of a given size repeats
	maxResponseSize = 1 << 30 // bytes, a request for more gets the short response
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case HealthPath:
		s.serveHealth(ctx)
	case LoadPath:
		s.serveLoad(ctx)
	case ControlPath:
		b, err := btcodec.DecodeJSON[Behavior](ctx.PostBody())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetBehavior(*b)
	case DrainPath:
		s.Drain()
	case ReportPath:
		data, err := btcodec.EncodeJSON(s.Report())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(data)
	default:
		s.serveRequest(ctx)
	}
}

// serveHealth responds to a health check, with 503 if the server is unhealthy and
// Behavior.LieHealthy is not set.
func (s *Server) serveHealth(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	unhealthy := s.behavior.Unhealthy && !s.behavior.LieHealthy
	s.mu.Unlock()
	if unhealthy {
		ctx.Error("ill\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

// serveLoad responds with the server's load, scaled by Behavior.LieLoad.
func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	load := baobabtide.Load{InFlight: s.inFlight, Slots: s.spec.Slots}
	if s.behavior.LieLoad > 0 {
		load.InFlight = int(float64(load.InFlight) * s.behavior.LieLoad)
	}
	s.mu.Unlock()
	data, err := btcodec.EncodeJSON(load)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// treatment configures how the server handles one request.
type treatment struct {
	duration time.Duration // run time
	fail     bool          // respond with 500
	truncate bool          // truncate the response
	frozen   bool          // run until the request is canceled or reaches its deadline
	endless  string        // kind of endless input to send in place of the response
	pause    time.Duration // between the units of endless input

	generation int     // of the server at the start of the run
	crash      bool    // crash after the duration
	limit      float64 // rate limit that the response names, 0 for none
	leaving    bool    // the response says that the server is about to stop
}

// acquireSlot acquires a slot and returns the treatment of the request, whose run time
// and faults are random. It returns false if all slots are in use.
func (s *Server) acquireSlot(path, attempt string) (treatment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.notices.arrive(attempt, now)
	notice := treatment{generation: s.generation, limit: s.behavior.RateLimit, leaving: s.behavior.Leaving}
	if s.inFlight >= s.spec.Slots {
		s.shed++
		return notice, false
	}
	s.inFlight++
	s.requests++
	cold := now.Sub(s.started) < s.spec.ColdStart
	t := notice
	t.duration = time.Duration(float64(s.spec.Work) * (0.5 + s.rng.Float64()))
	if cold && s.spec.ColdFactor > 0 {
		t.duration = time.Duration(float64(t.duration) * s.spec.ColdFactor)
	}
	b := s.behavior
	if b.crashes(path) {
		t.crash, t.duration = true, b.CrashAfter
		return t, true
	}
	draw := s.rng.Float64()
	if !b.appliesTo(path) || s.requests <= b.AfterRequests || s.inFlight <= b.AboveInFlight || (b.WhileCold && !cold) {
		return t, true
	}
	t.duration += b.Slow
	t.fail = draw < b.FailRate
	t.truncate = !t.fail && draw < b.FailRate+b.TruncateRate
	t.frozen = b.Frozen
	t.endless, t.pause = b.Endless, b.EndlessPause
	return t, true
}

// appliesTo reports whether the faults apply to requests with a path.
func (b *Behavior) appliesTo(path string) bool {
	for _, prefix := range b.Routes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return len(b.Routes) == 0
}

// releaseSlot releases a request's slot and counts it, and marks the run at index in
// runs, if it was canceled.
func (s *Server) releaseSlot(t treatment, runs *[]Run, index int, canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.generation == s.generation {
		s.inFlight--
	}
	if !canceled {
		return
	}
	s.canceled++
	if index >= 0 {
		(*runs)[index].Canceled = true
	}
}

// serveRequest reads a request's body, handles the request according to its treatment and
// responds.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	body := xxhash.New()
	bodySize, err := io.Copy(body, requestBody(ctx))
	length := int64(ctx.Request.Header.ContentLength())
	if err != nil || (length >= 0 && bodySize < length) {
		ctx.Error("body is truncated\n", fasthttp.StatusBadRequest)
		return
	}
	path := string(ctx.Path())
	attempt := string(ctx.Request.Header.Peek(btbackend.HeaderAttempt))
	t, ok := s.acquireSlot(path, attempt)
	defer s.writeNotices(ctx, t, attempt)
	if !ok {
		ctx.Error("all slots are in use\n", fasthttp.StatusServiceUnavailable) // removes the headers set before
		ctx.Response.Header.Set(btbackend.HeaderShed, "1")
		ctx.Response.Header.Set(btbackend.HeaderAttempt, attempt)
		return
	}
	runs := &s.runs
	if ctx.IsGet() || ctx.IsHead() {
		runs = &s.reads
	}
	index := s.recordRun(ctx, path, runs)
	canceled := !s.simulateWork(ctx, t)
	defer s.releaseSlot(t, runs, index, canceled)
	switch {
	case t.crash:
		s.recordCrash(path, attempt, body.Sum64())
		s.crash(t.generation)
		_ = ctx.Conn().Close() // if another request has crashed the server before
	case canceled:
		ctx.Error("canceled or deadline exceeded\n", fasthttp.StatusGatewayTimeout)
	case t.fail:
		ctx.Error("internal error\n", fasthttp.StatusInternalServerError)
	case t.endless != "":
		s.sendEndless(ctx, t)
	default:
		s.respond(ctx, t, bodySize)
	}
}

// writeNotices writes what the response states about the server.
func (s *Server) writeNotices(ctx *fasthttp.RequestCtx, t treatment, attempt string) {
	if t.limit > 0 {
		ctx.Response.Header.Set(btbackend.HeaderRateLimit, strconv.FormatFloat(t.limit, 'f', -1, 64))
	}
	if t.leaving {
		ctx.Response.Header.Set(btbackend.HeaderLeaving, "1")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.generation == s.generation {
		s.notices.respond(attempt, t.limit, t.leaving, time.Now())
	}
}

// requestBody returns the request's body, streamed or in memory.
func requestBody(ctx *fasthttp.RequestCtx) io.Reader {
	if stream := ctx.RequestBodyStream(); stream != nil {
		return stream
	}
	return strings.NewReader(string(ctx.Request.Body()))
}

// recordRun records the run of a request in runs and returns its index. Beyond maxRuns,
// runs are not recorded, and the index is -1.
func (s *Server) recordRun(ctx *fasthttp.RequestCtx, path string, runs *[]Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(*runs) >= maxRuns {
		return -1
	}
	*runs = append(*runs, Run{
		Key:     string(ctx.Request.Header.Peek("Idempotency-Key")),
		Caller:  string(ctx.Request.Header.Peek(HeaderCaller)),
		Attempt: string(ctx.Request.Header.Peek(btbackend.HeaderAttempt)),
		Path:    path,
	})
	return len(*runs) - 1
}

// simulateWork waits for the treatment's run time. It returns false if the caller closes
// the connection or the deadline passes first.
func (s *Server) simulateWork(ctx *fasthttp.RequestCtx, t treatment) bool {
	requestCtx, end := s.watcher.Watch(context.Background(), ctx.Conn())
	defer end()
	if millis, err := strconv.Atoi(string(ctx.Request.Header.Peek(btbackend.HeaderTimeout))); err == nil {
		var cancel context.CancelFunc
		requestCtx, cancel = context.WithTimeout(requestCtx, time.Duration(millis)*time.Millisecond)
		defer cancel()
	}
	if t.frozen {
		<-requestCtx.Done()
		return false
	}
	select {
	case <-time.After(t.duration):
		return true
	case <-requestCtx.Done():
		return false
	}
}

// sendEndless sends endless input in place of the response until the node closes the
// connection or the server stops. An unknown kind is answered with 500.
func (s *Server) sendEndless(ctx *fasthttp.RequestCtx, t treatment) {
	input, ok := btfixture.EndlessResponses()[t.endless]
	if !ok {
		ctx.Error("unknown kind of endless input\n", fasthttp.StatusInternalServerError)
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		ended := make(chan struct{})
		defer close(ended)
		go func() {
			select {
			case <-s.stop:
				_ = c.SetDeadline(time.Unix(1, 0)) // Close has no effect on a hijacked connection
			case <-ended:
			}
		}()
		_ = input.Send(c, t.pause)
	})
}

// respond writes the response to a request whose body had bodySize bytes. It holds the
// caller's name, so that a caller detects the response to another request. A response of
// the size in HeaderSize repeats the caller's Pattern.
func (s *Server) respond(ctx *fasthttp.RequestCtx, t treatment, bodySize int64) {
	caller := string(ctx.Request.Header.Peek(HeaderCaller))
	ctx.Response.Header.Set(HeaderCaller, caller)
	size, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize)))
	if err != nil || size <= 0 || size > maxResponseSize {
		body := fmt.Sprintf("caller=%s service=%s version=%s read=%d\n", caller, s.spec.Service, s.spec.Version, bodySize)
		if t.truncate {
			ctx.SetBodyStream(strings.NewReader(body[:len(body)/2]), len(body))
			return
		}
		ctx.SetBodyString(body)
		return
	}
	pattern := Pattern(caller)
	ctx.Response.Header.SetContentLength(size)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		limit := size
		if t.truncate {
			limit = size / 2
		}
		for written := 0; written < limit; written += len(pattern) {
			if _, err := w.Write(pattern[:min(len(pattern), limit-written)]); err != nil {
				return
			}
		}
		if t.truncate {
			_ = w.Flush()
			_ = ctx.Conn().Close()
		}
	})
}

// Pattern returns the bytes that a response of a given size repeats for a caller.
func Pattern(caller string) []byte {
	pattern := make([]byte, patternSize)
	copy(pattern, fmt.Sprintf("%-*s", patternSize-1, caller))
	pattern[patternSize-1] = '\n'
	return pattern
}
