package btbackendstandin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btcodec"
)

// Paths and headers beside the service's own.
const (
	HealthPath  = "/standin/health"
	LoadPath    = "/standin/load"
	ControlPath = "/standin/control" // takes a Behavior by POST
	DrainPath   = "/standin/drain"   // POST
	ReportPath  = "/standin/report"
	// HeaderCaller names the caller; the answer repeats it.
	HeaderCaller = "Standin-Caller"
	// HeaderSize asks for an answer of so many bytes.
	HeaderSize = "Standin-Size"
)

const (
	patternSize   = 64 // bytes of the repeated pattern of a large answer
	maxAnswerSize = 1 << 30
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

func (s *Server) serveHealth(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	ill := s.behavior.Unhealthy && !s.behavior.LieHealthy
	s.mu.Unlock()
	if ill {
		ctx.Error("ill\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

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

// plan is what one request gets.
type plan struct {
	work     time.Duration
	fail     bool
	truncate bool
	frozen   bool
}

// enter takes a slot and draws what the request gets. It returns false where
// all slots are taken.
func (s *Server) enter(path string) (plan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.spec.Slots {
		s.shed++
		return plan{}, false
	}
	s.inFlight++
	s.requests++
	cold := time.Since(s.started) < s.spec.ColdStart
	p := plan{work: time.Duration(float64(s.spec.Work) * (0.5 + s.rng.Float64()))}
	if cold && s.spec.ColdFactor > 0 {
		p.work = time.Duration(float64(p.work) * s.spec.ColdFactor)
	}
	b := s.behavior
	draw := s.rng.Float64()
	if !b.concerns(path) || s.requests <= b.AfterRequests || s.inFlight <= b.AboveInFlight || (b.WhileCold && !cold) {
		return p, true
	}
	p.work += b.Slow
	p.fail = draw < b.FailRate
	p.truncate = !p.fail && draw < b.FailRate+b.TruncateRate
	p.frozen = b.Frozen
	return p, true
}

func (b *Behavior) concerns(path string) bool {
	for _, prefix := range b.Routes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return len(b.Routes) == 0
}

func (s *Server) leave(canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if canceled {
		s.canceled++
	}
}

func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	read, err := io.Copy(io.Discard, requestBody(ctx))
	length := int64(ctx.Request.Header.ContentLength())
	if err != nil || (length >= 0 && read < length) {
		ctx.Error("body is cut short\n", fasthttp.StatusBadRequest)
		return
	}
	path := string(ctx.Path())
	p, ok := s.enter(path)
	if !ok {
		ctx.Response.Header.Set(btbackend.HeaderShed, "1")
		ctx.Error("all slots are taken\n", fasthttp.StatusServiceUnavailable)
		return
	}
	s.record(ctx, path)
	canceled := !s.work(ctx, p)
	defer s.leave(canceled)
	switch {
	case canceled:
		ctx.Error("canceled or out of time\n", fasthttp.StatusGatewayTimeout)
	case p.fail:
		ctx.Error("internal error\n", fasthttp.StatusInternalServerError)
	default:
		s.answer(ctx, p, read)
	}
}

func requestBody(ctx *fasthttp.RequestCtx) io.Reader {
	if stream := ctx.RequestBodyStream(); stream != nil {
		return stream
	}
	return strings.NewReader(string(ctx.Request.Body()))
}

// record notes the execution of a request that changes something.
func (s *Server) record(ctx *fasthttp.RequestCtx, path string) {
	if ctx.IsGet() || ctx.IsHead() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= maxRuns {
		return
	}
	s.runs = append(s.runs, Run{
		Key:     string(ctx.Request.Header.Peek("Idempotency-Key")),
		Caller:  string(ctx.Request.Header.Peek(HeaderCaller)),
		Attempt: string(ctx.Request.Header.Peek(btbackend.HeaderAttempt)),
		Path:    path,
	})
}

// work takes its time and returns false where the caller went away or the
// deadline passed first.
func (s *Server) work(ctx *fasthttp.RequestCtx, p plan) bool {
	watched, end := s.watcher.Watch(context.Background(), ctx.Conn())
	defer end()
	if millis, err := strconv.Atoi(string(ctx.Request.Header.Peek(btbackend.HeaderTimeout))); err == nil {
		var cancel context.CancelFunc
		watched, cancel = context.WithTimeout(watched, time.Duration(millis)*time.Millisecond)
		defer cancel()
	}
	if p.frozen {
		<-watched.Done()
		return false
	}
	select {
	case <-time.After(p.work):
		return true
	case <-watched.Done():
		return false
	}
}

// answer repeats the caller's name. A large answer is a pattern that only this
// caller gets.
func (s *Server) answer(ctx *fasthttp.RequestCtx, p plan, read int64) {
	caller := string(ctx.Request.Header.Peek(HeaderCaller))
	ctx.Response.Header.Set(HeaderCaller, caller)
	size, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize)))
	if err != nil || size <= 0 || size > maxAnswerSize {
		body := fmt.Sprintf("caller=%s service=%s version=%s read=%d\n", caller, s.spec.Service, s.spec.Version, read)
		if p.truncate {
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
		if p.truncate {
			limit = size / 2
		}
		for written := 0; written < limit; written += len(pattern) {
			if _, err := w.Write(pattern[:min(len(pattern), limit-written)]); err != nil {
				return
			}
		}
		if p.truncate {
			_ = w.Flush()
			_ = ctx.Conn().Close()
		}
	})
}

// Pattern returns the bytes that a caller's large answer repeats.
func Pattern(caller string) []byte {
	pattern := make([]byte, patternSize)
	copy(pattern, fmt.Sprintf("%-*s", patternSize-1, caller))
	pattern[patternSize-1] = '\n'
	return pattern
}
