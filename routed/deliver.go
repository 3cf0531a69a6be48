package routed

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
)

const (
	// readBufferSize is the size of the buffer for reads of a response body that is not a stream. A
	// caller that reads slowly holds one such buffer.
	readBufferSize = 4 << 10
	// maxRefusalBytes is how much of a refusal's body is read so that its connection can be
	// reused.
	maxRefusalBytes = 16 << 10
	// maxRefusalWait is how long the rest of such a body is waited for: the request is retried
	// elsewhere after that.
	maxRefusalWait = 50 * time.Millisecond
)

// handleResponse evaluates the head of a response and delivers or rejects the response.
func (a *attempt) handleResponse(r *direct.Response) attemptResult {
	s, q := a.server, a.request
	names := s.config.Headers
	if r.Status != http.StatusMisdirectedRequest {
		s.Reach.Succeeded(a.target.ID)
		s.Reach.Received(s.clock(), a.target.ID)
		s.Suspects.Succeeded(s.clock(), a.started, a.target.RunID())
		s.RateLimits.RecordFeedback(&a.target, a.feedback(r))
	}
	if r.Status == http.StatusMisdirectedRequest || names.NotRun != "" && r.Header.Get(names.NotRun) != "" {
		return a.handleRejection(r)
	}
	if impliesNotRun(r.Status) {
		a.recordResult(true)
		return failed(call.MayHaveRun, fault.Newf(fault.Unknown, "retry the request", "the endpoint responded with status %d without proof that it did not run the request", r.Status))
	}
	success := isSuccess(r.Status)
	if success && names.Signature != "" && r.Header.Get(names.Signature) == "" {
		a.recordResult(true)
		return failed(call.MayHaveRun, fault.New(fault.Unknown, "the endpoint's response lacks the signature header", "retry the request"))
	}
	if !success {
		return a.handleErrorResponse(r)
	}
	if isEventStream(r.Header) && q.route.GetKind() == fleetv1.CallKind_CALL_KIND_STREAM {
		return a.deliverStream(r)
	}
	if a.headWritten {
		a.recordResult(true)
		return failed(call.MayHaveRun, fault.New(fault.Unknown, "the endpoint resumed an event stream with another type of response", "retry the request"))
	}
	return a.deliverBuffered(r)
}

// feedback returns what a response says about the requests that its endpoint accepts.
func (a *attempt) feedback(r *direct.Response) ratelimit.Feedback {
	pause, _ := ratelimit.RetryAfter(r.Status, r.Header)
	names := a.server.config.Headers
	return ratelimit.Feedback{
		SentAt: a.started, Rate: r.Header.Get(names.RateLimit), Pause: pause,
		Leaving: names.Leaving != "" && r.Header.Get(names.Leaving) != "", Rejected: impliesNotRun(r.Status),
	}
}

// handleErrorResponse handles an error status sent by the endpoint itself. The response is
// delivered unchanged unless the request is retried.
func (a *attempt) handleErrorResponse(r *direct.Response) attemptResult {
	f := fault.Newf(fault.Unknown, "retry the request", "the endpoint responded with status %d", r.Status)
	if a.headWritten {
		a.recordResult(true)
		return failed(call.MayHaveRun, f)
	}
	decision, retry := a.machine.RetryOnStatus(a.server.clock(), r.Status)
	if !retry {
		return a.deliverBuffered(r)
	}
	a.recordResult(true)
	r.Discard(maxRefusalBytes, maxRefusalWait)
	return attemptResult{fault: f, decision: decision}
}

// handleRejection handles a response that proves that the endpoint ran nothing. After a 421
// the address belongs to another endpoint, so the intended one is marked as replaced.
func (a *attempt) handleRejection(r *direct.Response) attemptResult {
	s := a.server
	r.Discard(maxRefusalBytes, maxRefusalWait)
	a.recordResult(false)
	if r.Status == http.StatusMisdirectedRequest {
		s.Reach.Replaced(a.target.ID)
	}
	f := fault.Newf(fault.Overloaded, "retry after the given time", "the endpoint rejected the request with status %d and did not run it", r.Status)
	if refusal := a.poolRefusal(); refusal != nil {
		f = refusal
	}
	return failed(call.Rejected, f)
}

// poolRefusal returns the fault of a request whose endpoint is paused if no other endpoint of
// the pool accepts requests; nil if one does.
func (a *attempt) poolRefusal() *fault.Error {
	limits := a.server.RateLimits
	if !limits.InPause(a.target.ID) {
		return nil
	}
	if _, err := a.choose(limits.Blocked()); err == nil {
		return nil
	}
	return limits.Refusal(a.request.pool)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}

