package relay

import "sync"

// sizeWeight is the weight of a new sample in the moving average.
const sizeWeight = 0.1

// sizes keeps, for each route, a moving average of the body sizes of request and
// response together, in bytes.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// add adds the size of one request with its response.
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

// mean returns the average size on a route, or 0 if it has no response yet.
func (s *sizes) mean(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.means[route])
}
