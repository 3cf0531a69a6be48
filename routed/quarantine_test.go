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

// ending is the body of a request that ends each endpoint which begins to run it.
const ending = "ends what runs it"

// mortals are endpoints whose process ends under the body ending.
type mortals struct {
	*bed
	mu    sync.Mutex
	ended int
}

func newMortals(t *testing.T, count int) *mortals {
	m := &mortals{}
	handlers := make([]http.HandlerFunc, count)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Body") != ending {
				answerOK(w, r)
				return
			}
			m.end(i)
			panic(http.ErrAbortHandler)
		}
	}
	m.bed = newBed(t, handlers...)
	return m
}

// end ends the process of an endpoint: nothing listens there any more, all of its
// connections are closed, and it leaves the table.
func (m *mortals) end(i int) {
	m.mu.Lock()
	m.ended++
	m.mu.Unlock()
	back := m.backs[i]
	_ = back.Listener.Close()
	go back.CloseClientConnections()
	m.table.Apply(nil, []string{"e" + string(rune('1'+i))})
}

func (m *mortals) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// send asks with a body under an id of its own.
func (m *mortals) send(target, body string, id int) *http.Response {
	m.t.Helper()
	response, _, err := m.ask(http.MethodPost, target, body, http.Header{"X-Body": {body}, "X-Request-Id": {"r" + strconv.Itoa(id)}})
	if err != nil && err != io.ErrUnexpectedEOF {
		m.t.Fatal(err)
	}
	return response
}

// Guards against a request that is sent to endpoint after endpoint although those that ran it ended.
func TestARequestThatEndsItsEndpointsIsKeptFromThem(t *testing.T) {
	for _, target := range []string{"/read/x", "/once/x", "/resumable/x"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			m := newMortals(t, 12)
			for id := range 10 {
				m.send(target, ending, id)
				is.Equal(m.send(target, "another", 100+id).StatusCode, http.StatusOK) // others are served all the while
			}
			is.Equal(m.count(), 3) // three ends are proof
			refused := m.send(target, ending, 1000)
			is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
			is.Equal(refused.Header.Get("Lilackeel-Outcome"), "not-run")
			is.True(refused.Header.Get("Retry-After") != "") // a mistaken suspicion ends
		})
	}
}

// Guards against a request that is held for crashes that it did not cause.
func TestARequestThatMetOtherEndsIsServed(t *testing.T) {
	is := is.New(t)
	const unlucky = "was there"
	var m *mortals
	var runs atomic.Int32
	handlers := make([]http.HandlerFunc, 6)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Body") == unlucky && runs.Add(1) <= 2 {
				m.end(i)
				panic(http.ErrAbortHandler)
			}
			answerOK(w, r)
		}
	}
	m = &mortals{}
	m.bed = newBed(t, handlers...)
	is.Equal(m.send("/read/x", unlucky, 1).StatusCode, http.StatusBadGateway)
	is.Equal(m.count(), 2)
	is.Equal(m.send("/read/x", unlucky, 2).StatusCode, http.StatusOK)
	requests, held := m.server.Quarantine.Len(m.server.clock())
	is.Equal(requests, 1)
	is.Equal(held, 0)
	// Two further ends are the first two again.
	runs.Store(0)
	is.Equal(m.send("/read/x", unlucky, 3).StatusCode, http.StatusBadGateway)
	is.Equal(m.send("/read/x", unlucky, 4).StatusCode, http.StatusOK)
}

// countingAdmitter counts who asks for a place.
type countingAdmitter struct {
	open
	asked atomic.Int32
}

func (a *countingAdmitter) AdmitTo(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	a.asked.Add(1)
	return a.open.AdmitTo(ctx, pool, r)
}

// Guards against a held request that waits for a place, which others need, only to be refused:
// the check at admission.
func TestAHeldRequestAsksForNoPlace(t *testing.T) {
	is := is.New(t)
	m := newMortals(t, 6)
	admitter := &countingAdmitter{}
	m.server.Admitter = admitter
	for id := range 2 {
		m.send("/read/x", ending, id)
	}
	is.Equal(m.count(), 3)
	before := admitter.asked.Load()
	is.Equal(m.send("/read/x", ending, 3).StatusCode, http.StatusServiceUnavailable)
	is.Equal(admitter.asked.Load(), before)
}
