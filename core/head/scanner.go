package head

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	errVersion         = errors.New("response is not of HTTP/1")
	errFoldedLine      = errors.New("response head has a line that begins with a blank")
	errEncodingVersion = errors.New("response of HTTP/1.0 has a Transfer-Encoding")
)

// encodingField is the start of a line with a Transfer-Encoding.
const encodingField = "Transfer-Encoding:"

// Scanner looks at the raw lines of the head of a response for what net/http does not show.
// net/http joins a line that begins with a blank to the one before it, although the line may
// be a field whose name is broken; a proxy may reject it (RFC 9112, section 5.2). It drops the
// Transfer-Encoding of a response of HTTP/1.0, whose framing is faulty (section 6.1).
type Scanner struct {
	// column is the number of bytes of the current line so far, without CR, and start holds
	// the first ones.
	column int
	start  [len(encodingField)]byte
	// begun is set after the status line, interim if that is of an interim response.
	begun, interim bool
	// folded is set after a line that begins with a blank or a tab, encoded after one with
	// a Transfer-Encoding.
	folded, encoded bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// Scan reads the next bytes of the head and returns those that follow the head.
func (s *Scanner) Scan(p []byte) (rest []byte) {
	for i, b := range p {
		if s.ended {
			return p[i:]
		}
		switch b {
		case '\n':
			s.endLine()
		case '\r':
		default:
			s.scanByte(b)
		}
	}
	return nil
}

// scanAll reads the next bytes of a response with the interim responses before it. It keeps
// looking for a head after each interim one.
func (s *Scanner) scanAll(p []byte) {
	for rest := s.Scan(p); s.ended && s.interim; rest = s.Scan(rest) {
		*s = Scanner{folded: s.folded}
	}
}

// scanByte reads the next byte of the current line.
func (s *Scanner) scanByte(b byte) {
	s.folded = s.folded || s.column == 0 && (b == ' ' || b == '\t')
	if s.column < len(s.start) {
		s.start[s.column] = b
	}
	s.column++
	if s.column == len(s.start) {
		s.encoded = s.encoded || strings.EqualFold(string(s.start[:]), encodingField)
	}
}

func (s *Scanner) endLine() {
	if !s.begun {
		s.begun = true
		s.interim = isInterim(string(s.start[:min(s.column, len(s.start))]))
	}
	s.ended = s.column == 0
	s.column = 0
}

// isInterim reports whether a line starts the head of an interim response. One that switches
// protocols is not followed by another head.
func isInterim(line string) bool {
	fields := strings.Fields(line)
	return len(fields) > 1 && strings.HasPrefix(fields[1], "1") && fields[1] != "101"
}

// Check returns an error if the response, whose whole head was scanned, is not valid.
func (s *Scanner) Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return errVersion
	case s.folded:
		return errFoldedLine
	case s.encoded && !r.ProtoAtLeast(1, 1):
		return errEncodingVersion
	default:
		return nil
	}
}
