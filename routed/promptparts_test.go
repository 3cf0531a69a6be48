package routed

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	partsHeader = "Test-Parts"
	// crashingPart is the part of a prompt that crashes every endpoint that begins to answer it.
	crashingPart = "crash"
)

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
			m.crash(i)
			panic(http.ErrAbortHandler)
		}
	}
	m.testEntry = newTestEntry(t, handlers...)
	m.server.config.Headers.PromptParts = func(h http.Header) []string {
		if h.Get(partsHeader) == "" {
			return nil
		}
		return strings.Split(h.Get(partsHeader), ",")
	}
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
