package routed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/site"
)

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s1")
		w.Header()["X-Twice"] = []string{"1", "2"}
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "{}")
	})
	response, text, err := b.do(http.MethodPost, "/once/a%2Fb//c?x=1;2", "body", http.Header{
		"X-Other": {"a", "b"}, "Lilackeel-Workspace": {"forged"}, "Lilackeel-Deadline-Ms": {"900"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
	})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusCreated)
	is.Equal(text, "{}")
	is.Equal(response.Header["X-Twice"], []string{"1", "2"})
	_, hasType := response.Header["Content-Type"]
	is.True(!hasType) // no type is detected
	seen := b.requests()[0]
	is.Equal(seen.RequestURI, "/once/a%2Fb//c?x=1;2")
	is.Equal(seen.Host, "crew.example")
	is.Equal(b.bodies[0], "body")
	is.Equal(seen.Header["X-Other"], []string{"a", "b"})
	is.Equal(seen.Header.Get("Lilackeel-Workspace"), "crew")
	is.Equal(seen.Header.Get("Lilackeel-Endpoint"), "e1")
	is.Equal(seen.Header.Get("Authorization"), "")
	is.Equal(seen.Header.Get("X-Hop"), "")
	left, err := strconv.Atoi(seen.Header.Get("Lilackeel-Deadline-Ms"))
	is.NoErr(err)
	is.True(left > 0 && left <= 900) // the remaining time
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	for target, want := range map[string]int{"/nowhere/x": 404, "/once": 404} {
		got, _, _ := post(t, b, target, nil)
		is.Equal(got, want)
	}
	got, _, _ := post(t, b, "/once/x", http.Header{"Authorization": {"Bearer other"}})
	is.Equal(got, 401)
	got, _, _ = post(t, b, "/once/x", http.Header{"Authorization": nil})
	is.Equal(got, 401)
	got, _, _ = post(t, b, "/once/x", http.Header{"X-Long": {strings.Repeat("x", 5<<10)}})
	is.Equal(got, 431)
	response, _, err := b.do(http.MethodPost, "/once/x", strings.Repeat("x", 2<<10), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 413)
	is.Equal(len(b.requests()), 0)
	got, _, _ = post(t, b, "/public/x", http.Header{"Authorization": nil})
	is.Equal(got, 200)
}

func TestEntryWithoutSiteAnswersUnavailable(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	b.server.Publish(site.NewTable(nil))
	got, response, _ := post(t, b, "/once/x", http.Header{"Authorization": {"Bearer other"}})
	is.Equal(got, 503) // not 401 or 404
	is.Equal(response.Header.Get("Retry-After"), "1")
}

// TestRetriesDependOnCallKind covers each result of a first attempt for each kind of call; the
// second endpoint would respond successfully.
func TestRetriesDependOnCallKind(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Kill, proof.LostMessages}, Step: "endpoint lost, failing or doubtful while a call runs",
		Guard: "only a call that was never sent, or is proved not to have run, is sent again"}.Log(t)
	for _, c := range []struct {
		name, path  string
		first       http.HandlerFunc
		want, calls int
	}{
		{"once, connection aborted", "/once/x", abortConnection, 502, 1},
		{"once, failed", "/once/x", failWithSignature, 500, 1},
		{"once, not run", "/once/x", rejectNotRun, 200, 2},
		{"once, 503 without proof", "/once/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 502, 1},
		{"once, no signature", "/once/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "?") }, 502, 1},
		{"read, connection aborted", "/read/x", abortConnection, 200, 2},
		{"read, failed", "/read/x", failWithSignature, 200, 2},
		{"read, no signature", "/read/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "?") }, 200, 2},
		{"stream, aborted before its head", "/stream/x", abortConnection, 502, 1},
		{"resumable, aborted before its head", "/resumable/x", abortConnection, 200, 2},
		{"read, address of another endpoint", "/read/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					c.first(w, r)
					return
				}
				answerOK(w, r)
			}
			b := newTestEntry(t, handler, handler)
			got, response, _ := post(t, b, c.path, nil)
			is.Equal(got, c.want)
			is.Equal(int(calls.Load()), c.calls)
			if got == http.StatusBadGateway {
				is.Equal(response.Header.Get(call.HeaderOutcome), "unknown")
				is.Equal(response.Header.Get(signature), "")
			}
		})
	}
}

func TestLastErrorResponseIsDeliveredUnchanged(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, failWithSignature, failWithSignature)
	got, response, text := post(t, b, "/read/x", nil)
	is.Equal(got, 500)
	is.Equal(response.Header.Get(signature), "s2")
	is.Equal(text, "broken")
	is.Equal(len(b.requests()), 2)
}

func TestRefusalHasOutcomeAndRetryAfter(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, rejectNotRun, rejectNotRun)
	got, response, _ := post(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.Equal(response.Header.Get(call.HeaderOutcome), "not-run")
	b.table.Apply(nil, []string{"e1", "e2"})
	got, _, _ = post(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.Equal(len(b.requests()), 2)
}

// writeEvents writes the events from first to last.
func writeEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(signature, "s"+strconv.Itoa(first))
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", id, id)
		w.(http.Flusher).Flush()
	}
}

func formatEvents(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id)
	}
	return text
}

func TestBrokenStreamResumesAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	calls := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			writeEvents(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda") // a truncated event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 6)
	}
	b := newTestEntry(t, handler, handler)
	response, text, err := b.do(http.MethodPost, "/resumable/x", "body", nil)
	is.NoErr(err)
	is.Equal(text, formatEvents(1, 6))
	is.Equal(response.Header.Get(signature), "s1") // of the first endpoint
	is.Equal(b.requests()[1].Header.Get("Last-Event-Id"), "3")
	is.Equal(b.bodies[1], "body")
}

func TestLastEventIDOfCallerIsForwarded(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 14)
	})
	_, text, err := b.do(http.MethodPost, "/resumable/x", "", http.Header{"Last-Event-Id": {"12"}})
	is.NoErr(err)
	is.Equal(text, formatEvents(13, 14))
}

// Guards against a truncated stream that looks complete: the caller's connection must be
// aborted as well.
func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		is := is.New(t)
		cut := func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			writeEvents(w, last+1, last+2)
			panic(http.ErrAbortHandler)
		}
		b := newTestEntry(t, cut, cut)
		_, text, err := b.do(http.MethodPost, path, "", nil)
		is.True(err != nil)
		is.True(strings.HasPrefix(formatEvents(1, 4), text)) // complete events, in order, none twice
	}
}

func TestTruncatedLongResponseIsAborted(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s1")
		_, _ = w.Write(make([]byte, 64<<10))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	_, _, err := b.do(http.MethodGet, "/read/x", "", nil)
	is.True(err != nil)
}

func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	start := time.Now()
	got, response, _ := post(t, b, "/short/x", nil)
	is.Equal(got, 504) // the request may have run
	is.Equal(response.Header.Get(call.HeaderOutcome), "unknown")
	is.True(time.Since(start) < 600*time.Millisecond)
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	b := newTestEntry(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.frontend.URL+"/read/x", nil)
	is.NoErr(err)
	r.Host = "crew.example"
	r.Header.Set("Authorization", "Bearer "+testKey)
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not cancelled at the endpoint")
	}
}

// Guards against request smuggling: a hop that uses Content-Length sees one request, a hop
// that uses the chunks sees two.
func TestRequestSmugglingIsRejected(t *testing.T) {
	const smuggled = "POST /once/inner HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	for _, order := range []string{
		"Content-Length: " + strconv.Itoa(len(smuggled)+5) + "\r\nTransfer-Encoding: chunked\r\n",
		"transfer-encoding: chunked\r\ncontent-length: 5\r\n",
	} {
		is := is.New(t)
		b := newTestEntry(t, answerOK)
		first := "POST /once/first HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 2\r\n\r\nok"
		mixed := "POST /once/outer HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\n" + order + "\r\n0\r\n\r\n" + smuggled
		statuses, closed := b.sendRaw(mixed)
		is.Equal(statuses, []string{"400"})
		is.True(closed)
		is.Equal(len(b.requests()), 0)
		statuses, _ = b.sendRaw(first)
		is.Equal(statuses, []string{"200"})
	}
}

// TestRefusalsOfCallerThatDoesNotRead guards against a caller that holds its connection and the handler of
// its requests for good, because it does not read the refusals.
func TestRefusalsOfCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	b.server.config.WriteTimeout = 50 * time.Millisecond
	c, err := net.Dial("tcp", strings.TrimPrefix(b.frontend.URL, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	requests := strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: crew.example\r\n\r\n", 1000)
	_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for err == nil {
		_, err = io.WriteString(c, requests)
	}
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the entry has closed the connection
}

func TestBodyTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	statuses, closed := b.sendRaw("POST /once/x HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 9\r\n\r\nhalf")
	is.Equal(statuses, []string{"408"})
	is.True(closed)
	is.Equal(len(b.requests()), 0)
}

// A stopping entry first serves requests and closes their connections, and finally rejects
// requests with a proof that they did not run.
func TestStoppingEntryClosesConnections(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	b.server.DisableKeepAlives()
	got, response, _ := post(t, b, "/once/x", nil)
	is.Equal(got, 200)
	is.True(response.Close)
	b.server.RejectRequests()
	got, response, _ = post(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.True(response.Close)
	is.Equal(len(b.requests()), 1)
}

// An endpoint whose address now belongs to another one is not tried again. An unreachable
// endpoint does not count as an attempt.
func TestUnreachableEndpointsAreAvoided(t *testing.T) {
	is := is.New(t)
	misdirected := 0
	b := newTestEntry(t, func(w http.ResponseWriter, _ *http.Request) { misdirected++; w.WriteHeader(421) }, answerOK)
	b.table.Apply([]endpoint.Endpoint{{ID: "dead", Pool: "pool", Addr: "127.0.0.1:1", Slots: 8, Revision: 1}}, nil)
	for range 30 {
		got, _, _ := post(t, b, "/once/x", nil)
		is.Equal(got, 200)
	}
	is.True(misdirected <= 1)
}

// Guards against engines that do not learn the level of a request, or learn one where the requests of
// the pool are not ordered by level.
func TestEngineLearnsRankOfLevel(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	caller := http.Header{"Lilackeel-Engine-Priority": {"0"}}
	_, _, _ = post(t, b, "/read/1", caller)
	published := testSite()
	published.Routes[1].Priority = 4
	b.server.Publish(site.NewTable(published))
	_, _, _ = post(t, b, "/read/1", caller)
	_, _, _ = post(t, b, "/stream/1", caller)
	var ranks []string
	for _, r := range b.requests() {
		ranks = append(ranks, r.Header.Get(DefaultHeaders.Priority))
	}
	is.Equal(ranks, []string{"", "1", "0"})
}
