package link

import "sync"

// stack is a bounded stack. As the connection that was used last is reused first,
// surplus connections stay idle and expire.
type stack[T any] struct {
	mu    sync.Mutex
	items []T
	limit int
}

// push adds an item. It returns false if the stack is full.
func (s *stack[T]) push(item T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items) >= s.limit {
		return false
	}
	s.items = append(s.items, item)
	return true
}

// pop removes and returns the item that was pushed last; it returns false if the stack
// is empty.
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

// removeIf removes and returns the items for which match returns true.
func (s *stack[T]) removeIf(match func(T) bool) []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []T
	kept := s.items[:0]
	for _, item := range s.items {
		if match(item) {
			removed = append(removed, item)
			continue
		}
		kept = append(kept, item)
	}
	clear(s.items[len(kept):])
	s.items = kept
	return removed
}

func (s *stack[T]) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}
