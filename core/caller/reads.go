package caller

import (
	"net"
	"sync"
	"time"
)

// readWindow is the time in which requests are read from a connection. A read blocks until
// the deadline that the reader set, or until the end of the window if that is earlier.
type readWindow struct {
	netConn net.Conn

	mu sync.Mutex
	// end, if set, is the time after which no request is read.
	end time.Time
	// lifted is set once no request is read any more, and deadlines no longer apply.
	lifted bool
}

// setDeadline sets the time until which reads may block. It returns false, and reads fail
// at once, if the window has ended.
func (w *readWindow) setDeadline(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.end.IsZero() && t.After(w.end) {
		t = w.end
	}
	_ = w.netConn.SetReadDeadline(t)
	return t.After(time.Now())
}

// endAt ends the window, unless it ends earlier: from then on nobody waits for another
// request, and the read of one that is not complete fails.
func (w *readWindow) endAt(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.end.IsZero() && !t.Before(w.end) {
		return
	}
	w.end = t
	if !w.lifted {
		_ = w.netConn.SetReadDeadline(t)
	}
}

// lift removes the read deadline after the last request was read.
func (w *readWindow) lift() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lifted = true
	_ = w.netConn.SetReadDeadline(time.Time{})
}

// hasEnd reports whether the window was given an end.
func (w *readWindow) hasEnd() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.end.IsZero()
}
