package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin"
)

// rawResponse answers every request by writing the text to the hijacked connection and closing it.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString(text)
		_ = buffer.Flush()
		_ = connection.Close()
	}
}

// Guards against a truncated answer that is delivered as complete, for each way in which an answer can
// be truncated, and against a complete answer that is reported as broken.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	proof.Cell{
		Promise: proof.ResponseIntegrity, Faults: []proof.Fault{proof.LostMessages}, Step: "the endpoint's connection is cut in its answer, in seven ways",
		Guard: "answer.judge, endsTerminal and the read error in answer.copyTo, each alone",
	}.Log(t)
	is := is.New(t)
	const sse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	engine := standin.NewEngine(standin.EngineConfig{Slots: 4})
	s := newFixture(t, map[string]http.Handler{
		"engine":             engine,
		"engine-no-length":   rawResponse("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}"),
		"engine-no-terminal": rawResponse(sse + "9\r\ndata: x\n\n\r\n0\r\n\r\n"),
		"engine-quoted":      rawResponse(sse + "18\r\ndata: say data: [DONE]\n\n\r\n0\r\n\r\n"),
		"engine-terminal":    rawResponse(sse + "9\r\ndata: x\n\n\r\n8\r\ndata: [D\r\n7\r\nONE]\r\n\n\r\n0\r\n\r\n"),
		"engine-short":       rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"),
		"engine-silent":      rawResponse(""),
	})
	for _, stream := range []bool{true, false} {
		engine.SetFaults(standin.Faults{})
		got := s.dispatch(completion(stream, "8"))
		is.True(got.broken == nil)
		is.Equal(got.end.GetLength(), uint64(len(got.body)))
		engine.SetFaults(standin.Faults{AbortAfterBytes: len(got.body) - 1})
		cut := s.dispatch(completion(stream, "8"))
		is.True(cut.end == nil && cut.broken.GetMayHaveRun())
		is.Equal(len(cut.body), len(got.body)-1)
	}
	for id, whole := range map[string]bool{
		"engine-no-length": false, "engine-no-terminal": false, "engine-quoted": false,
		"engine-short": false, "engine-silent": false, "engine-terminal": true,
	} {
		d := completion(true, "1")
		d.Endpoint = id
		got := s.dispatch(d)
		t.Log(id, got.broken, got.end)
		is.Equal(got.end != nil, whole)
		is.Equal(got.broken.GetMayHaveRun(), !whole)
	}
}

// TestResetWhileRequestIsWritten guards against a truncated answer that is delivered as complete because
// its connection was reset while the call was being written, and against a complete answer that is
// reported as broken because its endpoint had not read the whole call.
func TestResetWhileRequestIsWritten(t *testing.T) {
	is := is.New(t)
	const (
		plain    = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\n"
		sse      = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n"
		terminal = "data: [DONE]\n\n"
	)
	handlers := map[string]http.Handler{
		"service-no-length-reset": standin.RespondEarly(plain+"\r\n{}", true),
		"service-length-cut":      standin.RespondEarly(plain+"Content-Length: 3\r\n\r\n{}", true),
		"service-length-whole":    standin.RespondEarly(plain+"Content-Length: 2\r\n\r\n{}", false),
		"engine-no-length-reset":  standin.RespondEarly(sse+"\r\n"+terminal, true),
		"engine-chunks-cut":       standin.RespondEarly(sse+"Transfer-Encoding: chunked\r\n\r\ne\r\n"+terminal+"\r\n", true),
		"engine-chunks-whole":     standin.RespondEarly(sse+"Transfer-Encoding: chunked\r\n\r\ne\r\n"+terminal+"\r\n0\r\n\r\n", false),
	}
	s := newFixture(t, handlers)
	for id := range handlers {
		d := completion(strings.HasPrefix(id, KindEngine), "1")
		d.Endpoint, d.Body = id, make([]byte, 8<<20)
		got := s.dispatch(d)
		whole := strings.HasSuffix(id, "whole")
		t.Log(id, got.broken, got.end)
		is.NoErr(got.err)
		is.Equal(got.end != nil, whole)
		is.Equal(got.broken.GetMayHaveRun(), !whole)
	}
}