// readBuffered reads a body until it ends or exceeds the buffer limit. Above memory.SmallBytes it is
// charged to the memory for bodies; whole is false as well if that has no room for more.
func (a *attempt) readBuffered(body io.Reader, charge *memory.Charge) (data []byte, whole bool, err error) {
	limit := int64(a.server.config.MaxBufferedBytes) + 1
	var buffer bytes.Buffer
	for size := min(memory.SmallBytes, limit); ; size = min(2*size, limit) {
		_, err := io.CopyN(&buffer, body, size-int64(buffer.Len()))
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), true, nil
		case err != nil:
			return nil, false, err
		case size == limit || charge.Resize(2*size) != nil:
			return buffer.Bytes(), false, nil
		}
	}
}

// deliverBuffered delivers a response that is not a stream. It is buffered until it is
// complete or exceeds what may be buffered.
func (a *attempt) deliverBuffered(r *direct.Response) attemptResult {
	s := a.server
	charge := s.Bodies.Begin(a.request.callerName())
	defer charge.Release()
	buffered, whole, err := a.readBuffered(r.Body, charge)
	if err != nil {
		a.recordResult(a.callerCtx.Err() == nil)
		return a.interrupted(errIncompleteResponse(err), a.checkProcess())
	}
	if whole && r.Unframed && a.checkProcess() == direct.NotListening {
		a.recordResult(true)
		return a.interrupted(errUnprovenEnd, direct.NotListening)
	}
	a.chunks = 1
	if !whole {
		return a.deliverUnbuffered(r, buffered)
	}
	a.recordResult(r.Status >= http.StatusInternalServerError)
	a.recordCompletion(r.Status)
	copyResponseHeaders(r.Header, a.w.Header())
	if allowsBody(r.Status) && a.request.method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	} else if length := r.Header.Get("Content-Length"); length != "" && a.request.method == http.MethodHead {
		a.w.Header().Set("Content-Length", length)
	}
	a.setWriteDeadline()
	a.w.WriteHeader(r.Status)
	_, err = a.w.Write(buffered)
	return a.deliveryResult(err)
}

// deliverUnbuffered delivers a response that exceeds the buffer limit. If the response is
// truncated, the caller's connection is aborted as well.
func (a *attempt) deliverUnbuffered(r *direct.Response, buffered []byte) attemptResult {
	copyResponseHeaders(r.Header, a.w.Header())
	a.w.WriteHeader(r.Status)
	a.headWritten = true
	chunk := buffered
	buffer := make([]byte, readBufferSize)
	for {
		a.setWriteDeadline()
		if _, err := a.w.Write(chunk); err != nil {
			a.recordResult(false)
			return a.deliveryResult(err)
		}
		n, err := r.Body.Read(buffer)
		chunk = buffer[:n]
		if errors.Is(err, io.EOF) {
			if r.Unframed && a.checkProcess() == direct.NotListening {
				a.recordResult(true)
				return attemptResult{done: true, abort: true, outcome: call.Unknown.String(), fault: errUnprovenEnd}
			}
			a.recordResult(false)
			a.recordCompletion(r.Status)
			_, err = a.w.Write(chunk)
			return a.deliveryResult(err)
		}
		if err != nil {
			a.recordResult(a.callerCtx.Err() == nil)
			a.checkProcess()
			return attemptResult{done: true, abort: true, outcome: call.Unknown.String(), fault: errIncompleteResponse(err)}
		}
	}
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *attempt) deliveryResult(err error) attemptResult {
	if err != nil {
		return attemptResult{done: true, abort: true, outcome: "caller left", fault: fault.New(fault.Unknown, "the response could not be written to the caller", "").WithCause(err)}
	}
	return attemptResult{done: true, outcome: call.Answered.String()}
}

// deliverStream delivers complete events as they arrive. An interrupted stream resumes at
// another endpoint if the route allows it.
func (a *attempt) deliverStream(r *direct.Response) attemptResult {
	s := a.server
	if len(a.tried) > 1 || a.headWritten {
		a.splitter.Resume()
	}
	charge := s.Bodies.Begin(a.request.callerName())
	defer charge.Release()
	a.splitter.SetNumbering(s.numberings.Of(a.request.pool))
	defer func() { s.numberings.Observe(a.request.pool, &a.splitter) }()
	for {
		events, err, splitErr := a.splitter.ReadEvents(r.Body)
		if len(events) > 0 {
			a.recordChunk()
			if writeErr := a.writeEvents(r, events); writeErr != nil {
				a.recordResult(false)
				return a.deliveryResult(writeErr)
			}
		}
		switch {
		case splitErr != nil:
			return a.streamBroken(fault.From(splitErr))
		case a.splitter.Held() > memory.SmallBytes && charge.Resize(int64(a.splitter.Held())) != nil:
			return a.streamBroken(errNoRoomForEvent)
		case errors.Is(err, io.EOF) && a.splitter.Partial():
			return a.streamBroken(errIncompleteResponse(io.ErrUnexpectedEOF))
		case errors.Is(err, io.EOF) && r.Unframed && a.isEmpty():
			return a.streamBroken(errUnprovenEnd)
		case errors.Is(err, io.EOF) && r.Unframed && a.checkProcess() == direct.NotListening:
			return a.streamEnded(errUnprovenEnd, direct.NotListening)
		case errors.Is(err, io.EOF):
			a.recordResult(false)
			a.recordCompletion(r.Status)
			a.recordStreamLength()
			if !a.headWritten {
				a.writeHead(r)
			}
			return attemptResult{done: true, outcome: call.Answered.String()}
		case err != nil:
			return a.streamBroken(errIncompleteResponse(err))
		}
		if s.clock() >= a.request.deadline+responseGrace {
			return a.streamBroken(fault.New(fault.DeadlineTooShort, "the deadline passed", "use a longer deadline"))
		}
	}
}

