package routed

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	partsHeader = "Test-Parts"
	// crashingPart is the part of a prompt that crashes every endpoint that begins to answer it.
	crashingPart = "crash"
)

// splitParts returns the parts in partsHeader.
func splitParts(h http.Header) []string {
	if h.Get(partsHeader) == "" {
		return nil
	}
	return strings.Split(h.Get(partsHeader), ",")
}

// newPartsEntry returns an entry whose endpoints crash when a prompt has the crashing part. Time
// advances by what is added to the returned counter, in addition to real time.
func newPartsEntry(t *testing.T, count int) (*crashingEntry, *atomic.Int64) {
	m := &crashingEntry{}
	handlers := make([]http.HandlerFunc, count)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.Header.Get(partsHeader), crashingPart) {
				answerOK(w, r)
				return
			}
			if m.failing.Load() {
				w.Header().Set(signature, "s")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			m.crash(i)
			panic(http.ErrAbortHandler)
		}
	}
	m.testEntry = newTestEntry(t, handlers...)
	m.server.config.Headers.PromptParts = splitParts
	skipped := new(atomic.Int64)
	clock := m.server.clock
	m.server.clock = func() time.Duration { return clock() + time.Duration(skipped.Load()) }
	return m, skipped
}

// sendParts sends a request with a prompt of these parts and a body of its own.
func (m *crashingEntry) sendParts(target string, id int, parts ...string) *http.Response {
	m.t.Helper()
	name := strconv.Itoa(id)
	response, _, err := m.do(http.MethodPost, target, "body "+name, http.Header{partsHeader: {strings.Join(parts, ",")}, "X-Request-Id": {"r" + name}})
	if err != nil && err != io.ErrUnexpectedEOF {
		m.t.Fatal(err)
	}
	return response
}

// Guards against requests that crash endpoint after endpoint although no two are alike: a part of
// their prompts is the cause, and the other parts and the caller are those of sound requests.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	for _, target := range []string{"/read/x", "/once/x", "/resumable/x"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			m, skipped := newPartsEntry(t, 30)
			is.Equal(m.sendParts(target, 0, "shared", "own 0").StatusCode, http.StatusOK)
			for id := range 10 {
				name := strconv.Itoa(id)
				m.sendParts(target, 100+id, "shared", crashingPart, "own "+name)
				is.Equal(m.sendParts(target, 200+id, "shared", "other "+name).StatusCode, http.StatusOK) // sound requests are served throughout
				skipped.Add(int64(4 * time.Second))
			}
			is.Equal(m.crashCount(), 3) // three crashes suffice as evidence
			refused := m.sendParts(target, 300, crashingPart, "shared", "own")
			is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
			is.Equal(refused.Header.Get("Lilackeel-Outcome"), "not-run")
			is.True(refused.Header.Get("Retry-After") != "")
		})
	}
}

// holdPart makes the server learn from other entries that a part has crashed three endpoints.
func (m *crashingEntry) holdPart(id string) {
	now := m.server.clock()
	part := quarantine.NewParts("pool", "crew", []string{id})[0]
	var reports []quarantine.CrashReport
	for i := range 3 {
		reports = append(reports, quarantine.CrashReport{Request: part.Fingerprint, Run: uint64(i + 1), At: now - time.Duration(i)*5*time.Second})
	}
	m.server.Quarantine.Merge(now, reports)
}

// holdingAdmitter calls hold while a request queues.
type holdingAdmitter struct {
	admitAll
	hold func()
}

func (a holdingAdmitter) AdmitOnTime(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	a.hold()
	return a.admitAll.AdmitOnTime(ctx, pool, r)
}

// holdingLimits calls hold right before a request is sent.
type holdingLimits struct {
	unlimited
	hold func()
}

func (l holdingLimits) InPause(string) bool {
	l.hold()
	return false
}