// Guards against an interrupted stream that is resumed with a gap or an overlap, that is run again by an
// engine that no longer knows it, or that counts as resumed by an engine that cannot resume.
func TestInterruptedStreamResumes(t *testing.T) {
	proof.Cell{
		Promise: proof.ResponseIntegrity, Faults: []proof.Fault{proof.LostMessages}, Step: "a stream cut at the engine is resumed through the agent",
		Guard: "answer.resumedAt, the 404 of a forgotten stream, and streamIDs, each alone",
	}.Log(t)
	is := is.New(t)
	engine := standin.NewEngine(standin.EngineConfig{Slots: 4})
	s := newFixture(t, map[string]http.Handler{"engine": engine, "engine-other": standin.NewEngine(standin.EngineConfig{}),
		"engine-plain": rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")})
	engine.SetFaults(standin.Faults{AbortAfterBytes: 150})
	cut := s.dispatch(completion(true, "8"))
	is.True(cut.broken != nil)
	engine.SetFaults(standin.Faults{})
	resume := completion(true, "8")
	resume.Attempt, resume.ResumeOffset = 2, uint64(len(cut.body))
	rest := s.dispatch(resume)
	whole := append(cut.body, rest.body...)
	is.Equal(rest.end.GetLength(), uint64(len(whole)))
	is.True(bytes.HasSuffix(whole, []byte("data: [DONE]\n\n")))
	is.Equal(bytes.Count(whole, []byte("data: ")), 9) // eight tokens and the terminal event
	runs, _ := engine.Counts()
	is.Equal(runs, 1)

	resume.Endpoint = "engine-other"
	got := s.dispatch(resume)
	is.Equal(got.refusedKind(), fault.NotFound)
	resume.Endpoint = "engine-plain"
	got = s.dispatch(resume)
	is.True(got.broken.GetMayHaveRun() && got.head == nil)
}

// Guards against a planned stop that truncates one of 200 open streams, accepts new calls, leaves the
// agent ready or is not announced.
func TestPlannedStopCompletesOpenStreams(t *testing.T) {
	proof.Cell{
		Promise: proof.GracefulShutdown, Faults: []proof.Fault{proof.Restart, proof.StalledRank}, Step: "an agent with 200 streams open at an engine that stands still",
		Guard: "lockedGate.stop and the wait for work in flight, each alone", Combined: true,
	}.Log(t)
	is := is.New(t)
	const open = 200
	engine := standin.NewEngine(standin.EngineConfig{Slots: open, TokenTime: time.Millisecond})
	s := newFixture(t, map[string]http.Handler{"engine": engine})
	engine.SetFaults(standin.Faults{Stall: true})
	replies := make(chan reply, open)
	for i := range open {
		go func() {
			d := completion(true, "20")
			d.RequestId = fmt.Sprint(i)
			replies <- s.dispatch(d)
		}()
	}
	s.waitUntil("all streams are in flight", func() bool { return s.daemon.lockedGate.inFlight() == open })
	s.stop()
	s.waitUntil("the stop is announced", func() bool { return s.replica.last().GetStopping() })
	ready, _ := s.daemon.Ready().Get()
	is.True(!ready)
	late := s.dispatch(completion(true, "20"))
	is.Equal(late.refusedKind(), fault.Leaving)
	engine.SetFaults(standin.Faults{})
	for range open {
		got := <-replies
		is.NoErr(got.err)
		is.Equal(got.end.GetLength(), uint64(len(got.body)))
	}
	is.NoErr(<-s.stopped)
	is.Equal(s.replica.last().GetDrained(), []string{"engine"})
	is.True(slices.ContainsFunc(s.replica.announced, func(a *controlv1.AnnounceRequest) bool { return a.GetStopping() && a.GetFull() }))
}

// Guards against a planned stop that waits longer than the stop limit, or that reports a call which it
// ended as complete.
func TestStopLimitBoundsDrain(t *testing.T) {
	is := is.New(t)
	engine := standin.NewEngine(standin.EngineConfig{})
	s := newFixture(t, map[string]http.Handler{"engine": engine})
	engine.SetFaults(standin.Faults{Stall: true})
	s.daemon.settings.StopLimit = time.Millisecond
	replies := make(chan reply)
	go func() { replies <- s.dispatch(completion(true, "1")) }()
	s.waitUntil("the call is in flight", func() bool { return s.daemon.lockedGate.inFlight() == 1 })
	s.stop()
	is.NoErr(<-s.stopped)
	got := <-replies
	is.True(got.end == nil)
}

// Guards against an engine that continues a call without a claim after its caller has disconnected.
func TestCallerDisconnectCancelsEngineCall(t *testing.T) {
	is := is.New(t)
	engine := standin.NewEngine(standin.EngineConfig{Slots: 1, TokenTime: time.Millisecond})
	s := newFixture(t, map[string]http.Handler{"engine": engine})
	ctx, disconnect := context.WithCancel(t.Context())
	got := s.dispatchContext(ctx, completion(true, "5000"), func(r *agentv1.DispatchResponse) {
		if r.GetChunk() != nil {
			disconnect()
		}
	})
	is.True(errors.Is(got.err, context.Canceled))
	s.waitUntil("the engine sees the disconnect", func() bool { _, gone := engine.Counts(); return gone == 1 })
	s.waitUntil("nothing is in flight", func() bool { return s.daemon.lockedGate.inFlight() == 0 })
}

// Guards against an agent that buffers without limit the answer of an endpoint that writes faster than
// its caller reads, and against a call that goes on after the caller has disconnected.
func TestSlowReaderAppliesBackpressure(t *testing.T) {
	is := is.New(t)
	const answerSize, bound, piece = 256 << 20, 64 << 20, 64 << 10
	var written atomic.Int64
	ended := make(chan struct{})
	s := newFixture(t, map[string]http.Handler{"service": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for written.Load() < answerSize {
			n, err := w.Write(make([]byte, piece))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})})
	ctx, disconnect := context.WithCancel(t.Context())
	d := &agentv1.DispatchRequest{Endpoint: "service", Method: http.MethodGet, Path: "/", Incarnation: s.daemon.lockedGate.incarnation()}
	must(s.client.Dispatch(ctx, d))
	const stallSamples = 100 // consecutive samples without progress
	for last, unchanged := int64(0), 0; unchanged < stallSamples; time.Sleep(time.Millisecond) {
		current := written.Load()
		unchanged++
		if current != last || current == 0 {
			last, unchanged = current, 0
		}
	}
	is.True(written.Load() < bound)
	disconnect()
	<-ended
	is.True(written.Load() < bound)
	s.waitUntil("nothing is in flight", func() bool { return s.daemon.lockedGate.inFlight() == 0 })
}
