package relay

import "sync"

// sizeWeight is the weight of a new sample in a mean size.
const sizeWeight = 0.1

// sizes follows the mean size of request and answer on each route, in bytes.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func (s *sizes) add(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = map[string]float64{}
	}
	mean, known := s.means[route]
	if !known {
		mean = float64(bytes)
	}
	s.means[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// mean returns 0 for a route without an answer so far.
func (s *sizes) mean(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.means[route])
}
