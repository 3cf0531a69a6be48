package routed

import (
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
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/site"
)

const (
	// readBytes is the most that is read of an answer at once.
	readBytes = 16 << 10
	// maxRefusalBytes is how much of a refusal's body is read so that its
	// connection can be kept.
	maxRefusalBytes = 16 << 10
)

// answered takes the head of an answer and decides what to make of it.
func (a *attempt) answered(r *direct.Response) attemptResult {
	s, q := a.server, a.request
	names := s.config.Headers
	if r.Status != http.StatusMisdirectedRequest {
		s.Reach.Succeeded(a.target.ID)
		s.Reach.Received(s.clock(), a.target.ID)
		s.Suspects.Succeeded(s.clock(), a.started, a.target.RunID())
		s.RateLimits.RecordAnswer(&a.target, a.feedback(r))
	}
	if r.Status == http.StatusMisdirectedRequest || names.NotRun != "" && r.Header.Get(names.NotRun) != "" {
		return a.rejected(r)
	}
	if isPromise(r.Status) {
		a.done(true)
		return failed(call.Ran, fault.Newf(fault.Unknown, "ask again", "the endpoint answered %d without proof that it ran nothing", r.Status))
	}
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	if success && names.Signature != "" && r.Header.Get(names.Signature) == "" {
		a.done(true)
		return failed(call.Ran, fault.New(fault.Unknown, "the endpoint's answer lacks its signature", "ask again"))
	}
	if !success {
		return a.failure(r)
	}
	if isEventStream(r.Header) && q.route.GetKind() == fleetv1.CallKind_CALL_KIND_STREAM {
		return a.stream(r)
	}
	if a.opened {
		a.done(true)
		return failed(call.Ran, fault.New(fault.Unknown, "the endpoint resumed a stream with something else", "ask again"))
	}
	return a.whole(r)
}

// feedback is what an answer says of the requests that its endpoint takes.
func (a *attempt) feedback(r *direct.Response) ratelimit.Feedback {
	pause, _ := ratelimit.RetryAfter(r.Status, r.Header)
	names := a.server.config.Headers
	return ratelimit.Feedback{
		Sent: a.started, Rate: r.Header.Get(names.RateLimit), Pause: pause,
		Leaving: names.Leaving != "" && r.Header.Get(names.Leaving) != "", Rejected: isPromise(r.Status),
	}
}

// failure takes an endpoint's own word that it failed, which is delivered as it
// is, unless another attempt may do better.
func (a *attempt) failure(r *direct.Response) attemptResult {
	f := fault.Newf(fault.Unknown, "ask again", "the endpoint answered with status %d", r.Status)
	if a.opened {
		a.done(true)
		return failed(call.Ran, f)
	}
	step, replaced := a.machine.ReplaceAnswer(a.server.clock(), r.Status)
	if !replaced {
		return a.whole(r)
	}
	a.done(true)
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRefusalBytes))
	return attemptResult{fault: f, step: step}
}

// rejected takes an answer that proves that the endpoint ran nothing. One that is
// not the endpoint meant is gone.
func (a *attempt) rejected(r *direct.Response) attemptResult {
	s := a.server
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRefusalBytes))
	a.done(false)
	if r.Status == http.StatusMisdirectedRequest {
		s.Reach.Replaced(a.target.ID)
	}
	f := fault.Newf(fault.Overloaded, "ask again after the time given", "the endpoint ran nothing and answered %d", r.Status)
	if refusal := a.poolRefusal(); refusal != nil {
		f = refusal
	}
	return failed(call.Rejected, f)
}

// poolRefusal is the fault of a request for which no endpoint is left until one takes requests
// again; nil while there is another.
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

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}

// whole delivers an answer that is not a stream. It is held back until it is
// whole, or too long to be held.
func (a *attempt) whole(r *direct.Response) attemptResult {
	s := a.server
	held, err := io.ReadAll(io.LimitReader(r.Body, int64(s.config.MaxBufferedBytes)+1))
	if err != nil {
		a.done(a.caller.Err() == nil)
		a.noteEnded()
		return failed(call.Ran, errCut(err))
	}
	a.parts = 1
	if len(held) > s.config.MaxBufferedBytes {
		return a.long(r, held)
	}
	a.done(r.Status >= http.StatusInternalServerError)
	a.noteCompleted()
	deliverable(r.Header, a.w.Header())
	if allowsBody(r.Status) && a.request.method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	} else if length := r.Header.Get("Content-Length"); length != "" && a.request.method == http.MethodHead {
		a.w.Header().Set("Content-Length", length)
	}
	a.limit()
	a.w.WriteHeader(r.Status)
	_, err = a.w.Write(held)
	return a.delivered(err)
}

