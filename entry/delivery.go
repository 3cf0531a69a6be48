package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/agent/hopbyhop"
	"github.com/lilackeel/lilackeel/answer"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
)

const (
	headerTrailer = "Trailer"
	// eventEnd ends a server-sent event.
	eventEnd = "\n\n"
)

// delivery writes one answer to the caller. A failed write is remembered, and
// everything after it is dropped.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	id      string
	// opened is true once the status has been written, final once the verdict
	// has been given.
	opened, final bool
	// events is true for server-sent events; atBoundary, after a whole one.
	events, atBoundary bool
	err                error
}

func newDelivery(w http.ResponseWriter, timeout time.Duration, id string) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), timeout: timeout, id: id, atBoundary: true}
}

// open starts an answer whose end has not come yet. Its outcome follows in a
// trailer. The head leaves with the first part of the body.
func (d *delivery) open(head *agentv1.Head) {
	d.copyHeaders(head)
	d.w.Header().Set(headerTrailer, call.HeaderOutcome)
	d.w.Header().Del(headerContentLength)
	d.opened = true
	d.w.WriteHeader(int(head.GetStatus()))
}

// whole writes an answer that has come to its end.
func (d *delivery) whole(head *agentv1.Head, parts [][]byte, v *call.Verdict) {
	d.copyHeaders(head)
	d.w.Header().Set(call.HeaderOutcome, v.Outcome.String())
	if v.Replayed {
		d.w.Header().Set(call.HeaderReplayed, "true")
	}
	if allowsBody(head.GetStatus()) && !d.headOnly(parts) {
		d.w.Header().Set(headerContentLength, strconv.Itoa(sizeOf(parts)))
	}
	d.opened = true
	d.final = true
	d.limit()
	d.w.WriteHeader(int(head.GetStatus()))
	d.write(parts)
}

// headOnly reports whether the endpoint's own Content-Length has to stand,
// since the answer to HEAD has no body.
func (d *delivery) headOnly(parts [][]byte) bool {
	return len(parts) == 0 && d.w.Header().Get(headerContentLength) != ""
}

func allowsBody(status int32) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func sizeOf(parts [][]byte) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// send writes the next parts of an answer that was opened.
func (d *delivery) send(parts [][]byte) {
	if len(parts) == 0 || d.err != nil {
		return
	}
	d.limit()
	d.write(parts)
	d.flush()
	last := parts[len(parts)-1]
	if len(last) > 0 {
		d.atBoundary = strings.HasSuffix(string(last[max(0, len(last)-len(eventEnd)):]), eventEnd)
	}
}

// end gives the verdict on the request. It returns false when the connection
// must be aborted, so that a part cannot be taken for the whole.
func (d *delivery) end(v *call.Verdict) bool {
	if d.final {
		return d.err == nil
	}
	d.final = true
	if !d.opened {
		d.refuse(v)
		return true
	}
	d.w.Header().Set(call.HeaderOutcome, v.Outcome.String())
	if v.Outcome == call.Answered {
		return d.err == nil
	}
	if d.events && d.atBoundary {
		d.errorEvent(v)
	}
	return false
}

// errorEvent signals to the reader of a stream that it was cut.
func (d *delivery) errorEvent(v *call.Verdict) {
	text, err := json.Marshal(v.Body(d.id))
	if err != nil {
		return
	}
	d.limit()
	d.write([][]byte{[]byte("event: error\ndata: "), text, []byte(eventEnd)})
	d.flush()
}

// refuse writes a typed error as the whole answer.
func (d *delivery) refuse(v *call.Verdict) {
	d.opened = true
	d.limit()
	d.err = answer.WriteVerdict(d.w, d.id, v, answer.WholeSeconds)
	d.flush()
}

func (d *delivery) write(parts [][]byte) {
	for _, part := range parts {
		if d.err != nil {
			return
		}
		_, d.err = d.w.Write(part)
	}
}

func (d *delivery) flush() {
	if d.err == nil {
		d.err = d.control.Flush()
	}
}

// limit bounds the time that the caller takes for what is written next.
func (d *delivery) limit() {
	_ = d.control.SetWriteDeadline(time.Now().Add(d.timeout))
}

func (d *delivery) copyHeaders(head *agentv1.Head) {
	header := d.w.Header()
	for _, h := range head.GetHeaders() {
		if !hopbyhop.Is(h.GetName()) && !isOwnHeader(h.GetName()) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	d.events = strings.HasPrefix(header.Get(headerContentType), "text/event-stream")
}
