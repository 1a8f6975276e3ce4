package sched

// cursor is a place in the waiters of a flow, with the virtual start time of the first of
// those that are left.
type cursor struct {
	start   float64
	since   uint64
	step    float64
	waiters []*waiter
}

// cursors is a binary heap of cursors by virtual start time. container/heap would take
// several times as long for the queue of a whole daemon.
type cursors []cursor

func (c cursors) less(i, j int) bool {
	return c[i].start < c[j].start || c[i].start == c[j].start && c[i].since < c[j].since
}

// advance moves the first cursor to its next waiter, or removes it after the last one.
func (c cursors) advance() cursors {
	first := &c[0]
	first.start += first.step
	first.waiters = first.waiters[1:]
	if len(first.waiters) == 0 {
		last := len(c) - 1
		c[0] = c[last]
		c = c[:last]
	}
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c); child++ {
			if c.less(child, least) {
				least = child
			}
		}
		if least == i {
			return c
		}
		c[i], c[least] = c[least], c[i]
		i = least
	}
}
