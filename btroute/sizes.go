package btroute

import "sync"

const (
	sizeSmoothing = 8       // the newest size contributes 1/8 to the moving average
	maxSizeRoutes = 1 << 12 // routes with an estimate
	defaultBytes  = 1 << 10 // expected size before the first response
)

// Sizes estimates the size of the responses of each route, in bytes. The zero value
// is empty. All methods are safe for concurrent use.
type Sizes struct {
	mu    sync.Mutex
	bytes map[string]float64
}

// Record records the size of a response. It ignores further routes once
// maxSizeRoutes have an estimate.
func (s *Sizes) Record(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.bytes[route]
	switch {
	case ok:
		s.bytes[route] = old + (float64(bytes)-old)/sizeSmoothing
	case len(s.bytes) < maxSizeRoutes:
		if s.bytes == nil {
			s.bytes = make(map[string]float64)
		}
		s.bytes[route] = float64(bytes)
	}
}

// Expected returns the expected size of a response on the route, in bytes.
func (s *Sizes) Expected(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes, ok := s.bytes[route]; ok {
		return bytes
	}
	return defaultBytes
}
