package caller

import (
	"bytes"
	"io"
)

var newline = []byte{'\n'}

// limitedHeadReader reads from source and, while remaining is not negative, applies the
// limit on request heads.
type limitedHeadReader struct {
	source    io.Reader
	remaining int
	// reserveLines reserves memory for lines of a head that were read, and reports whether
	// it succeeded; nil if the memory is not limited.
	reserveLines func(lines int) bool
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
		if h.reserveLines != nil && !h.reserveLines(bytes.Count(p[:n], newline)) {
			err = errMemory
		}
	}
	h.err = err
	return n, err
}
