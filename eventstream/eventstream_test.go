package eventstream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func events(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id)
	}
	return text
}

// TestResumeHasNoGapOrDuplicate interrupts a stream at every byte and resumes it at the next
// event and at up to two earlier ones.
func TestResumeHasNoGapOrDuplicate(t *testing.T) {
	whole := events(1, 6)
	for cut := range len(whole) + 1 {
		for back := range 3 {
			is := is.New(t)
			var s Splitter
			out, err := s.Add([]byte(whole[:cut]))
			is.NoErr(err)
			got := string(out)
			last, _ := s.LastID()
			s.Resume()
			out, err = s.Add([]byte(events(max(1, int(last)+1-back), 6)))
			is.NoErr(err)
			is.Equal(got+string(out), whole) // interrupted and resumed
		}
	}
}

func TestAnyPartitionYieldsSameEvents(t *testing.T) {
	is := is.New(t)
	whole := events(1, 40)
	rng := rand.New(rand.NewPCG(1, 2))
	var s Splitter
	got := ""
	for rest := whole; rest != ""; {
		n := min(1+rng.IntN(30), len(rest))
		out, err := s.Add([]byte(rest[:n]))
		is.NoErr(err)
		got += string(out)
		rest = rest[n:]
	}
	is.Equal(got, whole)
	is.True(!s.Partial())
}

// TestReadEventsYieldsSameEvents guards against bytes that are lost or repeated when a stream is read
// into the splitter's own buffer, with events shorter and longer than it.
func TestReadEventsYieldsSameEvents(t *testing.T) {
	is := is.New(t)
	whole := events(1, 40) + "id: 41\ndata: " + strings.Repeat("x", 3*bufferSize) + "\n\n" + events(42, 60)
	for _, reader := range []io.Reader{
		strings.NewReader(whole), iotest.OneByteReader(strings.NewReader(whole)), iotest.HalfReader(strings.NewReader(whole)),
		iotest.DataErrReader(strings.NewReader(whole)),
	} {
		var s Splitter
		got, readErr := "", error(nil)
		for readErr == nil {
			var out []byte
			var err error
			out, readErr, err = s.ReadEvents(reader)
			is.NoErr(err)
			got += string(out)
		}
		is.Equal(readErr, io.EOF)
		is.Equal(got, whole)
		is.True(!s.Partial())
	}
}

func TestMissingEventAfterResumeIsAnError(t *testing.T) {
	is := is.New(t)
	var s Splitter
	_, err := s.Add([]byte(events(1, 3)))
	is.NoErr(err)
	s.Resume()
	out, err := s.Add([]byte(events(5, 6)))
	is.True(err != nil)
	is.Equal(len(out), 0)
}

func TestDuplicateEventWithinAttemptIsAnError(t *testing.T) {
	is := is.New(t)
	var s Splitter
	_, err := s.Add([]byte(events(1, 3) + events(3, 4)))
	is.True(err != nil)
}

func TestStartAfter(t *testing.T) {
	is := is.New(t)
	var s Splitter
	s.StartAfter(12)
	out, err := s.Add([]byte(events(13, 14) + "id: 15\ndata"))
	is.NoErr(err)
	is.Equal(string(out), events(13, 14))
	is.True(s.Partial())
	last, ok := s.LastID()
	is.True(ok)
	is.Equal(last, int64(14))
}

// unevenEvents returns events that are numbered by the tokens up to their end.
func unevenEvents(ids ...int) string {
	text := ""
	for _, id := range ids {
		text += fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id)
	}
	return text
}

// TestUnevenIDs guards against a whole stream that is cut because its ids do not increase by one step,
// and against a missing event that is not found where they do.
func TestUnevenIDs(t *testing.T) {
	for _, c := range []struct {
		name      string
		numbering Numbering
		attempts  []string
		whole     bool
	}{
		{"uneven from the first steps on", Unknown, []string{unevenEvents(4, 8, 11, 15, 17, 40)}, true},
		{"uneven source", Uneven, []string{unevenEvents(4, 8, 12, 16, 17)}, true},
		{"uneven source, resumed", Uneven, []string{unevenEvents(4, 8, 12), unevenEvents(13, 17)}, true},
		{"another endpoint numbers alike", Unknown, []string{unevenEvents(4, 8, 12, 13), unevenEvents(13, 17)}, true},
		{"even source", Even, []string{unevenEvents(1, 2, 4)}, false},
		{"even stream", Unknown, []string{unevenEvents(1, 2, 3, 5)}, false},
		{"even stream, resumed", Unknown, []string{unevenEvents(1, 2, 3), unevenEvents(5)}, false},
		{"another endpoint has the missing event", Unknown, []string{unevenEvents(1, 2, 3, 5), unevenEvents(4, 5)}, true},
		{"decreasing", Uneven, []string{unevenEvents(4, 8, 7)}, false},
		{"repeated", Uneven, []string{unevenEvents(4, 8, 8)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Splitter
			s.SetNumbering(c.numbering)
			var err error
			for i, attempt := range c.attempts {
				if i > 0 {
					s.Resume()
				}
				_, err = s.Add([]byte(attempt))
			}
			is.Equal(err == nil, c.whole)
		})
	}
}

// TestNumberingIsLearned guards against sources that never count as uneven, so that their streams are
// cut for ever, and against a faulty source, some of whose streams lack events, that does.
func TestNumberingIsLearned(t *testing.T) {
	is := is.New(t)
	var n Numberings
	read := func(source, text string) error {
		var s Splitter
		s.SetNumbering(n.Of(source))
		_, err := s.Add([]byte(text))
		n.Observe(source, &s)
		return err
	}
	cut := 0
	for range 40 {
		if read("uneven", unevenEvents(4, 8, 12, 13, 17)) != nil {
			cut++
		}
	}
	is.True(cut <= minStreams)
	is.Equal(n.Of("uneven"), Uneven)
	for i := range 200 {
		text := events(1, 6)
		if i%10 == 0 {
			text = unevenEvents(1, 2, 3, 5, 6) // one in ten lacks an event
		}
		is.Equal(read("faulty", text) != nil, i%10 == 0)
	}
	is.Equal(n.Of("faulty"), Even)
	is.Equal(n.Of("other"), Unknown)
	is.NoErr(read("short", events(1, 2)))
	_, known := n.sources["short"]
	is.True(!known)
}

// TestPartialEventIsScannedOnce guards against an event without an end that is scanned again with each
// of its bytes: an endpoint that sends single bytes would occupy the processor.
func TestPartialEventIsScannedOnce(t *testing.T) {
	is := is.New(t)
	var s Splitter
	for _, text := range []string{"data: part", "s\r", "\nid: 7", "\r\n", "data: x\n"} {
		_, err := s.Add([]byte(text))
		is.NoErr(err)
		unscanned := string(s.buffer[s.scanned:])
		is.True(len(unscanned) <= len("\n\r"))
	}
	out, err := s.Add([]byte("\n"))
	is.NoErr(err)
	is.Equal(string(out), "data: parts\r\nid: 7\r\ndata: x\n\n")
	is.Equal(s.scanned, 0)
}

func TestEventSizeIsBounded(t *testing.T) {
	is := is.New(t)
	var s Splitter
	_, err := s.Add(make([]byte, MaxEventBytes+1))
	is.True(err != nil)
}
