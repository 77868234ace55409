package btlocal

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btadmit"
	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btlog"
)

// minFailureStatus is the lowest status of a response that counts as a failure.
const minFailureStatus = 500

// stated holds what a backend server has stated about itself in its responses. The zero
// value is a server that has stated nothing.
type stated struct {
	mu    sync.Mutex
	heard bool // a response to this process of the node has told whether there is a rate limit
	rate  rateNotice
}

// rateNotice is the rate limit that a backend server names. The zero value is none.
type rateNotice struct {
	limit     float64   // requests per second that the server accepts; valid only if limited
	limited   bool      // the server names a limit
	namedAt   time.Time // when the limit was last named
	changedAt time.Time // when the limit last changed, zero if it never has
	arrivals  int64     // arrivals of the server at that time
}

// update records what a response to a request that was sent at sentAt states, and reports
// whether the rate limit has changed. A response without a limit withdraws it only if the
// server ran the request and got it after it last named the limit: others are written by
// what stands before the application, or may be older.
func (r *rateNotice) update(notice *btbackend.Notice, sentAt, now time.Time) bool {
	switch {
	case notice.HasRateLimit:
		changed := !r.limited || r.limit != notice.RateLimit
		r.limit, r.limited, r.namedAt = notice.RateLimit, true, now
		return changed
	case r.limited && withdraws(notice) && sentAt.After(r.namedAt):
		r.limit, r.limited = 0, false
		return true
	}
	return false
}

// withdraws reports whether a response without a rate limit means that there is none.
func withdraws(notice *btbackend.Notice) bool {
	return notice.Invalid == "" && !notice.NotRun && notice.Status < minFailureStatus
}

// recordNotice records what a response of a backend server states about it, obeys its rate
// limit and sends it no more requests once it is about to stop.
func (a *Admitter) recordNotice(s *server, notice *btbackend.Notice, sentAt time.Time) {
	if notice.Invalid != "" {
		a.InvalidNotices.Add(1)
		a.Log.Server(btlog.NoticeInvalid, s.name).Str("value", notice.Invalid).Send()
	}
	if notice.Leaving {
		a.recordLeaving(s)
	}
	now := time.Now()
	a.recordLoad(s, notice, now)
	s.stated.mu.Lock()
	defer s.stated.mu.Unlock()
	rate := &s.stated.rate
	previous := *rate
	s.stated.heard = s.stated.heard || notice.HasRateLimit || withdraws(notice)
	if !rate.update(notice, sentAt, now) {
		return
	}
	s.applyRateLimit(now)
	rate.changedAt, rate.arrivals = now, s.arrivals.Load()
	line := a.Log.Server(btlog.TargetLimit, s.name).Bool("limited", rate.limited).
		Float64("limit", rate.limit).Float64("previous", previous.limit).Int64("arrivals", rate.arrivals-previous.arrivals)
	if !previous.changedAt.IsZero() {
		line = line.Dur("age-ms", now.Sub(previous.changedAt))
	}
	line.Send()
}

// recordLoad records the load report of a response. One that is not valid is counted, and
// logged once for each server, since it may come with every response. A response of status 421
// is that of another server.
func (a *Admitter) recordLoad(s *server, notice *btbackend.Notice, now time.Time) {
	switch {
	case notice.InvalidLoad != "":
		a.InvalidReports.Add(1)
		if !s.badReport.Swap(true) {
			a.Log.Server(btlog.ReportInvalid, s.name).Str("value", notice.InvalidLoad).Send()
		}
	case notice.HasLoad && notice.Status != fasthttp.StatusMisdirectedRequest:
		a.Reports.Add(1)
		load := &notice.Load
		s.queue.RecordReport(btadmit.Report{Requests: load.Running + load.Waiting, ServiceTime: load.ServiceTime, Refused: notice.NotRun}, now)
	}
}

// applyRateLimit sets the rate limit of the queue. The caller holds s.stated.mu.
func (s *server) applyRateLimit(now time.Time) {
	if s.stated.rate.limited {
		s.queue.SetRateLimit(s.stated.rate.limit, now)
		return
	}
	s.queue.ClearRateLimit(now)
}

// suggestRateLimit sets the rate limit that another node knows, 0 for none, until a response
// of the server tells: an earlier process of this node may have passed it on.
func (s *server) suggestRateLimit(limit float64, now time.Time) {
	if limit <= 0 {
		return
	}
	s.stated.mu.Lock()
	defer s.stated.mu.Unlock()
	if s.stated.heard || s.stated.rate.limited {
		return
	}
	s.stated.rate = rateNotice{limit: limit, limited: true, changedAt: now}
	s.applyRateLimit(now)
}

// recordLeaving records that a backend server is about to stop. This is final for the
// incarnation, whatever it announces.
func (a *Admitter) recordLeaving(s *server) {
	if s.leaving.Swap(true) {
		return
	}
	s.queue.Close()
	a.Log.Server(btlog.TargetLeaving, s.name).Uint64("incarnation", s.incarnation).Int64("arrivals", s.arrivals.Load()).Send()
	if a.OnLeaving != nil {
		a.OnLeaving(s.name, s.incarnation)
	}
}

// adoptStated takes over what the same incarnation stated before its announcement changed.
func (s *server) adoptStated(old *server, now time.Time) {
	s.leaving.Store(old.leaving.Load())
	old.stated.mu.Lock()
	rate, heard := old.stated.rate, old.stated.heard
	rate.arrivals -= old.arrivals.Load() // s counts from 0
	old.stated.mu.Unlock()
	s.stated.mu.Lock()
	defer s.stated.mu.Unlock()
	s.stated.rate, s.stated.heard = rate, heard
	s.applyRateLimit(now)
}

// RateLimits returns the rate limits that the backend servers beside the node name, in no
// particular order.
func (a *Admitter) RateLimits() []baobabtide.ServerRateLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	var limits []baobabtide.ServerRateLimit
	for name, s := range a.servers {
		s.stated.mu.Lock()
		if rate := &s.stated.rate; rate.limited {
			limits = append(limits, baobabtide.ServerRateLimit{Server: name, PerSecond: rate.limit, Since: rate.changedAt})
		}
		s.stated.mu.Unlock()
	}
	return limits
}
