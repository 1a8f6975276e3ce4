package caller

import "io"

// limitedHeadReader reads from source and, while remaining is not negative, applies the
// limit on request heads.
type limitedHeadReader struct {
	source    io.Reader
	remaining int
	// err is the error of the last read.
	err error
}

// Read returns errHeadTooLarge once a request head exceeds its limit.
func (h *limitedHeadReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		h.err = errHeadTooLarge
		return 0, h.err
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.source.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	h.err = err
	return n, err
}
