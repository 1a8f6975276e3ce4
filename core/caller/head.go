package caller

import "io"

// limitedHeadReader reads from source and, while remaining is not negative, applies the
// limit on request heads.
type limitedHeadReader struct {
	source    io.Reader
	remaining int
	// reserve reserves memory for a part of a head that was read, and reports whether it
	// succeeded; nil if the memory is not limited.
	reserve func(part []byte) bool
	// denied is set once there was no memory for a part. The next read of the head fails:
	// an error together with bytes would stay in the buffered reader if these end the head.
	denied bool
	// err is the error of the last read.
	err error
}

// Read returns errHeadTooLarge once a request head exceeds its limit.
func (h *limitedHeadReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		h.err = errHeadTooLarge
		return 0, h.err
	}
	if h.remaining > 0 && h.denied {
		h.err = errMemory
		return 0, h.err
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.source.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
		h.denied = h.reserve != nil && !h.reserve(p[:n])
	}
	h.err = err
	return n, err
}
