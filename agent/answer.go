package agent

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/gate"
)

const (
	// chunkSize is the size of the read buffer, and so the largest part passed on at once, in bytes.
	chunkSize = 16 << 10
	// tailSize is enough for the terminal event and the line breaks around it, in bytes.
	tailSize = 32
	// eventStream is the media type of server-sent events.
	eventStream = "text/event-stream"
)

// terminalEvents are the forms of the terminal event of an OpenAI-compatible stream, with and
// without the optional space.
var terminalEvents = [][]byte{[]byte("data: [DONE]"), []byte("data:[DONE]")}

// Errors for an incomplete answer.
var (
	errNoFraming  = errors.New("the endpoint closed the connection, and its answer has neither a length nor chunked encoding")
	errNoTerminal = errors.New("the endpoint's event stream ended without its terminal event")
)

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// answer reads an endpoint's answer and checks that it is complete.
type answer struct {
	response *http.Response
	// framed is set if the end of the body can be told from a lost connection.
	framed bool
	// needsTerminal is set if the body must end with a terminal event.
	needsTerminal bool
	// tail is the last part of the body, at most tailSize bytes.
	tail   []byte
	offset uint64
	record *recording
}

func newAnswer(e Endpoint, response *http.Response, offset uint64) *answer {
	a := &answer{response: response, offset: offset}
	a.framed = response.ContentLength >= 0 || response.Body == http.NoBody ||
		len(response.TransferEncoding) > 0 || response.ProtoMajor > 1
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	a.needsTerminal = e.Kind == KindEngine && response.StatusCode == http.StatusOK && media == eventStream
	return a
}

// copyTo calls pass for each part of the body, in order, with its offset. It returns nil only if
// the answer is complete. A part is only valid until pass returns.
func (a *answer) copyTo(pass func(offset uint64, part []byte) error) error {
	buffer := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(buffer)
	for {
		n, err := a.response.Body.Read(buffer[:])
		if n > 0 {
			part := buffer[:n]
			a.track(part)
			if passErr := pass(a.offset, part); passErr != nil {
				return passErr
			}
			a.offset += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			return a.judge()
		}
		if err != nil {
			return err
		}
	}
}

func (a *answer) track(part []byte) {
	a.record.add(part)
	if !a.needsTerminal {
		return
	}
	if len(part) >= tailSize {
		a.tail = append(a.tail[:0], part[len(part)-tailSize:]...)
		return
	}
	a.tail = append(a.tail, part...)
	if excess := len(a.tail) - tailSize; excess > 0 {
		a.tail = append(a.tail[:0], a.tail[excess:]...)
	}
}

// judge returns an error if the answer is incomplete. It is called at the end of the body.
func (a *answer) judge() error {
	if !a.framed {
		return errNoFraming
	}
	if a.needsTerminal && !endsTerminal(a.tail) {
		return errNoTerminal
	}
	return nil
}

func endsTerminal(tail []byte) bool {
	trimmed := bytes.TrimRight(tail, "\r\n")
	for _, event := range terminalEvents {
		before, found := bytes.CutSuffix(trimmed, event)
		if found && (len(before) == 0 || before[len(before)-1] == '\n') {
			return true
		}
	}
	return false
}

// resumedAt reports whether the engine confirms that the answer continues at the offset.
func (a *answer) resumedAt(offset uint64) bool {
	return a.response.Header.Get(engineapi.HeaderResumeOffset) == strconv.FormatUint(offset, 10)
}

// recording collects the answer to a claimed call. A body of more than gate.AnswerLimit bytes is dropped
// and the answer marked as truncated. A nil recording collects nothing.
type recording struct {
	answer controlv1.Answer
}

func newRecording(status int, headers []*controlv1.Header) *recording {
	return &recording{answer: controlv1.Answer{Status: int32(status), Headers: headers}}
}

func (r *recording) add(part []byte) {
	if r == nil || r.answer.GetTruncated() {
		return
	}
	if len(r.answer.GetBody())+len(part) > gate.AnswerLimit {
		r.answer.Truncated = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, part...)
}

func (r *recording) message() *controlv1.Answer {
	if r == nil {
		return nil
	}
	return &r.answer
}
