// Package eventstream cuts a stream of server-sent events into whole events, so
// that a stream that breaks off can be gone on with after its last whole event.
//
// A Splitter takes the bytes of one attempt after another. It hands out only
// whole events, and of those only the ones that follow the last event handed
// out: a resumed attempt may repeat events, but must not leave one out.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/lilackeel/lilackeel/fault"
)

// MaxEventBytes bounds one event; a longer one ends the stream.
const MaxEventBytes = 1 << 20

// Splitter cuts the bytes of a stream into whole events. The zero Splitter is
// ready for a stream from its start.
type Splitter struct {
	// partial are the bytes after the last whole event of the attempt.
	partial []byte
	// last is the id of the last event handed out; known is false before one.
	last  int64
	known bool
	// step is the distance between the last two ids, zero before two were seen.
	step int64
	// resumed is true until the first new event of a resumed attempt.
	resumed bool
}

// From states that the caller has the stream up to the event with this id.
func (s *Splitter) StartAfter(id int64) { s.last, s.known, s.resumed = id, true, true }

// Last returns the id of the last event handed out; ok is false if there was
// none, or it carried no id.
func (s *Splitter) LastID() (id int64, ok bool) { return s.last, s.known }

// Partial reports whether the attempt has ended within an event.
func (s *Splitter) Partial() bool { return len(bytes.TrimSpace(s.partial)) > 0 }

// Resume starts another attempt, which goes on after the last event.
func (s *Splitter) Resume() {
	s.partial = s.partial[:0]
	s.resumed = true
}

// Add takes the next bytes of the attempt and returns the whole events that are
// new, which stay valid until the next call. An error means that the attempt
// does not go on where the stream stands.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	s.partial = append(s.partial, data...)
	var out []byte
	rest := s.partial
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		fresh, err := s.admit(event)
		if err != nil {
			return out, err
		}
		if fresh {
			out = append(out, event...)
		}
	}
	s.partial = append(s.partial[:0], rest...)
	if len(s.partial) > MaxEventBytes {
		return out, fault.Newf(fault.Unknown, "ask for shorter events", "an event is longer than %d bytes", MaxEventBytes)
	}
	return out, nil
}

// admit reports whether an event is new to the caller.
func (s *Splitter) admit(event []byte) (fresh bool, err error) {
	id, ok := idOf(event)
	if !ok {
		return true, nil
	}
	if !s.known {
		s.last, s.known = id, true
		s.resumed = false
		return true, nil
	}
	if id <= s.last {
		if s.resumed {
			return false, nil
		}
		return false, fault.Newf(fault.Unknown, "ask again", "event %d came after event %d", id, s.last)
	}
	if s.step > 0 && id-s.last != s.step {
		return false, fault.Newf(fault.Unknown, "ask again", "event %d came where %d was due", id, s.last+s.step)
	}
	s.step = id - s.last
	s.last = id
	s.resumed = false
	return true, nil
}

// eventEnd returns the length of the first whole event, with the empty line that
// ends it; -1 if there is none.
func eventEnd(data []byte) int {
	from := 0
	for {
		at := bytes.IndexByte(data[from:], '\n')
		if at < 0 {
			return -1
		}
		after := from + at + 1
		rest := data[after:]
		if len(rest) > 0 && rest[0] == '\n' {
			return after + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return after + 2
		}
		from = after
	}
}

var idField = []byte("id:")

// idOf returns the id of an event, if it has one that is a number.
func idOf(event []byte) (int64, bool) {
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
