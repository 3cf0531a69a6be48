package routed

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
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

// TestARequestThatEndsItsEndpointsIsKeptFromThem sends the same request ten times, each under
// an id of its own, to a pool of which it ends whatever endpoint begins to run it.
//
// Seen on a site of 16 engines: a request under which three engines had ended was sent to
// engines five times more, and eight ended. Each end stops the lock-step group, so that
// nearly everything else was refused for as long as the request came back.
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