// Guards against sending a request whose part is held by the time it would leave: while it queues,
// while its connection is established, and before its second attempt.
func TestRequestIsCheckedUntilItIsSent(t *testing.T) {
	for _, c := range []struct {
		name     string
		received int
		setUp    func(*crashingEntry, func())
	}{
		{"queued", 0, func(m *crashingEntry, hold func()) { m.server.Admitter = holdingAdmitter{hold: hold} }},
		{"connecting", 0, func(m *crashingEntry, hold func()) { m.server.RateLimits = holdingLimits{hold: hold} }},
		{"second attempt", 1, func(m *crashingEntry, hold func()) { m.onRequest = hold }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &crashingEntry{}
			reject := func(w http.ResponseWriter, _ *http.Request) {
				if m.onRequest != nil {
					m.onRequest()
				}
				w.Header().Set(DefaultHeaders.NotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			m.testEntry = newTestEntry(t, reject, reject)
			m.server.config.Headers.PromptParts = splitParts
			c.setUp(m, func() { m.holdPart(crashingPart) })
			refused := m.sendParts("/read/x", 1, "shared", crashingPart, "own")
			is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
			is.Equal(refused.Header.Get("Lilackeel-Outcome"), "not-run") // no endpoint has run it
			m.mu.Lock()
			defer m.mu.Unlock()
			is.Equal(len(m.received), c.received)
		})
	}
}

// Guards against part lists that evade or disturb the quarantine: thousands of parts, the same part
// twice, and none.
func TestUnusualPartLists(t *testing.T) {
	is := is.New(t)
	long := func(id int) []string {
		ids := make([]string, 0, 4000)
		for i := range 3999 {
			ids = append(ids, strconv.Itoa(id*10000+i))
		}
		return append(ids, crashingPart)
	}
	for name, list := range map[string]func(int) []string{
		"long": long, "twice": func(id int) []string { return []string{crashingPart, crashingPart, strconv.Itoa(id)} },
	} {
		m, skipped := newPartsEntry(t, 30)
		m.server.config.MaxHeaderBytes = 1 << 20
		for id := range 8 {
			m.sendParts("/read/x", id, list(id)...)
			is.Equal(m.sendParts("/read/x", 100+id, "shared", strconv.Itoa(id)).StatusCode, http.StatusOK)
			is.Equal(m.sendParts("/read/x", 200+id).StatusCode, http.StatusOK) // no parts
			skipped.Add(int64(4 * time.Second))
		}
		t.Log(name, m.crashCount())
		is.Equal(m.crashCount(), 3)
		known, _ := m.server.Quarantine.Parts().Counts(m.server.clock())
		is.True(known <= 3*33)
	}
}

// Guards against taking the end of a response that states no length for proof that it is complete,
// and that the request did not crash the endpoint, when the process ended with it. A stream that
// ends between two events is complete otherwise, one that ends inside an event never is.
func TestResponseWithoutLength(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	plain := "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nConnection: close\r\n\r\n"
	for _, c := range []struct {
		name, target, response string
		crash                  bool
		complete               bool
	}{
		{"body", "/once/x", plain + "whole", false, true},
		{"body, process ended", "/once/x", plain + "who", true, false},
		{"stream", "/stream/x", stream + formatEvents(1, 3), false, true},
		{"stream, inside an event", "/stream/x", stream + formatEvents(1, 3) + "id: 4\ndata", false, false},
		{"stream, process ended", "/stream/x", stream + formatEvents(1, 3), true, false},
		{"stream, no event", "/stream/x", stream, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &crashingEntry{}
			m.testEntry = newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				if c.crash {
					_ = m.backends[0].Listener.Close()
				}
				_, _ = io.WriteString(conn, c.response)
				_ = conn.Close()
			})
			m.server.config.Headers.PromptParts = splitParts
			response, body, err := m.do(http.MethodPost, c.target, "", http.Header{partsHeader: {"shared,own"}})
			is.Equal(err == nil && response.StatusCode == http.StatusOK, c.complete)
			if c.complete {
				is.True(strings.HasSuffix(c.response, "\r\n\r\n"+body))
			}
			known, _ := m.server.Quarantine.Parts().Counts(m.server.clock())
			is.Equal(known > 0, c.crash) // the parts are suspects only where the process ended
		})
	}
}

// Guards against clearing a crashing part because an endpoint answered a request with it with an
// error status, which does not show that it began to answer the prompt.
func TestErrorStatusIsNoProofForParts(t *testing.T) {
	is := is.New(t)
	m, skipped := newPartsEntry(t, 12)
	crash := func(id int) {
		m.sendParts("/once/x", id, crashingPart, strconv.Itoa(id))
		skipped.Add(int64(4 * time.Second))
	}
	crash(1)
	crash(2)
	m.failing.Store(true)
	is.Equal(m.sendParts("/once/x", 3, crashingPart, "3").StatusCode, http.StatusInternalServerError)
	m.failing.Store(false)
	crash(4)
	is.Equal(m.sendParts("/once/x", 5, crashingPart, "5").StatusCode, http.StatusServiceUnavailable)
	is.Equal(m.crashCount(), 3)
}

// Guards against blaming the parts of a stream that was interrupted while its endpoint's process
// lived on, as at the other ranks of a group of which one has crashed.
func TestInterruptedStreamProvesItsParts(t *testing.T) {
	is := is.New(t)
	m := &crashingEntry{}
	m.testEntry = newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(signature, "s")
		writeEvents(w, 1, 2)
		panic(http.ErrAbortHandler)
	})
	m.server.config.Headers.PromptParts = splitParts
	m.sendParts("/stream/x", 1, "shared", "own")
	is.True(m.server.Quarantine.Parts().Proven(quarantine.NewParts("pool", "crew", []string{"shared", "another"})))
}

// Guards against a crash without a record because the host did not answer the first check.
func TestSecondCheckRecordsACrash(t *testing.T) {
	is := is.New(t)
	m, _ := newPartsEntry(t, 2)
	ended := func(id string) *processEnd {
		e, _ := m.table.Get(id)
		return &processEnd{request: &request{parts: quarantine.NewParts("pool", "crew", []string{id, "own"})}, endpoint: e}
	}
	m.server.recheckProcess(ended("e1"))
	known, _ := m.server.Quarantine.Parts().Counts(0)
	is.Equal(known, 0) // the process listens
	crashed := ended("e1")
	m.crash(0)
	m.server.recheckProcess(crashed)
	known, _ = m.server.Quarantine.Parts().Counts(0)
	is.Equal(known, 2)
}
