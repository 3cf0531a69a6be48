package rankhost

import (
	"context"
	"log/slog"
	"sync"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/fanout"
)

const (
	// relayWait is how long the answers of other hosts are waited for, from the request on:
	// somewhat longer than a host keeps a call for what its engine is doing. What comes
	// later is told with the next answer.
	relayWait = 60 * time.Millisecond
	// forwardTimeout bounds a call to another host.
	forwardTimeout = time.Second
	// maxLate bounds the late answers that are kept; the leader asks again for what
	// is dropped.
	maxLate = 32
)

// relay passes requests of the leader on to other hosts of ranks. Its lock is a leaf.
type relay struct {
	// call calls the host at an address.
	call   func(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error)
	logger *slog.Logger

	mu sync.Mutex
	// calling names the hosts with a call under way.
	calling map[string]bool
	// late are answers that came after that which they were for.
	late []*agentv1.GroupResponse
}

// round is one request's calls to other hosts. Its fields are guarded by the relay's lock.
type round struct {
	relay   *relay
	pending int
	merged  *agentv1.GroupResponse
	// wait ends after relayWait.
	wait *time.Timer
	// over is set once the answer has been given; done closes when no call is pending.
	over bool
	done chan struct{}
}

// begin passes on what a request has for other hosts.
func (r *relay) begin(ctx context.Context, request *agentv1.GroupRequest) *round {
	b := &round{relay: r, merged: &agentv1.GroupResponse{}, wait: time.NewTimer(relayWait), done: make(chan struct{})}
	ctx = context.WithoutCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, forward := range request.GetForwards() {
		addr, passed := forward.GetAddr(), forward.GetRequest()
		if r.calling[addr] || passed == nil {
			continue
		}
		if len(passed.GetMessages()) > 0 {
			passed.Maps = request.GetMaps()
		}
		r.calling[addr] = true
		b.pending++
		go b.forward(ctx, addr, passed)
	}
	if b.pending == 0 {
		close(b.done)
	}
	return b
}

// forward calls one host and takes in its answer.
func (b *round) forward(ctx context.Context, addr string, request *agentv1.GroupRequest) {
	limited, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := b.relay.call(limited, addr, request)
	if err != nil {
		b.relay.logger.Debug("another host did not take a request of the leader", slog.String("host", addr), slog.Any("error", err))
	}
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	delete(b.relay.calling, addr)
	if err == nil {
		response.Answered = append(response.Answered, addr)
		b.take(response)
	}
	b.pending--
	if b.pending == 0 {
		close(b.done)
	}
}

// take keeps an answer; the relay's lock is held.
func (b *round) take(response *agentv1.GroupResponse) {
	if !b.over {
		fanout.Merge(b.merged, response)
		return
	}
	if len(b.relay.late) < maxLate {
		b.relay.late = append(b.relay.late, response)
	}
}

// end waits for the other hosts' answers and adds them to the host's own.
func (b *round) end(ctx context.Context, own *agentv1.GroupResponse) {
	defer b.wait.Stop()
	select {
	case <-b.done:
	case <-b.wait.C:
	case <-ctx.Done():
	}
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	b.over = true
	fanout.Merge(own, b.merged)
	for _, response := range b.relay.late {
		fanout.Merge(own, response)
	}
	b.relay.late = nil
}
