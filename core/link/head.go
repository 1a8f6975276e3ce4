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
)

// readHead reads the head of the next response, final or interim, and checks it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.readingHead = true
	c.headLinesLeft = maxHeadLines
	c.scanner = head.Scanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.scanner.Scan(buffered)
	resp, err := http.ReadResponse(c.reader, req)
	c.readingHead = false
	if err != nil {
		return nil, err
	}
	if err := c.scanner.Check(resp); err != nil {
		return nil, err
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
	r.c.scanner.Scan(p[:n])
	r.c.headBytesLeft -= int64(n)
	r.c.headLinesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
