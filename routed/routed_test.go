package routed

import (
	"context"
	"fmt"
	"io"
	"net/http"
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

func TestARequestAndItsAnswerPassUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBed(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s1")
		w.Header()["X-Twice"] = []string{"1", "2"}
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "{}")
	})
	response, text, err := b.ask(http.MethodPost, "/once/a%2Fb//c?x=1;2", "body", http.Header{
		"X-Other": {"a", "b"}, "Lilackeel-Workspace": {"forged"}, "Lilackeel-Deadline-Ms": {"900"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
	})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusCreated)
	is.Equal(text, "{}")
	is.Equal(response.Header["X-Twice"], []string{"1", "2"})
	_, typed := response.Header["Content-Type"]
	is.True(!typed) // nothing is guessed
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
	is.True(left > 0 && left <= 900) // what is left, not more
}

func TestWhatIsWrongIsRefusedBeforeItRuns(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	for target, want := range map[string]int{"/nowhere/x": 404, "/once": 404} {
		got, _, _ := status(t, b, target, nil)
		is.Equal(got, want)
	}
	got, _, _ := status(t, b, "/once/x", http.Header{"Authorization": {"Bearer other"}})
	is.Equal(got, 401)
	got, _, _ = status(t, b, "/once/x", http.Header{"Authorization": nil})
	is.Equal(got, 401)
	got, _, _ = status(t, b, "/once/x", http.Header{"X-Long": {strings.Repeat("x", 5<<10)}})
	is.Equal(got, 431)
	response, _, err := b.ask(http.MethodPost, "/once/x", strings.Repeat("x", 2<<10), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 413)
	is.Equal(len(b.requests()), 0)
	got, _, _ = status(t, b, "/public/x", http.Header{"Authorization": nil})
	is.Equal(got, 200)
}

func TestAnEntryThatKnowsNothingSaysSo(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	b.server.Publish(site.NewTable(nil))
	got, response, _ := status(t, b, "/once/x", http.Header{"Authorization": {"Bearer other"}})
	is.Equal(got, 503) // not 401 or 404
	is.Equal(response.Header.Get("Retry-After"), "1")
}

// TestWhatMayBeRepeatedFollowsFromTheKind plays each end of a first attempt for
// each kind of call; the second endpoint would answer.
func TestWhatMayBeRepeatedFollowsFromTheKind(t *testing.T) {
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.Kill, proof.Lost}, Step: "endpoint lost, failing or doubtful while a call runs",
		Guard: "only a call that was never sent, or is proved not to have run, is sent again"}.Log(t)
	for _, c := range []struct {
		name, path  string
		first       http.HandlerFunc
		want, calls int
	}{
		{"once, cut", "/once/x", cutting, 502, 1},
		{"once, failed", "/once/x", failing, 500, 1},
		{"once, not run", "/once/x", notRun, 200, 2},
		{"once, 503 without proof", "/once/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 502, 1},
		{"once, no signature", "/once/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "?") }, 502, 1},
		{"read, cut", "/read/x", cutting, 200, 2},
		{"read, failed", "/read/x", failing, 200, 2},
		{"read, no signature", "/read/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "?") }, 200, 2},
		{"stream, cut before its head", "/stream/x", cutting, 502, 1},
		{"resumable, cut before its head", "/resumable/x", cutting, 200, 2},
		{"read, another endpoint there", "/read/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			both := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					c.first(w, r)
					return
				}
				answerOK(w, r)
			}
			b := newBed(t, both, both)
			got, response, _ := status(t, b, c.path, nil)
			is.Equal(got, c.want)
			is.Equal(int(calls.Load()), c.calls)
			if got == http.StatusBadGateway {
				is.Equal(response.Header.Get(call.HeaderOutcome), "unknown")
				is.Equal(response.Header.Get(signature), "")
			}
		})
	}
}

func TestTheLastFailureIsDeliveredAsItIs(t *testing.T) {
	is := is.New(t)
	b := newBed(t, failing, failing)
	got, response, text := status(t, b, "/read/x", nil)
	is.Equal(got, 500)
	is.Equal(response.Header.Get(signature), "s2")
	is.Equal(text, "broken")
	is.Equal(len(b.requests()), 2)
}

func TestARefusalIsTrueAndSaysWhenToComeBack(t *testing.T) {
	is := is.New(t)
	b := newBed(t, notRun, notRun)
	got, response, _ := status(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.Equal(response.Header.Get(call.HeaderOutcome), "not-run")
	b.table.Apply(nil, []string{"e1", "e2"})
	got, _, _ = status(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.Equal(len(b.requests()), 2)
}

// events writes events from first to last, and the end of the stream if whole.
func events(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(signature, "s"+strconv.Itoa(first))
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", id, id)
		w.(http.Flusher).Flush()
	}
}

func wanted(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id)
	}
	return text
}

func TestACutStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	calls := 0
	both := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			events(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda") // in the middle of an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		events(w, last+1, 6)
	}
	b := newBed(t, both, both)
	response, text, err := b.ask(http.MethodPost, "/resumable/x", "body", nil)
	is.NoErr(err)
	is.Equal(text, wanted(1, 6))
	is.Equal(response.Header.Get(signature), "s1") // of its first endpoint
	is.Equal(b.requests()[1].Header.Get("Last-Event-Id"), "3")
	is.Equal(b.bodies[1], "body")
}

func TestACallersOwnResumeIsPassedOn(t *testing.T) {
	is := is.New(t)
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		events(w, last+1, 14)
	})
	_, text, err := b.ask(http.MethodPost, "/resumable/x", "", http.Header{"Last-Event-Id": {"12"}})
	is.NoErr(err)
	is.Equal(text, wanted(13, 14))
}

// A part must never look like the whole: the caller's connection is cut too.
func TestAStreamThatCannotGoOnIsCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		is := is.New(t)
		cut := func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			events(w, last+1, last+2)
			panic(http.ErrAbortHandler)
		}
		b := newBed(t, cut, cut)
		_, text, err := b.ask(http.MethodPost, path, "", nil)
		is.True(err != nil)
		is.True(strings.HasPrefix(wanted(1, 4), text)) // whole events, in order, none twice
	}
}

func TestALongAnswerThatIsCutIsNotWhole(t *testing.T) {
	is := is.New(t)
	b := newBed(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s1")
		_, _ = w.Write(make([]byte, 64<<10))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	_, _, err := b.ask(http.MethodGet, "/read/x", "", nil)
	is.True(err != nil)
}

func TestTheTimeoutOfTheRouteEndsTheWait(t *testing.T) {
	is := is.New(t)
	b := newBed(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	got, response, _ := status(t, b, "/short/x", nil)
	is.Equal(got, 504) // it may have run
	is.Equal(response.Header.Get(call.HeaderOutcome), "unknown")
	is.True(time.Since(began) < 600*time.Millisecond)
}

func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	b := newBed(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.front.URL+"/read/x", nil)
	is.NoErr(err)
	r.Host = "crew.example"
	r.Header.Set("Authorization", "Bearer "+testKey)
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint works on for nobody")
	}
}

// A request in a request: whoever reads the length sees one, whoever reads the
// chunks sees two.
func TestARequestInARequestIsRefused(t *testing.T) {
	const inner = "POST /once/inner HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	for _, order := range []string{
		"Content-Length: " + strconv.Itoa(len(inner)+5) + "\r\nTransfer-Encoding: chunked\r\n",
		"transfer-encoding: chunked\r\ncontent-length: 5\r\n",
	} {
		is := is.New(t)
		b := newBed(t, answerOK)
		first := "POST /once/first HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 2\r\n\r\nok"
		mixed := "POST /once/outer HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\n" + order + "\r\n0\r\n\r\n" + inner
		statuses, closed := b.raw(mixed)
		is.Equal(statuses, []string{"400"})
		is.True(closed)
		is.Equal(len(b.requests()), 0)
		statuses, _ = b.raw(first)
		is.Equal(statuses, []string{"200"})
	}
}

func TestABodyThatStopsIsGivenUp(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	statuses, closed := b.raw("POST /once/x HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 9\r\n\r\nhalf")
	is.Equal(statuses, []string{"408"})
	is.True(closed)
	is.Equal(len(b.requests()), 0)
}

// A stopping entry answers what comes, asks callers to leave, and at last refuses
// truly.
func TestAStoppingEntryMakesCallersLeave(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	b.server.DisableKeepAlives()
	got, response, _ := status(t, b, "/once/x", nil)
	is.Equal(got, 200)
	is.True(response.Close)
	b.server.RejectRequests()
	got, response, _ = status(t, b, "/once/x", nil)
	is.Equal(got, 503)
	is.True(response.Close)
	is.Equal(len(b.requests()), 1)
}

// An endpoint that another one has taken the address of is not asked again; one
// that cannot be reached costs no attempt.
func TestEndpointsThatAreGoneAreLeftAlone(t *testing.T) {
	is := is.New(t)
	gone := 0
	b := newBed(t, func(w http.ResponseWriter, _ *http.Request) { gone++; w.WriteHeader(421) }, answerOK)
	b.table.Apply([]endpoint.Endpoint{{ID: "dead", Pool: "pool", Addr: "127.0.0.1:1", Slots: 8, Revision: 1}}, nil)
	for range 30 {
		got, _, _ := status(t, b, "/once/x", nil)
		is.Equal(got, 200)
	}
	is.True(gone <= 1)
}
