package link

import (
	"bytes"
	"net/http"
	"strings"

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
	errEncodingVersion  = errors.New("response of HTTP/1.0 has a Transfer-Encoding")
)

// readHead reads the head of the next response, final or interim, and checks it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.readingHead = true
	c.headLinesLeft = maxHeadLines
	c.scanner = headScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.scanner.scan(buffered)
	resp, err := http.ReadResponse(c.reader, req)
	c.readingHead = false
	switch {
	case err != nil:
		return nil, err
	case resp.ProtoMajor != 1:
		return nil, errVersion
	case c.scanner.folded:
		return nil, errFoldedLine
	case c.scanner.encoded && !resp.ProtoAtLeast(1, 1):
		return nil, errEncodingVersion
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
	r.c.scanner.scan(p[:n])
	r.c.headBytesLeft -= int64(n)
	r.c.headLinesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// encodingField is the start of a line with a Transfer-Encoding.
const encodingField = "Transfer-Encoding:"

// headScanner looks at the raw lines of a head for what net/http does not show. It joins a
// line that begins with a blank to the one before it, although the line may be a field
// whose name is broken; a proxy may reject it (RFC 9112, section 5.2). It drops the
// Transfer-Encoding of a response of HTTP/1.0, whose framing is faulty (section 6.1).
type headScanner struct {
	// column is the number of bytes of the current line so far, without CR, and start holds
	// the first ones.
	column int
	start  [len(encodingField)]byte
	// folded is set after a line that begins with a blank or a tab, encoded after one with
	// a Transfer-Encoding.
	folded, encoded bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// scan reads the next bytes of the head; it ignores what follows the head.
func (s *headScanner) scan(p []byte) {
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
			s.scanByte(b)
		}
	}
}

// scanByte reads the next byte of the current line.
func (s *headScanner) scanByte(b byte) {
	s.folded = s.folded || s.column == 0 && (b == ' ' || b == '\t')
	if s.column < len(s.start) {
		s.start[s.column] = b
	}
	s.column++
	if s.column == len(s.start) {
		s.encoded = s.encoded || strings.EqualFold(string(s.start[:]), encodingField)
	}
}
