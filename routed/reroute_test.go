package routed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/site"
)

// TestStreamIsReroutedFromStalledGroup has two groups of one engine. The first sends one event
// and then stalls, as if one of its ranks were frozen.
func TestStreamIsReroutedFromStalledGroup(t *testing.T) {
	is := is.New(t)
	event := func(w http.ResponseWriter, text string) {
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
	writeStreamHead := func(w http.ResponseWriter) {
		w.Header().Set(signature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
	}
	stalled := func(w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w)
		event(w, "id: 1\ndata: a\n\n")
		<-r.Context().Done()
	}
	running := func(w http.ResponseWriter, r *http.Request) {
		writeStreamHead(w)
		if r.Header.Get("Last-Event-Id") != "1" {
			event(w, "id: 1\ndata: a\n\n")
		}
		event(w, "id: 2\ndata: b\n\n")
	}
	b := newTestEntry(t, stalled, running)
	addr := func(id string) string {
		e, _ := b.table.Get(id)
		return e.Addr
	}
	b.server.Groups.Report(addr("e1"), "g1", false)
	b.server.Groups.Report(addr("e2"), "g2", false)
	// Calls use the first group, as if the second were full.
	b.server.placement.Store(&placement{pools: map[string][]groupCapacity{"pool": {
		{group: "g1", state: lockstep.Paced, limit: 8}, {group: "g2", state: lockstep.Behind, limit: 8},
	}}})
	type answer struct {
		body string
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		_, body, err := b.do(http.MethodPost, "/resumable/x", "", http.Header{"Authorization": {"Bearer " + testKey}})
		answers <- answer{body, err}
	}()
	time.Sleep(stallTimeout / 2)
	b.server.placement.Store(&placement{pools: map[string][]groupCapacity{"pool": {
		{group: "g1", state: lockstep.Stalled, limit: 8}, {group: "g2", state: lockstep.Paced, limit: 8},
	}}})
	got := <-answers
	is.NoErr(got.err)
	is.Equal(strings.Count(got.body, "data: a"), 1) // no event twice
	is.Equal(strings.Count(got.body, "data: b"), 1)
}

// TestRequestWaitsForFirstSite sends requests to an entry that receives its site 0.1 s later,
// and to one that receives none.
func TestRequestWaitsForFirstSite(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	b.server.table.Store(site.NewTable(nil))
	time.AfterFunc(100*time.Millisecond, func() { b.server.Publish(site.NewTable(testSite())) })
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	response, _, err := b.do(http.MethodGet, "/read/x", "", header)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	b.server.table.Store(site.NewTable(nil))
	response, _, err = b.do(http.MethodGet, "/read/x", "", header)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// TestSilentEndpointOfRunningGroupIsAvoided has a group of two engines. One accepts requests
// and sends nothing, like a machine that is frozen or cut off.
func TestSilentEndpointOfRunningGroupIsAvoided(t *testing.T) {
	is := is.New(t)
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	running := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
	b := newTestEntry(t, silent, running)
	for _, id := range []string{"e1", "e2"} {
		e, _ := b.table.Get(id)
		b.server.Groups.Report(e.Addr, "g", false)
	}
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	stop := make(chan struct{})
	defer close(stop)
	go func() { // streams of other callers show that the group runs
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				b.server.Groups.Chunk(b.server.clock(), "g", 50*time.Millisecond, 120*time.Millisecond)
			}
		}
	}()
	for range 6 {
		began := time.Now()
		response, body, err := b.do(http.MethodPost, "/resumable/x", "", header)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(strings.Contains(body, "data: a"))
		is.True(time.Since(began) < 1500*time.Millisecond) // before callers give up
	}
}

// TestStreamIsReroutedFromGroupTooSlowToFinishIt has two groups of one engine. The first takes
// 300 ms for each of twenty events, while the promised gap is 50 ms and the caller waits 4 s.
// The second responds at once, and the rest of the stream must come from it.
func TestStreamIsReroutedFromGroupTooSlowToFinishIt(t *testing.T) {
	is := is.New(t)
	const events = 20
	serve := func(pause time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(signature, "s")
			w.Header().Set("Content-Type", "text/event-stream")
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for id := last + 1; id <= events && r.Context().Err() == nil; id++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d.\n\n", id, id)
				w.(http.Flusher).Flush()
				time.Sleep(pause)
			}
		}
	}
	b := newTestEntry(t, serve(300*time.Millisecond), serve(0))
	slowSite := testSite()
	for _, route := range slowSite.GetRoutes() {
		route.GapMs, route.TimeoutMs = 50, 4000
	}
	b.server.Publish(site.NewTable(slowSite))
	for i, group := range []string{"g1", "g2"} {
		e, _ := b.table.Get("e" + string(rune('1'+i)))
		b.server.Groups.Report(e.Addr, group, false)
	}
	b.server.streamLengths.observe("pool", events)
	// Calls use the first group, as if the second were full.
	b.server.placement.Store(&placement{pools: map[string][]groupCapacity{"pool": {
		{group: "g1", state: lockstep.Paced, limit: 8}, {group: "g2", state: lockstep.Behind, limit: 8},
	}}})
	elapsed := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		_, body, err := b.do(http.MethodPost, "/resumable/x", "", nil)
		is.NoErr(err)
		for id := 1; id <= events; id++ {
			is.Equal(strings.Count(body, fmt.Sprintf("data: %d.", id)), 1) // each event once
		}
		elapsed <- time.Since(began)
	}()
	time.Sleep(400 * time.Millisecond)
	b.server.placement.Store(&placement{pools: map[string][]groupCapacity{"pool": {
		{group: "g1", state: lockstep.Behind, limit: 8}, {group: "g2", state: lockstep.Paced, limit: 8},
	}}})
	is.True(<-elapsed < 3*time.Second) // the deadline would interrupt the stream after 4 s
}

// TestStreamIsNotReroutedWithoutRetryBudget has an exhausted retry budget.
func TestStreamIsNotReroutedWithoutRetryBudget(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t, answerOK)
	b.server.Budget = call.NewBudget(call.BudgetConfig{Burst: 1})
	is.True(b.server.Budget.Withdraw(0))
	request := &request{pool: "pool", route: testSite().GetRoutes()[3], deadline: b.server.clock() + 5*time.Second}
	request.route.GapMs = 50
	b.server.placement.Store(&placement{pools: map[string][]groupCapacity{"pool": {
		{group: "g1", state: lockstep.Behind, limit: 8}, {group: "g2", state: lockstep.Paced, limit: 8},
	}}})
	b.server.streamLengths.observe("pool", 20)
	b.server.Groups.Report("10.0.0.1:80", "g1", false)
	for now := time.Duration(0); now < 2*time.Second; now += 500 * time.Millisecond {
		b.server.Groups.Chunk(now, "g1", 500*time.Millisecond, 50*time.Millisecond)
	}
	cancelled := false
	w := &watcher{attempt: &attempt{exchange: &exchange{server: b.server, request: request}, group: "g1"}, cancel: func() { cancelled = true }}
	w.firstChunkReceived.Store(true)
	is.True(w.cannotFinishInTime())
	w.check()
	is.True(!cancelled && !w.rerouted.Load())
	w.ended.Store(true)
}
