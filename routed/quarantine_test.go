package routed

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/workspace"
)

// crashBody is the body of a request that crashes every endpoint that runs it.
const crashBody = "crashes the endpoint"

// crashingEntry has endpoints whose process ends when they receive crashBody.
type crashingEntry struct {
	*testEntry
	mu      sync.Mutex
	crashes int
	// onRequest, if set, is called when an endpoint receives a request.
	onRequest func()
	// failing endpoints answer with an error status instead of a crash.
	failing atomic.Bool
}

func newCrashingEntry(t *testing.T, count int) *crashingEntry {
	m := &crashingEntry{}
	handlers := make([]http.HandlerFunc, count)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Body") != crashBody {
				answerOK(w, r)
				return
			}
			m.crash(i)
			panic(http.ErrAbortHandler)
		}
	}
	m.testEntry = newTestEntry(t, handlers...)
	return m
}

// crash ends the process of an endpoint: its listener and all its connections are closed, and
// it is removed from the table.
func (m *crashingEntry) crash(i int) {
	m.mu.Lock()
	m.crashes++
	m.mu.Unlock()
	backend := m.backends[i]
	_ = backend.Listener.Close()
	go backend.CloseClientConnections()
	m.table.Apply(nil, []string{"e" + string(rune('1'+i))})
}

func (m *crashingEntry) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

// send sends a body under a distinct request id.
func (m *crashingEntry) send(target, body string, id int) *http.Response {
	m.t.Helper()
	response, _, err := m.do(http.MethodPost, target, body, http.Header{"X-Body": {body}, "X-Request-Id": {"r" + strconv.Itoa(id)}})
	if err != nil && err != io.ErrUnexpectedEOF {
		m.t.Fatal(err)
	}
	return response
}

// Guards against sending a request to one endpoint after another although it crashes them.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, target := range []string{"/read/x", "/once/x", "/resumable/x"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			m := newCrashingEntry(t, 12)
			for id := range 10 {
				m.send(target, crashBody, id)
				is.Equal(m.send(target, "another", 100+id).StatusCode, http.StatusOK) // other requests are served throughout
			}
			is.Equal(m.crashCount(), 3) // three crashes suffice as evidence
			refused := m.send(target, crashBody, 1000)
			is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
			is.Equal(refused.Header.Get("Lilackeel-Outcome"), "not-run")
			is.True(refused.Header.Get("Retry-After") != "") // a wrong suspicion expires
		})
	}
}

// Guards against quarantining a request because of crashes that it did not cause.
func TestRequestPresentAtUnrelatedCrashesIsServed(t *testing.T) {
	is := is.New(t)
	const presentAtCrash = "present at crash"
	var m *crashingEntry
	var runs atomic.Int32
	handlers := make([]http.HandlerFunc, 6)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Body") == presentAtCrash && runs.Add(1) <= 2 {
				m.crash(i)
				panic(http.ErrAbortHandler)
			}
			answerOK(w, r)
		}
	}
	m = &crashingEntry{}
	m.testEntry = newTestEntry(t, handlers...)
	is.Equal(m.send("/read/x", presentAtCrash, 1).StatusCode, http.StatusBadGateway)
	is.Equal(m.crashCount(), 2)
	is.Equal(m.send("/read/x", presentAtCrash, 2).StatusCode, http.StatusOK)
	requests, held := m.server.Quarantine.Counts(m.server.clock())
	is.Equal(requests, 1)
	is.Equal(held, 0)
	// Two further crashes are the first two endpoints again.
	runs.Store(0)
	is.Equal(m.send("/read/x", presentAtCrash, 3).StatusCode, http.StatusBadGateway)
	is.Equal(m.send("/read/x", presentAtCrash, 4).StatusCode, http.StatusOK)
}

// countingAdmitter counts admission requests.
type countingAdmitter struct {
	admitAll
	calls atomic.Int32
}

func (a *countingAdmitter) AdmitOnTime(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	a.calls.Add(1)
	return a.admitAll.AdmitOnTime(ctx, pool, r)
}

// Guards against a quarantined request that queues for capacity only to be refused; it must be
// rejected before admission.
func TestQuarantinedRequestIsNotQueued(t *testing.T) {
	is := is.New(t)
	m := newCrashingEntry(t, 6)
	admitter := &countingAdmitter{}
	m.server.Admitter = admitter
	for id := range 2 {
		m.send("/read/x", crashBody, id)
	}
	is.Equal(m.crashCount(), 3)
	before := admitter.calls.Load()
	is.Equal(m.send("/read/x", crashBody, 3).StatusCode, http.StatusServiceUnavailable)
	is.Equal(admitter.calls.Load(), before)
}
