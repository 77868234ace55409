package btadmit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateKey names a customer's limit on a service.
type RateKey struct {
	Customer string
	Service  string
}

// RateLimiter bounds each customer's requests a second. The zero value has no
// limits.
type RateLimiter struct {
	mu       sync.RWMutex
	limiters map[RateKey]*rate.Limiter
}

// Set replaces all limits, in requests a second. Limits that stay the same
// keep what has been used of them.
func (l *RateLimiter) Set(limits map[RateKey]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[RateKey]*rate.Limiter, len(limits))
	for key, perSecond := range limits {
		if old, ok := l.limiters[key]; ok && old.Limit() == rate.Limit(perSecond) {
			next[key] = old
			continue
		}
		next[key] = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	l.limiters = next
}

// Take uses one request of the limit. It returns 0 or the time after which the
// caller may come back.
func (l *RateLimiter) Take(customer, service string, now time.Time) time.Duration {
	l.mu.RLock()
	limiter := l.limiters[RateKey{customer, service}]
	l.mu.RUnlock()
	if limiter == nil || limiter.AllowN(now, 1) {
		return 0
	}
	return max(minRetryAfter, time.Duration(float64(time.Second)/float64(limiter.Limit())))
}
