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
	// eventEnd terminates a server-sent event.
	eventEnd = "\n\n"
)

// delivery writes one answer to the caller. After a failed write, everything else is dropped.
type delivery struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	requestID  string
	// started is true once the status has been written, finished once the outcome has been given.
	started, finished bool
	// eventStream is true for server-sent events, atEventBoundary if the last event is complete.
	eventStream, atEventBoundary bool
	err                          error
}

func newDelivery(w http.ResponseWriter, timeout time.Duration, id string) *delivery {
	return &delivery{w: w, controller: http.NewResponseController(w), timeout: timeout, requestID: id, atEventBoundary: true}
}

// start starts an answer that is still incomplete. Its outcome follows in a trailer. The head is
// flushed together with the first chunk of the body.
func (d *delivery) start(head *agentv1.Head) {
	d.copyHeaders(head)
	d.w.Header().Set(headerTrailer, call.HeaderOutcome)
	d.w.Header().Del(headerContentLength)
	d.started = true
	d.w.WriteHeader(int(head.GetStatus()))
}

// writeComplete writes an answer that has been received completely.
func (d *delivery) writeComplete(head *agentv1.Head, chunks [][]byte, v *call.Verdict) {
	d.copyHeaders(head)
	d.w.Header().Set(call.HeaderOutcome, v.Outcome.String())
	if v.Replayed {
		d.w.Header().Set(call.HeaderReplayed, "true")
	}
	if allowsBody(head.GetStatus()) && !d.keepsContentLength(chunks) {
		d.w.Header().Set(headerContentLength, strconv.Itoa(totalSize(chunks)))
	}
	d.started = true
	d.finished = true
	d.extendWriteDeadline()
	d.w.WriteHeader(int(head.GetStatus()))
	d.write(chunks)
}

// keepsContentLength reports whether the endpoint's Content-Length is kept, because the answer to
// a HEAD request has no body.
func (d *delivery) keepsContentLength(chunks [][]byte) bool {
	return len(chunks) == 0 && d.w.Header().Get(headerContentLength) != ""
}

func allowsBody(status int32) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func totalSize(chunks [][]byte) int {
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
	}
	return size
}

// writeChunks writes the next chunks of an answer that has been started.
func (d *delivery) writeChunks(chunks [][]byte) {
	if len(chunks) == 0 || d.err != nil {
		return
	}
	d.extendWriteDeadline()
	d.write(chunks)
	d.flush()
	last := chunks[len(chunks)-1]
	if len(last) > 0 {
		d.atEventBoundary = strings.HasSuffix(string(last[max(0, len(last)-len(eventEnd)):]), eventEnd)
	}
}

// finish reports the outcome of the request to the caller. It returns false if the connection must
// be aborted, so that a truncated answer cannot be mistaken for a complete one.
func (d *delivery) finish(v *call.Verdict) bool {
	if d.finished {
		return d.err == nil
	}
	d.finished = true
	if !d.started {
		d.writeError(v)
		return true
	}
	d.w.Header().Set(call.HeaderOutcome, v.Outcome.String())
	if v.Outcome == call.Answered {
		return d.err == nil
	}
	if d.eventStream && d.atEventBoundary {
		d.writeErrorEvent(v)
	}
	return false
}

// writeErrorEvent signals to the reader of an event stream that it was truncated.
func (d *delivery) writeErrorEvent(v *call.Verdict) {
	text, err := json.Marshal(v.Body(d.requestID))
	if err != nil {
		return
	}
	d.extendWriteDeadline()
	d.write([][]byte{[]byte("event: error\ndata: "), text, []byte(eventEnd)})
	d.flush()
}

// writeError writes a typed error as the complete answer.
func (d *delivery) writeError(v *call.Verdict) {
	d.started = true
	d.extendWriteDeadline()
	d.err = answer.WriteVerdict(d.w, d.requestID, v, answer.WholeSeconds)
	d.flush()
}

func (d *delivery) write(chunks [][]byte) {
	for _, chunk := range chunks {
		if d.err != nil {
			return
		}
		_, d.err = d.w.Write(chunk)
	}
}

func (d *delivery) flush() {
	if d.err == nil {
		d.err = d.controller.Flush()
	}
}

// extendWriteDeadline sets the time by which the caller must have read the next write.
func (d *delivery) extendWriteDeadline() {
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.timeout))
}

func (d *delivery) copyHeaders(head *agentv1.Head) {
	header := d.w.Header()
	for _, h := range head.GetHeaders() {
		if !hopbyhop.Is(h.GetName()) && !isEntryHeader(h.GetName()) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	d.eventStream = strings.HasPrefix(header.Get(headerContentType), "text/event-stream")
}