// long delivers an answer too long to be held back. If it is cut, so is the
// caller's connection.
func (a *attempt) long(r *direct.Response, held []byte) attemptResult {
	deliverable(r.Header, a.w.Header())
	a.w.WriteHeader(r.Status)
	a.opened = true
	part := held
	for {
		a.limit()
		if _, err := a.w.Write(part); err != nil {
			a.done(false)
			return a.delivered(err)
		}
		buffer := make([]byte, readBytes)
		n, err := r.Body.Read(buffer)
		part = buffer[:n]
		if errors.Is(err, io.EOF) {
			a.done(false)
			a.noteCompleted()
			_, err = a.w.Write(part)
			return a.delivered(err)
		}
		if err != nil {
			a.done(a.caller.Err() == nil)
			a.noteEnded()
			return attemptResult{done: true, abort: true, outcome: call.Unknown.String(), fault: errCut(err)}
		}
	}
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *attempt) delivered(err error) attemptResult {
	if err != nil {
		return attemptResult{done: true, abort: true, outcome: "caller left", fault: fault.New(fault.Unknown, "the caller did not take the answer", "").WithCause(err)}
	}
	return attemptResult{done: true, outcome: call.Answered.String()}
}

// stream delivers whole events as they come. A stream that breaks off goes on at
// another endpoint if the route allows it.
func (a *attempt) stream(r *direct.Response) attemptResult {
	s := a.server
	if len(a.tried) > 1 || a.opened {
		a.events.Resume()
	}
	buffer := make([]byte, readBytes)
	for {
		n, err := r.Body.Read(buffer)
		events, broken := a.events.Add(buffer[:n])
		if len(events) > 0 {
			a.part()
			if write := a.send(r, events); write != nil {
				a.done(false)
				return a.delivered(write)
			}
		}
		switch {
		case broken != nil:
			return a.broken(fault.From(broken))
		case errors.Is(err, io.EOF) && a.events.Partial():
			return a.broken(errCut(io.ErrUnexpectedEOF))
		case errors.Is(err, io.EOF):
			a.done(false)
			a.noteCompleted()
			a.noteLength()
			if !a.opened {
				a.open(r)
			}
			return attemptResult{done: true, outcome: call.Answered.String()}
		case err != nil:
			return a.broken(errCut(err))
		}
		if s.clock() >= a.request.deadline+answerGrace {
			return a.broken(fault.New(fault.DeadlineTooShort, "the deadline passed", "allow more time"))
		}
	}
}

// part notes a part of a stream.
func (a *attempt) part() {
	now := a.server.clock()
	a.parts++
	a.come.Store(int32(a.parts))
	pause := now - a.latest
	switch {
	case a.parts == 1:
		a.began = now
		a.server.firsts.observe(a.request.pool, now-a.started)
		a.server.Loads.FirstToken(now, &a.load)
	default:
		a.observePath(now, pause)
		a.server.throttle.observe(poolGroup{a.target.Pool, a.group}, now, pause)
	}
	a.begun.Store(true)
	a.server.Reach.Received(now, a.target.ID)
	a.hear(now, pause)
	if a.first == 0 {
		a.first = now - a.request.arrived
	} else {
		a.longest = max(a.longest, pause)
	}
	a.latest = now
}

// noteLength takes in how many parts a whole stream had.
func (a *attempt) noteLength() {
	if len(a.tried) == 1 {
		a.server.lengths.observe(a.request.pool, a.parts)
	}
}

// hear tells that the endpoint's group runs, and how it keeps the pace.
func (a *attempt) hear(now, pause time.Duration) {
	if a.parts == 1 {
		pause = 0
	}
	longest := time.Duration(a.request.route.GetGapMs()) * time.Millisecond
	a.server.Groups.Chunk(now, a.group, pause, longest)
}

// broken ends an attempt whose stream broke off. What cannot be gone on with is
// cut.
func (a *attempt) broken(f *fault.Error) attemptResult {
	left := a.caller.Err() != nil
	a.done(!left && !a.moved.Load())
	a.noteEnded()
	if !a.opened {
		return a.cut(f)
	}
	if left || !site.Repeatable(a.request.route) {
		return attemptResult{done: true, abort: true, outcome: call.Unknown.String(), fault: f}
	}
	a.server.metrics.resumes.Inc()
	return a.cut(f)
}

// send writes events, after the head of the first endpoint's answer.
func (a *attempt) send(r *direct.Response, events []byte) error {
	if !a.opened {
		a.open(r)
	}
	a.limit()
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *attempt) open(r *direct.Response) {
	deliverable(r.Header, a.w.Header())
	a.opened = true
	a.w.WriteHeader(r.Status)
}

func errCut(err error) *fault.Error {
	return fault.New(fault.Unknown, "the endpoint's answer was cut", "ask again").WithCause(err)
}
