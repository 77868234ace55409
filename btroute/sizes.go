package btroute

import "sync"

const (
	sizeWeight   = 8       // smoothing of the size of answers: one part in 8 from the newest
	maxSizes     = 1 << 12 // routes whose size is remembered
	unknownBytes = 1 << 10 // before the first answer
)

// Sizes holds how large the answers of routes are. The zero value is empty. All
// methods are safe for concurrent use.
type Sizes struct {
	mu    sync.Mutex
	bytes map[string]float64
}

// Learn takes in the size of an answer.
func (s *Sizes) Learn(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.bytes[route]
	switch {
	case ok:
		s.bytes[route] = old + (float64(bytes)-old)/sizeWeight
	case len(s.bytes) < maxSizes:
		if s.bytes == nil {
			s.bytes = make(map[string]float64)
		}
		s.bytes[route] = float64(bytes)
	}
}

// Expect returns the size of the next answer.
func (s *Sizes) Expect(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes, ok := s.bytes[route]; ok {
		return bytes
	}
	return unknownBytes
}
