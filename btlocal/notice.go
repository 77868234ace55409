package btlocal

import (
	"sync"
	"time"

	"github.com/baobabtide/baobabtide/btbackend"
	"github.com/baobabtide/baobabtide/btlog"
)

// minFailureStatus is the lowest status of a response that counts as a failure.
const minFailureStatus = 500

// stated holds what a backend server has stated about itself in its responses. The zero
// value is a server that has stated nothing.
type stated struct {
	mu        sync.Mutex
	limit     float64   // requests per second that the server accepts; valid only if limited
	limited   bool      // the server names a limit
	limitAt   time.Time // when the limit was last named
	changedAt time.Time // when the limit last changed
	arrivals  int64     // arrivals of the server at that time
}

// RateLimit is the rate limit that a backend server beside the node names.
type RateLimit struct {
	Server    string
	Limit     float64   // requests per second
	ChangedAt time.Time // when the server first named this limit
}

// update records what a response to a request that was sent at sentAt states, and reports
// whether the rate limit has changed. A response without a limit withdraws it only if the
// server ran the request and got it after it last named the limit: others are written by
// what stands before the application, or may be older.
func (s *stated) update(notice *btbackend.Notice, sentAt, now time.Time) bool {
	switch {
	case notice.HasRateLimit:
		changed := !s.limited || s.limit != notice.RateLimit
		s.limit, s.limited, s.limitAt = notice.RateLimit, true, now
		return changed
	case s.limited && notice.Invalid == "" && !notice.NotRun && notice.Status < minFailureStatus && sentAt.After(s.limitAt):
		s.limit, s.limited = 0, false
		return true
	}
	return false
}

// recordNotice records what a response of a backend server states about it.
func (a *Admitter) recordNotice(s *server, notice *btbackend.Notice, sentAt time.Time) {
	if notice.Invalid != "" {
		a.InvalidNotices.Add(1)
		a.Log.Server(btlog.NoticeInvalid, s.announcement.Name).Str("value", notice.Invalid).Send()
	}
	now := time.Now()
	s.stated.mu.Lock()
	defer s.stated.mu.Unlock()
	previous, since, sent := s.stated.limit, s.stated.changedAt, s.stated.arrivals
	if !s.stated.update(notice, sentAt, now) {
		return
	}
	s.stated.changedAt, s.stated.arrivals = now, s.arrivals.Load()
	line := a.Log.Server(btlog.TargetLimit, s.announcement.Name).Bool("limited", s.stated.limited).
		Float64("limit", s.stated.limit).Float64("previous", previous).Int64("arrivals", s.stated.arrivals-sent)
	if !since.IsZero() {
		line = line.Dur("age-ms", now.Sub(since))
	}
	line.Send()
}

// RateLimits returns the rate limits that the backend servers beside the node name, in no
// particular order.
func (a *Admitter) RateLimits() []RateLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	var limits []RateLimit
	for name, s := range a.servers {
		s.stated.mu.Lock()
		if s.stated.limited {
			limits = append(limits, RateLimit{Server: name, Limit: s.stated.limit, ChangedAt: s.stated.changedAt})
		}
		s.stated.mu.Unlock()
	}
	return limits
}
