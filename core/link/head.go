package link

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/head"
)

// maxHeadBytes is the maximum size of a response head, so that a target cannot exhaust
// the memory with a head without end.
const maxHeadBytes = 64 << 10

// maxHeadLines is the maximum number of lines of a response head. In memory, a field
// takes about 100 bytes in addition to its text, so that 64 KiB of short lines would
// take more than 1 MiB.
const maxHeadLines = 256

var (
	errHeadTooLarge     = errors.New("response head is larger than 64 KiB")
	errTooManyHeadLines = errors.New("response head has more than 256 lines")
	errVersion          = errors.New("response is not of HTTP/1")
	errFoldedLine       = errors.New("response head has a line that begins with a blank")
)

// readHead reads the head of the next response, final or interim, and checks it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.readingHead = true
	c.headLinesLeft = maxHeadLines
	c.folds = foldScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.folds.scan(buffered)
	resp, err := http.ReadResponse(c.reader, req)
	c.readingHead = false
	switch {
	case err != nil:
		return nil, err
	case resp.ProtoMajor != 1:
		return nil, errVersion
	case c.folds.found:
		return nil, errFoldedLine
	}
	if err := head.CheckResponse(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// limitedReader reads from the connection and applies the limits on response heads.
type limitedReader struct{ c *conn }

// Read fails once a response head exceeds a limit. It reads ahead of the head, so the
// limits are checked when more of the head is needed.
func (r limitedReader) Read(p []byte) (int, error) {
	if !r.c.readingHead {
		return r.c.netConn.Read(p)
	}
	if r.c.headBytesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if r.c.headLinesLeft < 0 {
		return 0, errTooManyHeadLines
	}
	n, err := r.c.netConn.Read(p[:min(int64(len(p)), r.c.headBytesLeft)])
	r.c.folds.scan(p[:n])
	r.c.headBytesLeft -= int64(n)
	r.c.headLinesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// foldScanner looks for lines of a head that begin with a blank or a tab. net/http takes
// such a line for the continuation of the one before it, but it may as well be a field
// whose name is broken, such as a Transfer-Encoding. A proxy may reject a folded line (RFC
// 9112, section 5.2).
type foldScanner struct {
	// column is the number of bytes of the current line so far, without CR.
	column int
	// found is set after a line that begins with a blank or a tab.
	found bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// scan reads the next bytes of the head; it ignores what follows the head.
func (s *foldScanner) scan(p []byte) {
	for _, b := range p {
		if s.ended {
			return
		}
		switch b {
		case '\n':
			s.ended = s.column == 0
			s.column = 0
		case '\r':
		default:
			s.found = s.found || s.column == 0 && (b == ' ' || b == '\t')
			s.column++
		}
	}
}
