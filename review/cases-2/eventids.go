package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["event-ids"] = eventIDs }

// tokensPerEvent are the numbers of tokens in the events of a stream.
var tokensPerEvent = []int{4, 4, 3, 4, 2, 4, 4, 1, 4, 4}

// streamEvents returns the ids of a stream's events. With trouble, the id of an event is the number of tokens
// up to its end, so that ids increase unevenly; otherwise events are numbered from 1.
func streamEvents(trouble bool) []int {
	ids := make([]int, len(tokensPerEvent))
	total := 0
	for i, tokens := range tokensPerEvent {
		total += tokens
		ids[i] = i + 1
		if trouble {
			ids[i] = total
		}
	}
	return ids
}

// eventIDs sends streams, on kept channels, to sound servers whose event ids increase, evenly or not.
func eventIDs(ctx context.Context, d *deployment, trouble bool) (broken bool, err error) {
	ids := streamEvents(trouble)
	front, err := d.startSmall(ctx, &configuration{
		Version: 1, Limits: usualLimits,
		Services: []service{{Name: "app", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1"}},
		Routes: []route{{
			Name: "r", Host: "a.example", PathPrefix: "/p/", Kind: "streaming", TimeoutMS: 8000, TargetLatencyMS: 500,
			Service: "app", MaxAttempts: 2, StreamResume: true, TargetGapMS: 120,
		}, {
			Name: "k", Host: "a.example", PathPrefix: "/k/", Kind: "idempotent", TimeoutMS: 1000, TargetLatencyMS: 150,
			Service: "app", MaxAttempts: 2,
		}},
	}, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/k/") {
			_, _ = w.Write([]byte("kept"))
			return
		}
		respondStream(w, r, ids)
	})
	if err != nil {
		return false, err
	}
	cut := 0
	c := &caller{address: fmt.Sprintf("%s:%d", front.ip, frontPort)}
	defer c.close()
	for i := range 30 {
		// The channel has carried a request before the stream, so that it is a kept one.
		if a := c.send(ctx, http.MethodPost, "a.example", "/k/x", fmt.Sprintf("k%d", i), time.Second); a.status != http.StatusOK {
			return false, errNotRun
		}
		id := fmt.Sprintf("q%d", i)
		a := c.send(ctx, http.MethodPost, "a.example", "/p/x", id, 8*time.Second)
		whole := a.status == http.StatusOK && a.whole && strings.Count(a.body, "id: ") == len(ids)
		d.record.add("request %s: %s, %d of %d events", id, a, strings.Count(a.body, "id: "), len(ids))
		if !whole && !a.whole {
			cut++
		}
	}
	d.record.add("%d of 30 channels were closed without a whole answer", cut)
	return cut > 3, ctx.Err()
}

// respondStream sends the events after the one that the request names.
func respondStream(w http.ResponseWriter, r *http.Request, ids []int) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i, id := range ids {
		if id <= last {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, i); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
