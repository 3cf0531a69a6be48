// Package eventstream splits a stream of server-sent events into complete events, so that an
// interrupted stream can be resumed after its last complete event.
//
// A Splitter consumes the bytes of one attempt after another. It emits only complete events,
// and only those that follow the last emitted one: a resumed attempt may repeat events but
// must not skip any.
package eventstream

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"github.com/lilackeel/lilackeel/fault"
)

// MaxEventBytes is the maximum size of one event; a larger event is an error.
const MaxEventBytes = 1 << 20

const (
	// bufferSize is the initial size of a splitter's buffer in bytes.
	bufferSize = 4 << 10
	// minReadSize is the least number of bytes for which ReadEvents makes room.
	minReadSize = 512
)

// Splitter splits the bytes of a stream into complete events. The zero value is ready for a
// stream from its beginning.
type Splitter struct {
	// buffer contains the events that the last call returned and, from the offset partial,
	// the bytes after the last complete event of the attempt.
	buffer  []byte
	partial int
	// scanned is how many bytes from partial on are known not to contain the end of an event.
	scanned int
	// lastID is the id of the last emitted event; it is valid if hasLastID is true.
	lastID    int64
	hasLastID bool
	// idStep is the difference between the first two ids; zero until two have been seen.
	// evenSteps is how many differences in a row from the first one on were equal to it, and
	// uneven is true once one was not.
	idStep    int64
	evenSteps int
	uneven    bool
	numbering Numbering
	// rejected is the id of the event after which events seemed to be missing.
	rejected int64
	// resumed is true until the first new event of a resumed attempt.
	resumed bool
}

// SetNumbering sets what is known of the ids of the stream's source. It is Unknown by default.
func (s *Splitter) SetNumbering(n Numbering) { s.numbering = n }

// Uneven reports whether the ids have increased unevenly; known is false for a stream with too few
// events.
func (s *Splitter) Uneven() (uneven, known bool) {
	return s.uneven, s.uneven || s.evenSteps >= minKnownSteps
}

// StartAfter records that the caller has received the stream up to the event with this id.
func (s *Splitter) StartAfter(id int64) { s.lastID, s.hasLastID, s.resumed = id, true, true }

// LastID returns the id of the last emitted event; ok is false if no event with an id has been
// emitted.
func (s *Splitter) LastID() (id int64, ok bool) { return s.lastID, s.hasLastID }

// Partial reports whether the data of the attempt so far ends within an event.
func (s *Splitter) Partial() bool { return len(bytes.TrimSpace(s.buffer[s.partial:])) > 0 }

// Held returns how many bytes the splitter holds.
func (s *Splitter) Held() int { return cap(s.buffer) }

// Resume starts another attempt, which continues after the last emitted event.
func (s *Splitter) Resume() {
	s.buffer, s.partial, s.scanned = s.buffer[:0], 0, 0
	s.resumed = true
}

// Add consumes the next bytes of the attempt and returns the complete events that are new.
// They are valid until the next call. An error means that the attempt does not continue the
// stream where it was interrupted.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	s.removeReturned()
	s.buffer = append(s.buffer, data...)
	return s.split()
}

// ReadEvents is Add for the bytes of one call of Read, which it reads into the buffer of the
// splitter. readErr is the error of that call, which may come together with events.
func (s *Splitter) ReadEvents(r io.Reader) (events []byte, readErr, err error) {
	s.removeReturned()
	size := len(s.buffer)
	if size == 0 {
		s.buffer = slices.Grow(s.buffer, bufferSize)
	}
	s.buffer = slices.Grow(s.buffer, minReadSize)
	n, readErr := r.Read(s.buffer[size:cap(s.buffer)])
	s.buffer = s.buffer[:size+n]
	events, err = s.split()
	return events, readErr, err
}

// removeReturned removes the events that the last call returned from the buffer.
func (s *Splitter) removeReturned() {
	if s.partial == 0 {
		return
	}
	s.buffer = append(s.buffer[:0], s.buffer[s.partial:]...)
	s.partial = 0
}

// split returns the complete events in the buffer that are new.
func (s *Splitter) split() ([]byte, error) {
	emitted := 0
	for {
		end, scanned := eventLength(s.buffer[s.partial:], s.scanned)
		s.scanned = scanned
		if end < 0 {
			break
		}
		event := s.buffer[s.partial : s.partial+end]
		s.partial += end
		fresh, err := s.admit(event)
		if err != nil {
			return s.buffer[:emitted], err
		}
		if fresh {
			emitted += copy(s.buffer[emitted:], event)
		}
	}
	if len(s.buffer)-s.partial > MaxEventBytes {
		return s.buffer[:emitted], fault.Newf(fault.Unknown, "request shorter events", "an event exceeds %d bytes", MaxEventBytes)
	}
	return s.buffer[:emitted], nil
}

// admit reports whether an event is new to the caller, and records its id. An error means that
// events are missing or repeated.
func (s *Splitter) admit(event []byte) (fresh bool, err error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	if !s.hasLastID {
		s.lastID, s.hasLastID = id, true
		s.resumed = false
		return true, nil
	}
	if id <= s.lastID {
		if s.resumed {
			return false, nil
		}
		return false, fault.Newf(fault.Unknown, "retry the request", "event %d received after event %d", id, s.lastID)
	}
	if err := s.checkStep(id); err != nil {
		return false, err
	}
	s.lastID = id
	s.resumed = false
	return true, nil
}

// checkStep compares the step from the last id to this one with the steps before it. Another step
// means that events are missing, unless the ids increase unevenly.
func (s *Splitter) checkStep(id int64) error {
	step := id - s.lastID
	switch {
	case s.idStep == 0:
		s.idStep = step
	case step != s.idStep && s.resumed && id == s.rejected:
		s.uneven = true // another endpoint numbers its next event alike, so none is missing
	case step != s.idStep && s.evenSteps >= s.numbering.minEvenSteps():
		s.uneven, s.rejected = true, id
		return fault.Newf(fault.Unknown, "retry the request", "received event %d, expected %d", id, s.lastID+s.idStep)
	case step != s.idStep:
		s.uneven = true
	}
	if !s.uneven {
		s.evenSteps++
	}
	return nil
}

// eventLength returns the length of the first complete event, including the empty line that
// terminates it; -1 if there is none. Its end is looked for from the offset from on. scanned is that
// offset for the next call, when more data has been appended; zero after a complete event.
func eventLength(data []byte, from int) (length, scanned int) {
	for {
		at := bytes.IndexByte(data[from:], '\n')
		if at < 0 {
			return -1, len(data)
		}
		after := from + at + 1
		switch rest := data[after:]; {
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			return -1, after - 1 // the empty line may follow
		case rest[0] == '\n':
			return after + 1, 0
		case rest[0] == '\r' && rest[1] == '\n':
			return after + 2, 0
		}
		from = after
	}
}

var idField = []byte("id:")

// eventID returns the id of an event, if it has a numeric one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
