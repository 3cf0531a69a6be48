package inbound

import "encoding/binary"

const (
	frameHeaderSize = 9
	// clientPrefaceRest is what follows the first head of the client's connection preface.
	clientPrefaceRest = len("SM\r\n\r\n")
	// Types and flags of HTTP/2 frames (RFC 9113, section 6).
	frameHeaders      = 0x1
	frameContinuation = 0x9
	flagEndHeaders    = 0x4
	// fieldByteCost is what a byte of a header block can occupy once it is decoded: an indexed field has one
	// byte.
	fieldByteCost = 128
)

// frameScanner follows the frames of an HTTP/2 connection.
type frameScanner struct {
	header [frameHeaderSize]byte
	read   int
	// payload is what remains of the current frame, or of the connection preface.
	payload int
	// block is the size of the header block that is being read; zero between blocks.
	block int64
}

// scan processes p and returns the number of header blocks that ended in it.
func (s *frameScanner) scan(p []byte) (ended int) {
	for len(p) > 0 {
		if s.payload > 0 {
			n := min(s.payload, len(p))
			s.payload -= n
			p = p[n:]
			if s.payload == 0 {
				ended += s.endFrame()
			}
			continue
		}
		n := copy(s.header[s.read:], p)
		s.read += n
		p = p[n:]
		if s.read == frameHeaderSize {
			s.read = 0
			ended += s.beginFrame()
		}
	}
	return ended
}

// beginFrame processes a frame's header. A header block is counted before it is read.
func (s *frameScanner) beginFrame() (ended int) {
	s.payload = int(binary.BigEndian.Uint32(s.header[:4]) >> 8)
	if s.inHeaderBlock() {
		s.block += int64(s.payload) + 1
	}
	if s.payload == 0 {
		return s.endFrame()
	}
	return 0
}

func (s *frameScanner) endFrame() (ended int) {
	if s.inHeaderBlock() && s.header[4]&flagEndHeaders != 0 {
		s.block = 0
		return 1
	}
	return 0
}

func (s *frameScanner) inHeaderBlock() bool {
	return s.header[3] == frameHeaders || s.header[3] == frameContinuation
}
