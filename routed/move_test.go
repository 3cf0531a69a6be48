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

// TestAStreamLeavesAGroupThatStandsStill has two groups of one engine, of which the first
// sends one event and no more, as when a rank of it is frozen.
func TestAStreamLeavesAGroupThatStandsStill(t *testing.T) {
	is := is.New(t)
	event := func(w http.ResponseWriter, text string) {
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
	open := func(w http.ResponseWriter) {
		w.Header().Set(signature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
	}
	still := func(w http.ResponseWriter, r *http.Request) {
		open(w)
		event(w, "id: 1\ndata: a\n\n")
		<-r.Context().Done()
	}
	running := func(w http.ResponseWriter, r *http.Request) {
		open(w)
		if r.Header.Get("Last-Event-Id") != "1" {
			event(w, "id: 1\ndata: a\n\n")
		}
		event(w, "id: 2\ndata: b\n\n")
	}
	b := newBed(t, still, running)
	addr := func(id string) string {
		e, _ := b.table.Get(id)
		return e.Addr
	}
	b.server.Groups.Report(addr("e1"), "g1", false)
	b.server.Groups.Report(addr("e2"), "g2", false)
	// Calls go to the first group, as if the second were full.
	b.server.placement.Store(&placement{pools: map[string][]room{"pool": {
		{group: "g1", state: lockstep.Paced, places: 8}, {group: "g2", state: lockstep.Behind, places: 8},
	}}})
	type answer struct {
		body string
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		_, body, err := b.ask(http.MethodPost, "/resumable/x", "", http.Header{"Authorization": {"Bearer " + testKey}})
		answers <- answer{body, err}
	}()
	time.Sleep(moveAfter / 2)
	b.server.placement.Store(&placement{pools: map[string][]room{"pool": {
		{group: "g1", state: lockstep.Stalled, places: 8}, {group: "g2", state: lockstep.Paced, places: 8},
	}}})
	got := <-answers
	is.NoErr(got.err)
	is.Equal(strings.Count(got.body, "data: a"), 1) // each event once
	is.Equal(strings.Count(got.body, "data: b"), 1)
}

// TestARequestWaitsForTheFirstSite asks an entry that gets its site a tenth of a second
// later, and one that gets none.
func TestARequestWaitsForTheFirstSite(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	b.server.table.Store(site.NewTable(nil))
	time.AfterFunc(100*time.Millisecond, func() { b.server.Publish(site.NewTable(bedSite())) })
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	response, _, err := b.ask(http.MethodGet, "/read/x", "", header)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	b.server.table.Store(site.NewTable(nil))
	response, _, err = b.ask(http.MethodGet, "/read/x", "", header)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// TestASilentEndpointOfARunningGroupIsLeftOut has a group of two engines, of which one
// takes requests and sends nothing, as a machine does that is frozen or cut off.
func TestASilentEndpointOfARunningGroupIsLeftOut(t *testing.T) {
	is := is.New(t)
	mute := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	running := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
	b := newBed(t, mute, running)
	for _, id := range []string{"e1", "e2"} {
		e, _ := b.table.Get(id)
		b.server.Groups.Report(e.Addr, "g", false)
	}
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	stop := make(chan struct{})
	defer close(stop)
	go func() { // the group runs: other callers' streams show it
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
		response, body, err := b.ask(http.MethodPost, "/resumable/x", "", header)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(strings.Contains(body, "data: a"))
		is.True(time.Since(began) < 1500*time.Millisecond) // before callers leave
	}
}

// TestAStreamLeavesAGroupInWhichItCannotEnd has two groups of one engine. The first takes 300 ms for
// each event of twenty, where 50 ms are promised and the caller waits for 4 s; the second
// answers at once. The rest of the stream comes from the second.
func TestAStreamLeavesAGroupInWhichItCannotEnd(t *testing.T) {
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
	b := newBed(t, serve(300*time.Millisecond), serve(0))
	site1 := bedSite()
	for _, route := range site1.GetRoutes() {
		route.GapMs, route.TimeoutMs = 50, 4000
	}
	b.server.Publish(site.NewTable(site1))
	for i, group := range []string{"g1", "g2"} {
		e, _ := b.table.Get("e" + string(rune('1'+i)))
		b.server.Groups.Report(e.Addr, group, false)
	}
	b.server.lengths.observe("pool", events)
	// Calls go to the first group, as if the second were full.
	b.server.placement.Store(&placement{pools: map[string][]room{"pool": {
		{group: "g1", state: lockstep.Paced, places: 8}, {group: "g2", state: lockstep.Behind, places: 8},
	}}})
	took := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		_, body, err := b.ask(http.MethodPost, "/resumable/x", "", nil)
		is.NoErr(err)
		for id := 1; id <= events; id++ {
			is.Equal(strings.Count(body, fmt.Sprintf("data: %d.", id)), 1) // each event once
		}
		took <- time.Since(began)
	}()
	time.Sleep(400 * time.Millisecond)
	b.server.placement.Store(&placement{pools: map[string][]room{"pool": {
		{group: "g1", state: lockstep.Behind, places: 8}, {group: "g2", state: lockstep.Paced, places: 8},
	}}})
	is.True(<-took < 3*time.Second) // cut after 4 s otherwise
}

// TestAStreamThatCannotBePaidForGoesOnWhereItIs has no retry left in the budget.
func TestAStreamThatCannotBePaidForGoesOnWhereItIs(t *testing.T) {
	is := is.New(t)
	b := newBed(t, answerOK)
	b.server.Budget = call.NewBudget(call.BudgetConfig{Burst: 1})
	is.True(b.server.Budget.Withdraw(0))
	request := &request{pool: "pool", route: bedSite().GetRoutes()[3], deadline: b.server.clock() + 5*time.Second}
	request.route.GapMs = 50
	b.server.placement.Store(&placement{pools: map[string][]room{"pool": {
		{group: "g1", state: lockstep.Behind, places: 8}, {group: "g2", state: lockstep.Paced, places: 8},
	}}})
	b.server.lengths.observe("pool", 20)
	b.server.Groups.Report("10.0.0.1:80", "g1", false)
	for now := time.Duration(0); now < 2*time.Second; now += 500 * time.Millisecond {
		b.server.Groups.Chunk(now, "g1", 500*time.Millisecond, 50*time.Millisecond)
	}
	ended := false
	w := &watcher{attempt: &attempt{exchange: &exchange{server: b.server, request: request}, group: "g1"}, cancel: func() { ended = true }}
	w.begun.Store(true)
	is.True(w.cannotEnd())
	w.look()
	is.True(!ended && !w.moved.Load())
	w.ended.Store(true)
}