// isEmpty reports whether a stream from the beginning has had no event.
func (a *attempt) isEmpty() bool {
	_, resumes := a.splitter.LastID()
	return a.chunks == 0 && !a.headWritten && !resumes
}

// recordChunk records the arrival of a chunk of the stream.
func (a *attempt) recordChunk() {
	now := a.server.clock()
	a.chunks++
	a.chunksReceived.Store(int32(a.chunks))
	gap := now - a.lastChunkAt
	switch {
	case a.chunks == 1:
		a.firstChunkAt = now
		a.server.firstChunkTimes.observe(a.request.pool, now-a.started)
		a.server.Loads.FirstToken(now, &a.load)
	default:
		a.observePath(now, gap)
		a.server.groupLimits.observe(poolGroup{a.target.Pool, a.group}, now, gap)
	}
	a.firstChunkReceived.Store(true)
	a.server.Reach.Received(now, a.target.ID)
	a.reportProgress(now, gap)
	if a.timeToFirstChunk == 0 {
		a.timeToFirstChunk = now - a.request.arrived
	} else {
		a.longestGap = max(a.longestGap, gap)
	}
	a.lastChunkAt = now
}

// recordStreamLength records the number of chunks of a complete stream.
func (a *attempt) recordStreamLength() {
	if len(a.tried) == 1 {
		a.server.streamLengths.observe(a.request.pool, a.chunks)
	}
}

// reportProgress reports to the group tracker that the endpoint's group makes progress, and
// the gap between chunks.
func (a *attempt) reportProgress(now, gap time.Duration) {
	if a.chunks == 1 {
		gap = 0
	}
	maxGap := time.Duration(a.request.route.GetGapMs()) * time.Millisecond
	a.server.Groups.Chunk(now, a.group, gap, maxGap)
}

// streamBroken ends an attempt whose stream was interrupted.
func (a *attempt) streamBroken(f *fault.Error) attemptResult {
	return a.streamEnded(f, a.checkProcess())
}

// streamEnded ends an attempt whose stream was interrupted at an endpoint in the given state. If the
// stream cannot be resumed, the caller's connection is aborted.
func (a *attempt) streamEnded(f *fault.Error, state direct.ListenerState) attemptResult {
	callerLeft := a.callerCtx.Err() != nil
	a.recordResult(!callerLeft && !a.rerouted.Load())
	if !a.headWritten {
		return a.interrupted(f, state)
	}
	if callerLeft || !site.Repeatable(a.request.route) {
		return attemptResult{done: true, abort: true, outcome: call.Unknown.String(), fault: f}
	}
	a.server.metrics.resumes.Inc()
	return a.interrupted(f, state)
}

// writeEvents writes events to the caller, preceded by the response head of the first
// endpoint.
func (a *attempt) writeEvents(r *direct.Response, events []byte) error {
	if !a.headWritten {
		a.writeHead(r)
	}
	a.setWriteDeadline()
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *attempt) writeHead(r *direct.Response) {
	copyResponseHeaders(r.Header, a.w.Header())
	a.headWritten = true
	a.w.WriteHeader(r.Status)
}

// errUnprovenEnd ends a response that states no length and may be incomplete: a stream without an
// event, or a response that ended together with the endpoint's process.
var errUnprovenEnd = fault.New(fault.Unknown, "the endpoint closed the connection of a response that states no length and may be incomplete", "retry the request")

// errNoRoomForEvent ends a stream with a long event for which the memory for bodies has no room.
var errNoRoomForEvent = fault.New(fault.Unknown, "the memory for bodies has no room for a long event of the stream", "request shorter events, or retry later")

func errIncompleteResponse(err error) *fault.Error {
	return fault.New(fault.Unknown, "the endpoint's response was truncated", "retry the request").WithCause(err)
}
