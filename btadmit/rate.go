package btadmit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateKey identifies the rate limit of a customer on a service.
type RateKey struct {
	Customer string
	Service  string
}

// RateLimiter limits the requests per second of each customer to each service.
// The zero value has no limits. All methods are safe for concurrent use.
type RateLimiter struct {
	mu       sync.RWMutex
	limiters map[RateKey]*rate.Limiter
}

// Set replaces all limits, in requests per second. A limit with an unchanged value
// keeps its remaining tokens. The burst is the number of requests allowed in one
// second, at least one.
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

// Take consumes one token of the customer's limit on the service. It returns 0 if
// the request is allowed, otherwise the time after which the caller may retry, at
// least minRetryAfter.
func (l *RateLimiter) Take(customer, service string, now time.Time) time.Duration {
	l.mu.RLock()
	limiter := l.limiters[RateKey{customer, service}]
	l.mu.RUnlock()
	if limiter == nil || limiter.AllowN(now, 1) {
		return 0
	}
	return max(minRetryAfter, time.Duration(float64(time.Second)/float64(limiter.Limit())))
}
