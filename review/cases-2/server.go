package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the field heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// server is a stand-in for a server (engine) of a service. It announces itself as the pages say.
type server struct {
	id, service, zone, address string
	slots                      int
	record                     *record
	// respond answers a request that the server runs.
	respond  func(w http.ResponseWriter, r *http.Request)
	controls []*machine
	seq      atomic.Uint64
	stamps   atomic.Uint64

	mu       sync.Mutex
	runs     map[string]int
	arrivals []time.Time
}

// startServer starts a server, which stops when ctx ends.
func startServer(ctx context.Context, s *server) error {
	if err := s.listen(ctx); err != nil {
		return err
	}
	go s.announce(ctx)
	return nil
}

// listen starts to serve without announcing the server.
func (s *server) listen(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.runs = map[string]int{}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = h.Close() })
	return nil
}

// ping returns the body of the next ping.
func (s *server) ping() []byte {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "coldRemainingMs": 0, "seq": s.seq.Add(1),
	})
	if err != nil {
		panic(err)
	}
	return body
}

// announce sends a ping every heartbeatInterval. Without an acknowledgement within a second, the next
// machine is called.
func (s *server) announce(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		body := s.ping()
		for range s.controls {
			status, _ := call(ctx, http.MethodPut, "http://"+controlAddress(s.controls[next])+"/lilackeel/instances/"+s.id, body)
			if status/100 == 2 {
				break
			}
			next = (next + 1) % len(s.controls)
		}
		sleep(ctx, heartbeatInterval)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("At-Server", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	run := s.runs[id]
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	s.record.add("%s runs %s (%s, Last-Event-Id %q), run %d here", s.id, id, r.URL.Path, r.Header.Get("Last-Event-Id"), run)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", s.id, strconv.FormatUint(s.stamps.Add(1), 16)))
	s.respond(w, r)
}

// arrivedAfter returns how many requests the server has run that arrived after a time.
func (s *server) arrivedAfter(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if at.After(t) {
			count++
		}
	}
	return count
}
