package inbound

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
)

const (
	// lineCost is what a header line occupies beside its bytes once it is parsed and copied to be forwarded,
	// in bytes.
	lineCost = 224
	// headCost is what a request occupies beside its head: its buffers and those of its response.
	headCost = 4 << 10
	// byteCost is how often the bytes of a head are held.
	byteCost = 2
)

// Head is the head of one request.
type Head struct {
	conn   *conn
	charge *memory.Charge
	mixed  bool
	// last is set if the connection must close after the response, as the begin of the next head is not known.
	last bool
}

type headKey struct{}

// HeadOf returns the head of the request with the given context; nil if it did not arrive through a listener
// of this package.
func HeadOf(ctx context.Context) *Head {
	head, _ := ctx.Value(headKey{}).(*Head)
	return head
}

// MixedFraming reports whether the head has both Content-Length and Transfer-Encoding. net/http drops the
// length and does not show it to its handler.
func (h *Head) MixedFraming() bool { return h != nil && h.mixed }

// Assign makes the owner, such as a workspace, accountable for the memory of the head and, in HTTP/1, of its
// connection, until the response has ended. A fault of kind Overloaded means that the requests of this owner occupy
// too much.
func (h *Head) Assign(owner string) error {
	if h == nil {
		return nil
	}
	if err := h.charge.Assign(owner); err != nil || h.conn.http2 {
		return err
	}
	return h.conn.base.Assign(owner)
}

// errBodyClosed is the error of a body whose connection was closed to make room for others.
var errBodyClosed = fault.New(fault.Overloaded, "not run: the connection was closed to make room for others", "retry on a new connection")

// ReadBody calls read, which reads the request's body. Meanwhile, the connection may be closed to make room for
// others; the error is a fault of kind Overloaded then, and the request must not run.
func (h *Head) ReadBody(read func() ([]byte, error)) ([]byte, error) {
	if h == nil {
		return read()
	}
	h.conn.awaitBody(true)
	body, err := read()
	if h.conn.awaitBody(false) {
		return nil, errBodyClosed
	}
	return body, err
}

// MinSize returns the least number of bytes that the head of a request can have had in HTTP/1.
func MinSize(r *http.Request) int64 {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(":\n"))
		}
	}
	return size
}

// parsedCost returns what a parsed head occupies.
func parsedCost(r *http.Request) int64 {
	lines := int64(0)
	for _, values := range r.Header {
		lines += int64(len(values))
	}
	return cost(MinSize(r), lines)
}

// cost returns what a head of so many bytes and lines occupies.
func cost(size, lines int64) int64 { return headCost + byteCost*size + lineCost*lines }

// framing is how the body of a request is delimited.
type framing int

const (
	// lengthFraming delimits the body by its length, which may be zero.
	lengthFraming framing = iota
	// otherFraming is any other. Where the next head begins is not known, so the connection must close.
	otherFraming
	// http2Framing means that the connection continues with HTTP/2 frames.
	http2Framing
)

// headScanner follows the lines of one head without storing it.
type headScanner struct {
	// size and lines count what has been scanned, empty lines before the request included.
	size, lines int64
	// begun is set after the request line.
	begun bool
	// line is the beginning of the current line, and length the length of all of it so far.
	line   [maxKnownLine]byte
	length int
	// hasLength and hasTransferEncoding record the framing headers seen. bodyLength is valid unless
	// badLength is set.
	hasLength, hasTransferEncoding, badLength bool
	bodyLength                                int64
	// lengthLine is set while the previous line is a Content-Length, which another line may continue.
	lengthLine bool
	http2      bool
}

// maxKnownLine is the length up to which lines are interpreted. A length in a longer line is not valid.
const maxKnownLine = 64

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
	prefaceLine          = []byte("PRI * HTTP/2.0")
)

// scan processes the bytes of p up to the end of the head and returns their number. Empty lines before the
// request line, which net/http would refuse, are counted in skip; they are at the beginning of p.
func (s *headScanner) scan(p []byte) (n, skip int, done bool) {
	for n < len(p) && !done {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.add(p[n:])
			s.size += int64(len(p) - n)
			if !s.begun && s.length == 1 && s.line[0] == '\r' {
				skip = len(p)
			}
			return len(p), skip, false
		}
		s.add(p[n : n+end])
		n += end + 1
		s.size += int64(end + 1)
		line, complete := s.takeLine()
		if !s.begun && len(line) == 0 {
			skip = n
			continue
		}
		done = s.endLine(line, complete)
	}
	return n, skip, done
}

func (s *headScanner) add(p []byte) {
	if s.length < maxKnownLine {
		copy(s.line[s.length:], p)
	}
	s.length += len(p)
}

// takeLine returns the current line without its end and starts the next one. It is complete unless it was too
// long to be stored.
func (s *headScanner) takeLine() (line []byte, complete bool) {
	complete = s.length <= maxKnownLine
	line = s.line[:min(s.length, maxKnownLine)]
	s.length = 0
	if complete {
		line = bytes.TrimSuffix(line, []byte("\r"))
	}
	return line, complete
}

// endLine processes a line of the request and reports whether it ends the head.
func (s *headScanner) endLine(line []byte, complete bool) bool {
	if !s.begun {
		s.begun = true
		s.http2 = bytes.Equal(line, prefaceLine)
		return false
	}
	if len(line) == 0 {
		return true
	}
	s.lines++
	if line[0] == ' ' || line[0] == '\t' {
		s.badLength = s.badLength || s.lengthLine
		return false
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	s.lengthLine = found && bytes.EqualFold(name, contentLengthName)
	s.hasTransferEncoding = s.hasTransferEncoding || found && bytes.EqualFold(name, transferEncodingName)
	if s.lengthLine {
		s.addLength(string(bytes.TrimSpace(value)), complete)
	}
	return false
}

func (s *headScanner) addLength(value string, complete bool) {
	length, err := strconv.ParseUint(value, 10, 63)
	repeated := s.hasLength && int64(length) != s.bodyLength
	s.badLength = s.badLength || err != nil || !complete || repeated
	s.hasLength, s.bodyLength = true, int64(length)
}

// framing returns how the body that follows the head is delimited, and its length for lengthFraming.
func (s *headScanner) framing() (framing, int64) {
	switch {
	case s.http2:
		return http2Framing, 0
	case s.hasTransferEncoding || s.badLength:
		return otherFraming, 0
	}
	return lengthFraming, s.bodyLength
}

// reset prepares for the next head.
func (s *headScanner) reset() { *s = headScanner{} }
