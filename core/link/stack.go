package link

import "sync"

// stack is a bounded LIFO container, so that the connections used last stay
// warm and the oldest age out.
type stack[T any] struct {
	mu    sync.Mutex
	items []T
	limit int
}

// push adds an item and returns false if the stack is full.
func (s *stack[T]) push(item T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items) >= s.limit {
		return false
	}
	s.items = append(s.items, item)
	return true
}

// pop removes the newest item.
func (s *stack[T]) pop() (T, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero T
	n := len(s.items)
	if n == 0 {
		return zero, false
	}
	item := s.items[n-1]
	s.items[n-1] = zero
	s.items = s.items[:n-1]
	return item, true
}

// take removes and returns the items for which drop is true.
func (s *stack[T]) take(drop func(T) bool) []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []T
	kept := s.items[:0]
	for _, item := range s.items {
		if drop(item) {
			taken = append(taken, item)
			continue
		}
		kept = append(kept, item)
	}
	clear(s.items[len(kept):])
	s.items = kept
	return taken
}

func (s *stack[T]) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}
